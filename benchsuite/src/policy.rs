//! Compares the coordinator's scheduling decisions with those of the baseline
//! schedulers, on a virtual clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    thread,
    time::Duration,
};

use figrill_coordination::{
    coordinator::{Action, Coordinator, Input},
    message::{
        AgentReport, AgentRequest, JobReport, JobRequest, Member, Run,
        RunOutcome,
    },
    term,
};
use figrill_state::{
    error::Kind,
    job::{Answer, JobId, PartAnswer},
    settings::Tree,
    worker::{Capacity, Place, Worker},
};
use serde_json::json;

use crate::{
    baselines::{Baseline, Policy},
    mixes::{self, MIXES, SETTINGS, WorkItem, WorkKind},
    pool::{Order, Pool, PoolStats, RunEnd, Scheduler},
    report::Table,
    stats::quantile,
};

/// The time within which work inside its guarantee must start: the
/// `reclaim_window` of [`SETTINGS`].
const RECLAIM_WINDOW: Duration = Duration::from_secs(10);

/// The id of the entry that submits all jobs.
const ENTRY: u64 = 1;

/// The coordinator itself, with simulated agents that accept every request at
/// once.
pub struct Figrill {
    coordinator: Coordinator,
    workers: Vec<(Place, Capacity)>,
    runs: BTreeMap<JobId, (Run, Vec<Member>)>,
    /// Gangs that are held on their workers but not started.
    held: BTreeSet<Run>,
}

fn worker_name(i: usize) -> String {
    format!("n{i:02}")
}

fn worker_index(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

impl Figrill {
    /// Returns a coordinator for the given workers, all of them down.
    pub fn new(workers: &[(Place, Capacity)]) -> Self {
        let tree = Tree::parse(SETTINGS, "bench").unwrap_or_default();
        let term = term::granted(1);
        Self {
            coordinator: Coordinator::new(
                Duration::ZERO,
                term,
                Arc::new(tree),
            ),
            workers: workers.to_vec(),
            runs: BTreeMap::new(),
            held: BTreeSet::new(),
        }
    }

    /// Passes an input to the coordinator, answers its requests until it
    /// has no more, and returns the orders to the pool.
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.coordinator.handle(now, input) {
                self.apply_action(action, &mut inputs, &mut orders);
            }
        }
        orders
    }

    fn agent_report(worker: String, report: AgentReport) -> Input {
        Input::Agent {
            worker,
            incarnation: 1,
            report,
        }
    }

    fn apply_action(
        &mut self,
        action: Action,
        inputs: &mut Vec<Input>,
        orders: &mut Vec<Order>,
    ) {
        match action {
            Action::ToAgent { worker, request } => {
                self.handle_agent_request(worker, request, inputs, orders);
            }
            Action::ToEntry {
                report: JobReport::Ended { job, .. },
                ..
            } => {
                let request = JobRequest::Ack { job };
                inputs.push(Input::Entry {
                    from: ENTRY,
                    request,
                });
            }
            _ => {}
        }
    }

    fn handle_agent_request(
        &mut self,
        worker: String,
        request: AgentRequest,
        inputs: &mut Vec<Input>,
        orders: &mut Vec<Order>,
    ) {
        match request {
            AgentRequest::Coordinate { term } => {
                let i = worker_index(&worker);
                let report = AgentReport::Full {
                    term,
                    worker: self.worker_at(i),
                    grants: Vec::new(),
                    outcomes: Vec::new(),
                };
                inputs.push(Self::agent_report(worker, report));
            }
            AgentRequest::Hold(hold) => {
                let run = hold.run;
                let single_worker = hold.members.len() == 1;
                self.runs.insert(run.job, (run, hold.members));
                if single_worker {
                    orders.push(self.start_order(run.job));
                } else {
                    self.held.insert(run);
                    let report = AgentReport::Held { run };
                    inputs.push(Self::agent_report(worker, report));
                }
            }
            AgentRequest::StartGang { run, .. } => {
                self.held.remove(&run);
                orders.push(self.start_order(run.job));
            }
            AgentRequest::Cancel { run, .. } => {
                orders.push(Order::Stop { job: run.job });
            }
            AgentRequest::Release { .. }
            | AgentRequest::Ack { .. }
            | AgentRequest::Dismiss { .. } => {}
        }
    }

    fn start_order(&self, job: JobId) -> Order {
        let members = self.runs.get(&job).map(|(_, m)| m.as_slice());
        let shares = members.unwrap_or_default().iter().map(|member| {
            let parts = u32::try_from(member.ranks.len()).unwrap_or(0);
            (worker_index(&member.worker), parts)
        });
        Order::Start {
            job,
            shares: shares.collect(),
        }
    }

    fn worker_at(&self, i: usize) -> Worker {
        let (place, capacity) = self.workers[i].clone();
        Worker {
            name: worker_name(i),
            incarnation: 1,
            address: String::new(),
            place,
            capacity,
        }
    }
}

impl Scheduler for Figrill {
    fn name(&self) -> &'static str {
        "figrill"
    }

    fn submit(&mut self, now: Duration, item: &WorkItem) -> Vec<Order> {
        let job = Box::new(item.job.clone());
        let request = JobRequest::Submit {
            job,
            age: Duration::ZERO,
            maybe_started: false,
        };
        self.handle(
            now,
            Input::Entry {
                from: ENTRY,
                request,
            },
        )
    }

    fn cancel(&mut self, now: Duration, job: JobId) -> Vec<Order> {
        let request = JobRequest::Cancel { job, scope: None };
        self.handle(
            now,
            Input::Entry {
                from: ENTRY,
                request,
            },
        )
    }

    fn run_ended(
        &mut self,
        now: Duration,
        job: JobId,
        end: RunEnd,
    ) -> Vec<Order> {
        let Some((run, members)) = self.runs.remove(&job) else {
            return Vec::new();
        };
        let parts = members.iter().flat_map(|m| m.ranks.iter().copied());
        let outcome = match end {
            RunEnd::Done => RunOutcome::Done(Answer {
                attempt: run.attempt,
                parts: parts
                    .map(|rank| PartAnswer {
                        rank,
                        bytes: Vec::new(),
                    })
                    .collect(),
            }),
            RunEnd::Failed(worker) => RunOutcome::Failed {
                kind: Kind::PartFailed,
                reason: String::new(),
                failed_worker: Some(worker_name(worker)),
            },
            RunEnd::Lost => RunOutcome::Failed {
                kind: Kind::WorkerLost,
                reason: String::new(),
                failed_worker: None,
            },
            RunEnd::Stopped => {
                RunOutcome::Stopped(Kind::Reclaimed, Vec::new())
            }
        };
        let mut orders = Vec::new();
        for member in &members {
            let report = AgentReport::Freed { run };
            let input = Self::agent_report(member.worker.clone(), report);
            orders.extend(self.handle(now, input));
        }
        let lead = members.first().map(|m| m.worker.clone());
        let report = AgentReport::Ended { run, outcome };
        let input = Self::agent_report(lead.unwrap_or_default(), report);
        orders.extend(self.handle(now, input));
        orders
    }

    fn set_worker_up(
        &mut self,
        now: Duration,
        i: usize,
        up: bool,
    ) -> Vec<Order> {
        let input = if up {
            Input::AgentUp(self.worker_at(i))
        } else {
            Input::AgentDown {
                worker: worker_name(i),
                incarnation: 1,
            }
        };
        self.handle(now, input)
    }

    fn tick(&mut self, now: Duration) -> Vec<Order> {
        self.handle(now, Input::Tick)
    }
}

/// Returns all schedulers to compare, in the order of the tables.
fn schedulers(workers: &[(Place, Capacity)]) -> Vec<Box<dyn Scheduler>> {
    let baseline = |policy| -> Box<dyn Scheduler> {
        Box::new(Baseline::new(policy, workers))
    };
    vec![
        Box::new(Figrill::new(workers)),
        baseline(Policy::FirstInFirstOut),
        baseline(Policy::FairShare),
        baseline(Policy::GreedyPacking),
        baseline(Policy::StaticPartitions),
    ]
}

/// Runs the benchmark: every scheduler on every mix of both sites.
pub fn run(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        &format!("policy, seeds {seeds:?}, all seeds together"),
        &[
            "site",
            "mix",
            "policy",
            "short wait p50 s",
            "short wait p99 s",
            "short wait max s",
            "gang completion p50 s",
            "gang completion p99 s",
            "gang completion max s",
            "long completion p50 s",
            "long completion p99 s",
            "in guarantee in time %",
            "at peak in time %",
            "in guarantee wait max s",
            "freest rack / free",
            "gang waited while free h",
            "utilisation %",
            "unfinished",
            "broken",
        ],
    );
    for (site, domains) in [("serumlytic", 3), ("logu-loki", 4)] {
        for mix in MIXES {
            let results: Vec<Vec<(&str, PoolStats)>> =
                thread::scope(|scope| {
                    let runs: Vec<_> = seeds
                        .iter()
                        .map(|seed| {
                            scope.spawn(|| run_seed(domains, mix, *seed))
                        })
                        .collect();
                    runs.into_iter().filter_map(|r| r.join().ok()).collect()
                });
            summarise(&mut table, site, mix, results);
        }
    }
    table
}

/// Runs all schedulers on one mix with one seed.
fn run_seed(
    domains: usize,
    mix: &str,
    seed: u64,
) -> Vec<(&'static str, PoolStats)> {
    let workers = mixes::workers(domains);
    let workload = mixes::workload(mix, seed);
    let mut results = Vec::new();
    for mut scheduler in schedulers(&workers) {
        let pool = Pool::new(workers.clone(), &workload, mix);
        let result = pool.run(scheduler.as_mut());
        results.push((scheduler.name(), result));
    }
    results
}

/// Adds one row per scheduler, over the results of all seeds.
fn summarise(
    table: &mut Table,
    site: &str,
    mix: &str,
    results: Vec<Vec<(&str, PoolStats)>>,
) {
    let mut by_name: Vec<(&str, Vec<PoolStats>)> = Vec::new();
    for result in results {
        for (i, (name, stats)) in result.into_iter().enumerate() {
            if by_name.len() <= i {
                by_name.push((name, Vec::new()));
            }
            by_name[i].1.push(stats);
        }
    }
    for (name, stats) in by_name {
        add_row(table, site, mix, name, &stats);
    }
}

/// Returns a duration of each job of a kind that was not cancelled, in
/// seconds.
fn seconds(
    stats: &[PoolStats],
    kind: WorkKind,
    duration: impl Fn(&crate::pool::JobResult) -> Option<Duration>,
) -> Vec<f64> {
    let results = stats.iter().flat_map(|s| s.results.values());
    let results = results.filter(|r| r.kind == kind && !r.cancelled);
    results
        .filter_map(duration)
        .map(|d| d.as_secs_f64())
        .collect()
}

/// Returns `part` as a percentage of `all`, or 100 if `all` is 0.
fn percent(part: usize, all: usize) -> f64 {
    if all == 0 {
        return 100.0;
    }
    // Counts are far below 2^53, where `f64` loses precision.
    #[allow(clippy::cast_precision_loss)]
    let share = part as f64 / all as f64;
    share * 100.0
}

/// Returns the percentage of jobs inside their guarantee that started within
/// the reclaim window.
fn in_time_percent(stats: &[PoolStats], peak_only: bool) -> f64 {
    let results = stats.iter().flat_map(|s| s.results.values());
    let selected: Vec<_> = results
        .filter(|r| r.in_guarantee && (r.at_peak || !peak_only))
        .collect();
    let in_time = selected
        .iter()
        .filter(|r| r.wait.is_some_and(|w| w <= RECLAIM_WINDOW));
    percent(in_time.count(), selected.len())
}

fn add_row(
    table: &mut Table,
    site: &str,
    mix: &str,
    name: &str,
    stats: &[PoolStats],
) {
    let mut short_waits = seconds(stats, WorkKind::Short, |r| r.wait);
    let mut gang_completions =
        seconds(stats, WorkKind::Gang, |r| r.completion);
    let mut long_completions =
        seconds(stats, WorkKind::Long, |r| r.completion);
    let mut in_guarantee_waits: Vec<f64> = stats
        .iter()
        .flat_map(|s| s.results.values())
        .filter(|r| r.in_guarantee)
        .filter_map(|r| r.wait)
        .map(|w| w.as_secs_f64())
        .collect();
    let sum =
        |value: fn(&PoolStats) -> f64| stats.iter().map(value).sum::<f64>();
    let unfinished = stats
        .iter()
        .flat_map(|s| s.results.values())
        .filter(|r| r.completion.is_none() && !r.cancelled)
        .count();
    let invalid_orders: u32 = stats.iter().map(|s| s.invalid_orders).sum();
    table.push_row([
        json!(site),
        json!(mix),
        json!(name),
        json!(quantile(&mut short_waits, 50.0)),
        json!(quantile(&mut short_waits, 99.0)),
        json!(quantile(&mut short_waits, 100.0)),
        json!(quantile(&mut gang_completions, 50.0)),
        json!(quantile(&mut gang_completions, 99.0)),
        json!(quantile(&mut gang_completions, 100.0)),
        json!(quantile(&mut long_completions, 50.0)),
        json!(quantile(&mut long_completions, 99.0)),
        json!(in_time_percent(stats, false)),
        json!(in_time_percent(stats, true)),
        json!(quantile(&mut in_guarantee_waits, 100.0)),
        json!(sum(|s| s.freest_rack_share) / sum(|s| s.samples).max(1.0)),
        json!(sum(|s| s.gang_blocked_h)),
        json!(100.0 * sum(|s| s.busy_s) / sum(|s| s.available_s).max(1.0)),
        json!(unfinished),
        json!(invalid_orders),
    ]);
}
