//! The decisions of the coordinator against baselines, on a virtual clock.

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
    baselines::{Baseline, Rule},
    mixes::{self, Label, MIXES, SETTINGS, Work},
    pool::{End, Order, Pool, Scheduler, Seen},
    report::Table,
    stats::quantile,
};

/// How soon work inside its guarantee is to start: the reclaim window.
const IN_TIME: Duration = Duration::from_secs(10);

/// The entry that submits.
const ENTRY: u64 = 1;

/// The real coordinator, with agents that always agree.
pub struct Figrill {
    coordinator: Coordinator,
    workers: Vec<(Place, Capacity)>,
    runs: BTreeMap<JobId, (Run, Vec<Member>)>,
    held: BTreeSet<Run>,
}

fn name(i: usize) -> String {
    format!("n{i:02}")
}

fn index(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

impl Figrill {
    /// A coordinator over these workers.
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

    fn step(&mut self, now: Duration, input: Input) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.coordinator.handle(now, input) {
                self.act(action, &mut inputs, &mut orders);
            }
        }
        orders
    }

    fn report(worker: String, report: AgentReport) -> Input {
        Input::Agent {
            worker,
            incarnation: 1,
            report,
        }
    }

    fn act(
        &mut self,
        action: Action,
        inputs: &mut Vec<Input>,
        orders: &mut Vec<Order>,
    ) {
        match action {
            Action::ToAgent { worker, request } => {
                self.agent(worker, request, inputs, orders);
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

    fn agent(
        &mut self,
        worker: String,
        request: AgentRequest,
        inputs: &mut Vec<Input>,
        orders: &mut Vec<Order>,
    ) {
        match request {
            AgentRequest::Coordinate { term } => {
                let i = index(&worker);
                let report = AgentReport::Full {
                    term,
                    worker: self.worker_at(i),
                    grants: Vec::new(),
                    outcomes: Vec::new(),
                };
                inputs.push(Self::report(worker, report));
            }
            AgentRequest::Hold(hold) => {
                let run = hold.run;
                let solo = hold.members.len() == 1;
                self.runs.insert(run.job, (run, hold.members));
                if solo {
                    orders.push(self.start(run.job));
                } else {
                    self.held.insert(run);
                    let report = AgentReport::Held { run };
                    inputs.push(Self::report(worker, report));
                }
            }
            AgentRequest::StartGang { run, .. } => {
                self.held.remove(&run);
                orders.push(self.start(run.job));
            }
            AgentRequest::Cancel { run, .. } => {
                orders.push(Order::Stop { job: run.job });
            }
            AgentRequest::Release { .. } | AgentRequest::Ack { .. } => {}
        }
    }

    fn start(&self, job: JobId) -> Order {
        let members = self.runs.get(&job).map(|(_, m)| m.as_slice());
        let shares = members.unwrap_or_default().iter().map(|member| {
            let parts = u32::try_from(member.ranks.len()).unwrap_or(0);
            (index(&member.worker), parts)
        });
        Order::Start {
            job,
            shares: shares.collect(),
        }
    }

    fn worker_at(&self, i: usize) -> Worker {
        let (place, capacity) = self.workers[i].clone();
        Worker {
            name: name(i),
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

    fn submit(&mut self, now: Duration, work: &Work) -> Vec<Order> {
        let job = Box::new(work.job.clone());
        let request = JobRequest::Submit {
            job,
            age: Duration::ZERO,
            maybe_started: false,
        };
        self.step(
            now,
            Input::Entry {
                from: ENTRY,
                request,
            },
        )
    }

    fn cancel(&mut self, now: Duration, job: JobId) -> Vec<Order> {
        let request = JobRequest::Cancel { job, scope: None };
        self.step(
            now,
            Input::Entry {
                from: ENTRY,
                request,
            },
        )
    }

    fn ended(&mut self, now: Duration, job: JobId, end: End) -> Vec<Order> {
        let Some((run, members)) = self.runs.remove(&job) else {
            return Vec::new();
        };
        let parts = members.iter().flat_map(|m| m.ranks.iter().copied());
        let outcome = match end {
            End::Done => RunOutcome::Done(Answer {
                attempt: run.attempt,
                parts: parts
                    .map(|rank| PartAnswer {
                        rank,
                        bytes: Vec::new(),
                    })
                    .collect(),
            }),
            End::Failed(worker) => RunOutcome::Failed {
                kind: Kind::PartFailed,
                reason: String::new(),
                failed_worker: Some(name(worker)),
            },
            End::Lost => RunOutcome::Failed {
                kind: Kind::WorkerLost,
                reason: String::new(),
                failed_worker: None,
            },
            End::Stopped => RunOutcome::Stopped(Kind::Reclaimed, Vec::new()),
        };
        let mut orders = Vec::new();
        for member in &members {
            let report = AgentReport::Freed { run };
            let input = Self::report(member.worker.clone(), report);
            orders.extend(self.step(now, input));
        }
        let lead = members.first().map(|m| m.worker.clone());
        let report = AgentReport::Ended { run, outcome };
        let input = Self::report(lead.unwrap_or_default(), report);
        orders.extend(self.step(now, input));
        orders
    }

    fn worker(&mut self, now: Duration, i: usize, up: bool) -> Vec<Order> {
        let input = if up {
            Input::AgentUp(self.worker_at(i))
        } else {
            Input::AgentDown {
                worker: name(i),
                incarnation: 1,
            }
        };
        self.step(now, input)
    }

    fn tick(&mut self, now: Duration) -> Vec<Order> {
        self.step(now, Input::Tick)
    }
}

fn schedulers(workers: &[(Place, Capacity)]) -> Vec<Box<dyn Scheduler>> {
    let baseline = |rule| -> Box<dyn Scheduler> {
        Box::new(Baseline::new(rule, workers))
    };
    vec![
        Box::new(Figrill::new(workers)),
        baseline(Rule::FirstInFirstOut),
        baseline(Rule::FairShare),
        baseline(Rule::GreedyPacking),
        baseline(Rule::StaticPartitions),
    ]
}

/// Runs the bench: every policy on every mix of both sites.
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
            let rows: Vec<Vec<(&str, Seen)>> = thread::scope(|scope| {
                let runs: Vec<_> = seeds
                    .iter()
                    .map(|seed| scope.spawn(|| one(domains, mix, *seed)))
                    .collect();
                runs.into_iter().filter_map(|r| r.join().ok()).collect()
            });
            summarise(&mut table, site, mix, rows);
        }
    }
    table
}

/// All policies on one mix of one seed.
fn one(domains: usize, mix: &str, seed: u64) -> Vec<(&'static str, Seen)> {
    let workers = mixes::workers(domains);
    let work = mixes::work(mix, seed);
    let mut results = Vec::new();
    for mut scheduler in schedulers(&workers) {
        let pool = Pool::new(workers.clone(), &work, mix);
        let result = pool.run(scheduler.as_mut());
        results.push((scheduler.name(), result));
    }
    results
}

fn summarise(
    table: &mut Table,
    site: &str,
    mix: &str,
    rows: Vec<Vec<(&str, Seen)>>,
) {
    let mut by_name: Vec<(&str, Vec<Seen>)> = Vec::new();
    for row in rows {
        for (i, (name, seen)) in row.into_iter().enumerate() {
            if by_name.len() <= i {
                by_name.push((name, Vec::new()));
            }
            by_name[i].1.push(seen);
        }
    }
    for (name, seen) in by_name {
        add_row(table, site, mix, name, &seen);
    }
}

fn seconds(
    seen: &[Seen],
    label: Label,
    of: impl Fn(&crate::pool::Fate) -> Option<Duration>,
) -> Vec<f64> {
    let fates = seen.iter().flat_map(|s| s.fates.values());
    let fates = fates.filter(|f| f.label == label && !f.cancelled);
    fates.filter_map(of).map(|d| d.as_secs_f64()).collect()
}

fn percent(part: usize, all: usize) -> f64 {
    if all == 0 {
        return 100.0;
    }
    // Counts are far below the limit of the type.
    #[allow(clippy::cast_precision_loss)]
    let share = part as f64 / all as f64;
    share * 100.0
}

fn in_time(seen: &[Seen], peak_only: bool) -> f64 {
    let fates = seen.iter().flat_map(|s| s.fates.values());
    let wanted: Vec<_> = fates
        .filter(|f| f.in_guarantee && (f.at_peak || !peak_only))
        .collect();
    let good = wanted
        .iter()
        .filter(|f| f.wait.is_some_and(|w| w <= IN_TIME));
    percent(good.count(), wanted.len())
}

fn add_row(
    table: &mut Table,
    site: &str,
    mix: &str,
    name: &str,
    seen: &[Seen],
) {
    let mut waits = seconds(seen, Label::Short, |f| f.wait);
    let mut gangs = seconds(seen, Label::Gang, |f| f.completion);
    let mut longs = seconds(seen, Label::Long, |f| f.completion);
    let mut own: Vec<f64> = seen
        .iter()
        .flat_map(|s| s.fates.values())
        .filter(|f| f.in_guarantee)
        .filter_map(|f| f.wait)
        .map(|w| w.as_secs_f64())
        .collect();
    let sum = |of: fn(&Seen) -> f64| seen.iter().map(of).sum::<f64>();
    let unfinished = seen
        .iter()
        .flat_map(|s| s.fates.values())
        .filter(|f| f.completion.is_none() && !f.cancelled)
        .count();
    let broken: u32 = seen.iter().map(|s| s.broken).sum();
    table.row([
        json!(site),
        json!(mix),
        json!(name),
        json!(quantile(&mut waits, 50.0)),
        json!(quantile(&mut waits, 99.0)),
        json!(quantile(&mut waits, 100.0)),
        json!(quantile(&mut gangs, 50.0)),
        json!(quantile(&mut gangs, 99.0)),
        json!(quantile(&mut gangs, 100.0)),
        json!(quantile(&mut longs, 50.0)),
        json!(quantile(&mut longs, 99.0)),
        json!(in_time(seen, false)),
        json!(in_time(seen, true)),
        json!(quantile(&mut own, 100.0)),
        json!(sum(|s| s.blocks) / sum(|s| s.samples).max(1.0)),
        json!(sum(|s| s.gang_blocked_h)),
        json!(100.0 * sum(|s| s.busy) / sum(|s| s.all).max(1.0)),
        json!(unfinished),
        json!(broken),
    ]);
}
