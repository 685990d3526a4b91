//! Tests of what a coordinator does with the runs of an upstream that has
//! ended.

use std::time::Duration;

use figrill_coordination::scheduler::{
    Action, Now, Scheduler,
    message::{Report, StartResult, StopResult, ToAgent},
};
use figrill_state::{
    batch::{Batch, BatchId, Incarnation, Resources, Step, TaskId},
    limits::Limits,
    runner::{Snapshot, StartOutcome, UpstreamState},
};

const AGENT: &str = "agent-0";
const TOKEN: u64 = 1;

/// The interval between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(50);

/// The time after which a task is expected to start again if nothing holds it
/// up.
const PROMPT: Duration = Duration::from_millis(300);

/// The time after which every grant has expired, also if the VM was suspended
/// for five seconds meanwhile.
const GRANT_EXPIRY: Duration = Duration::from_secs(16);

const TASK: TaskId = TaskId {
    job: BatchId(1),
    occurrence: 0,
    step: 0,
    index: 0,
};

/// A coordinator with one job of one task on one worker.
struct Fixture {
    scheduler: Scheduler,
    now: Now,
    /// The revision of the store.
    revision: u64,
    /// The orders that the coordinator has sent.
    sent: Vec<ToAgent>,
}

fn upstream(id: &str, born_ms: u64) -> UpstreamState {
    UpstreamState {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms,
        },
        address: "127.0.0.1:1".to_owned(),
        service: "svc".to_owned(),
        capacity: resources(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        rack: "r1".to_owned(),
        ..UpstreamState::default()
    }
}

fn resources() -> Resources {
    Resources {
        cpu_milli: 8000,
        memory_mib: 8000,
        accelerators: 1,
    }
}

fn batch() -> Batch {
    Batch {
        id: TASK.job,
        workspace: "a".to_owned(),
        queue: "q".to_owned(),
        service: "svc".to_owned(),
        catalog_version: 0,
        priority: 1,
        attempts: 3,
        stretch: 3.0,
        target: Duration::from_secs(1),
        payload: String::new(),
        steps: vec![Step {
            count: 1,
            needs: resources(),
            estimate_ms: 1000,
            ..Step::default()
        }],
        schedule: None,
        accepted_ms: 0,
        cancelled: false,
    }
}

impl Fixture {
    /// Returns a coordinator that has ordered run 1 on `upstream`.
    fn with_ordered_run(upstream: &UpstreamState) -> Self {
        let now = Now::default();
        let mut fixture = Self {
            scheduler: Scheduler::new(TOKEN, now, Limits::default()),
            now,
            revision: TOKEN,
            sent: Vec::new(),
        };
        fixture.report_snapshot(upstream, 1000);
        fixture.scheduler.update_job(fixture.now, batch(), None);
        fixture.run(PROMPT);
        assert_eq!(fixture.started_runs(), [1]);
        fixture
    }

    fn run(&mut self, time: Duration) {
        let end = self.now.monotonic + time;
        while self.now.monotonic < end {
            self.now.monotonic += TICK;
            self.scheduler.tick(self.now);
            if let Some(commit) = self.scheduler.take_commit(self.now) {
                self.revision += 1;
                let (number, revision) = (commit.number, self.revision);
                self.scheduler.commit_done(self.now, number, revision);
            }
            self.collect_messages();
        }
    }

    fn collect_messages(&mut self) {
        for action in self.scheduler.take_actions() {
            if let Action::Send { message, .. } = action {
                self.sent.push(message);
            }
        }
    }

    /// Returns the highest fencing token that the agent was sent.
    fn token(&self) -> u64 {
        let tokens = self.sent.iter().map(|m| match m {
            ToAgent::Grant(grant) => grant.token,
            ToAgent::Start { start, .. } => start.token,
            ToAgent::Stop { token, .. } => *token,
        });
        tokens.max().unwrap_or(TOKEN)
    }

    fn report(&mut self, report: Report) {
        self.scheduler.handle_report(self.now, AGENT, report);
    }

    /// Reports that `upstream` runs nothing at the time `clock_ms` of its
    /// clock. The agent repeats the report if it gets a higher fencing token.
    fn report_snapshot(&mut self, upstream: &UpstreamState, clock_ms: u64) {
        let mut reported_token = None;
        while reported_token != Some(self.token()) {
            let token = self.token();
            self.report(Report {
                token,
                upstream: Some(upstream.clone()),
                snapshot: Some(Snapshot {
                    born_ms: upstream.incarnation.born_ms,
                    clock_ms,
                    ..Snapshot::default()
                }),
                ..Report::default()
            });
            self.collect_messages();
            reported_token = Some(token);
        }
    }

    fn report_end(&mut self, upstream: &UpstreamState) {
        self.report(Report {
            ended_incarnation: Some(upstream.incarnation.clone()),
            ..Report::default()
        });
    }

    /// Reports that `upstream` has acknowledged the stop of run 1.
    fn report_stop(&mut self, upstream: &UpstreamState, clock_ms: u64) {
        self.report(Report {
            upstream: Some(upstream.clone()),
            stop_results: vec![StopResult {
                task: TASK,
                run: 1,
                clock_ms,
            }],
            ..Report::default()
        });
    }

    fn started_runs(&self) -> Vec<u32> {
        let starts = self.sent.iter().filter_map(|m| match m {
            ToAgent::Start { start, .. } => Some(start.run),
            _ => None,
        });
        starts.collect()
    }

    fn stops_on(&self, incarnation: &Incarnation) -> Vec<u32> {
        let stops = self.sent.iter().filter_map(|m| match m {
            ToAgent::Stop { upstream, run, .. } => {
                (upstream == incarnation).then_some(*run)
            }
            _ => None,
        });
        stops.collect()
    }
}

#[test]
fn a_run_that_had_begun_starts_again_at_once_after_its_upstream_has_ended() {
    let (first, second) = (upstream("i-1", 1), upstream("i-2", 2));
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report(Report {
        token: TOKEN,
        upstream: Some(first.clone()),
        start_results: vec![StartResult {
            task: TASK,
            run: 1,
            outcome: StartOutcome::Running { clock_ms: 1300 },
        }],
        ..Report::default()
    });
    fixture.report_end(&first);
    fixture.report_snapshot(&second, 10);
    fixture.run(PROMPT);
    assert_eq!(fixture.started_runs(), [1, 2]);
}

#[test]
fn an_unanswered_start_is_stopped_on_the_successor_of_an_ended_upstream() {
    let (first, second) = (upstream("i-1", 1), upstream("i-1", 2));
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report_end(&first);
    fixture.run(PROMPT);
    fixture.report_snapshot(&second, 10);
    fixture.run(PROMPT);
    assert_eq!(fixture.stops_on(&second.incarnation), [1]);
    assert_eq!(fixture.started_runs(), [1]);
    fixture.report_stop(&second, 400);
    fixture.report_snapshot(&second, 500);
    fixture.run(PROMPT);
    assert_eq!(fixture.started_runs(), [1, 2]);
}

// Guards against a task that waits until the clock of the next incarnation has
// passed that of an answer by the former one.
#[test]
fn an_answer_by_the_former_incarnation_does_not_hold_a_task_up() {
    let (first, second) = (upstream("i-1", 1), upstream("i-1", 2));
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report_snapshot(&second, 10);
    fixture.report(Report {
        start_results: vec![StartResult {
            task: TASK,
            run: 1,
            outcome: StartOutcome::Running { clock_ms: 500_000 },
        }],
        ..Report::default()
    });
    fixture.run(PROMPT);
    fixture.report_stop(&second, 400);
    fixture.report_snapshot(&second, 500);
    fixture.run(PROMPT);
    assert_eq!(fixture.started_runs(), [1, 2]);
}

#[test]
fn an_unanswered_start_is_given_up_when_its_grant_expires() {
    let first = upstream("i-1", 1);
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report_end(&first);
    fixture.run(GRANT_EXPIRY);
    fixture.report_snapshot(&upstream("i-2", 2), 10);
    fixture.run(PROMPT);
    assert_eq!(fixture.started_runs(), [1, 2]);
}

#[test]
fn a_successor_with_an_earlier_start_is_used_though_no_end_was_reported() {
    let (first, second) = (upstream("i-1", 2000), upstream("i-2", 1000));
    let mut fixture = Fixture::with_ordered_run(&first);
    // The agent that knew of the end was restarted, and the wall clock was set
    // back.
    fixture.run(GRANT_EXPIRY);
    fixture.report_snapshot(&second, 10);
    fixture.run(PROMPT);
    assert_eq!(fixture.started_runs(), [1, 2]);
}

#[test]
fn an_unanswered_start_is_given_up_although_its_successor_started_earlier() {
    let (first, second) = (upstream("i-1", 2000), upstream("i-2", 1000));
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report_end(&first);
    for second_clock_ms in [10, 500, 900] {
        fixture.report_snapshot(&second, second_clock_ms);
        fixture.run(PROMPT);
    }
    assert_eq!(fixture.started_runs(), [1, 2]);
}

#[test]
fn runs_end_with_a_silent_upstream_whose_successor_started_earlier() {
    let (first, second) = (upstream("i-1", 2000), upstream("i-2", 1000));
    let mut fixture = Fixture::with_ordered_run(&first);
    // The successor is reported before the coordinator checks the grants.
    fixture.now.monotonic += GRANT_EXPIRY;
    fixture.report_snapshot(&second, 10);
    fixture.run(PROMPT);
    assert_eq!(fixture.started_runs(), [1, 2]);
}

// Guards against a stop that the successor refuses, because it has seen its own
// token, which the coordinator had when it sent the stop.
#[test]
fn the_stop_on_a_successor_carries_the_token_of_that_successor() {
    let (first, second) = (upstream("i-1", 1), upstream("i-1", 2));
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report_end(&first);
    fixture.report_snapshot(&second, 10);
    let stop_tokens = fixture.sent.iter().filter_map(|m| match m {
        ToAgent::Stop { token, .. } => Some(*token),
        _ => None,
    });
    let stop_tokens: Vec<u64> = stop_tokens.collect();
    assert_eq!(stop_tokens, [fixture.token()]);
}

// Guards against a task that waits for longer than 14 s for the answer to a
// stop.
#[test]
fn a_run_that_lists_lack_is_given_up_though_no_stop_is_answered() {
    let (first, second) = (upstream("i-1", 1), upstream("i-1", 2));
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report_end(&first);
    for n in 0..46 {
        fixture.report_snapshot(&second, 10 + n * 300);
        fixture.run(PROMPT);
    }
    assert_eq!(fixture.started_runs(), [1, 2]);
}

// Guards against a task that waits for a lease, though the end of a later
// incarnation, which no report named before, shows that its upstream has ended.
#[test]
fn the_end_of_a_later_incarnation_shows_that_the_known_one_has_ended() {
    let (first, second) = (upstream("i-1", 1), upstream("i-1", 2));
    let spare = upstream("i-9", 1);
    let mut fixture = Fixture::with_ordered_run(&first);
    fixture.report(Report {
        token: TOKEN,
        upstream: Some(first),
        start_results: vec![StartResult {
            task: TASK,
            run: 1,
            outcome: StartOutcome::Running { clock_ms: 1300 },
        }],
        ..Report::default()
    });
    for n in 0..6 {
        fixture.report_end(&second);
        let report = Report {
            token: TOKEN,
            upstream: Some(spare.clone()),
            snapshot: Some(Snapshot {
                born_ms: spare.incarnation.born_ms,
                clock_ms: 10 + n * 300,
                ..Snapshot::default()
            }),
            ..Report::default()
        };
        let now = fixture.now;
        fixture.scheduler.handle_report(now, "agent-9", report);
        fixture.run(PROMPT);
    }
    assert_eq!(fixture.started_runs(), [1, 2]);
}
