//! Tests of the coordinator on failure domains that the settings drain.

use std::{sync::Arc, time::Duration};

use figrill_coordination::{
    coordinator::{Action, Coordinator, Input, REBUILD_WINDOW},
    message::{AgentReport, AgentRequest, JobRequest},
    term,
};
use figrill_state::{
    event::Code,
    job::{Adjacency, Class, Job, JobId, Shape},
    settings::Tree,
    worker::{Capacity, Place, Worker},
};

const CAPACITY: Capacity = Capacity {
    accelerators: 8,
    slots: 8,
    memory_mib: 1000,
};

fn tree(drained_domains: &str) -> Arc<Tree> {
    let text = format!(
        "[defaults]\ndrained_domains = {drained_domains}\n[workspace/a]\n"
    );
    Arc::new(Tree::parse(&text, "x.ini").expect("valid settings"))
}

/// Returns worker `i`, in the failure domain `d0` or `d1`.
fn worker(i: usize) -> Worker {
    Worker {
        name: format!("w{i}"),
        incarnation: 100 + i as u64,
        address: i.to_string(),
        place: Place {
            failure_domain: format!("d{}", i % 2),
            rack: format!("r{i}"),
        },
        capacity: CAPACITY,
    }
}

/// A coordinator with four workers, two in each failure domain.
struct Fixture {
    now: Duration,
    coordinator: Coordinator,
}

impl Fixture {
    fn new(drained_domains: &str) -> Self {
        let now = Duration::ZERO;
        let tree = tree(drained_domains);
        let coordinator = Coordinator::new(now, term::granted(1), tree);
        let mut this = Self { now, coordinator };
        for i in 0..4 {
            this.handle(Input::AgentUp(worker(i)));
            let report = AgentReport::Full {
                term: term::granted(1),
                worker: worker(i),
                grants: Vec::new(),
                outcomes: Vec::new(),
            };
            this.report(i, report);
        }
        this.now += REBUILD_WINDOW;
        this
    }

    fn handle(&mut self, input: Input) -> Vec<Action> {
        self.coordinator.handle(self.now, input)
    }

    fn report(&mut self, i: usize, report: AgentReport) -> Vec<Action> {
        let Worker {
            name, incarnation, ..
        } = worker(i);
        self.handle(Input::Agent {
            worker: name,
            incarnation,
            report,
        })
    }

    /// Submits a job of `parts` parts, each of which needs a whole worker.
    fn submit(&mut self, id: u128, parts: u32) -> Vec<Action> {
        self.submit_with_record(id, parts, None)
    }

    /// Submits such a job whose record has this version.
    fn submit_with_record(
        &mut self,
        id: u128,
        parts: u32,
        record: Option<u64>,
    ) -> Vec<Action> {
        let job = Job {
            id: JobId(id),
            workspace: "a".to_owned(),
            service: "s".to_owned(),
            shape: Shape {
                parts,
                accelerators: 8,
                memory_mib: 0,
                adjacency: Adjacency::None,
            },
            declared: None,
            deadline: None,
            class: Class::Normal,
            repeatable: true,
            record,
            inputs: vec![Vec::new(); parts as usize],
        };
        self.handle(Input::Entry {
            from: 9,
            request: JobRequest::Submit {
                job: Box::new(job),
                age: Duration::ZERO,
                maybe_started: false,
            },
        })
    }

    /// Lets a second pass in which jobs are placed.
    fn pass(&mut self) -> Vec<Action> {
        self.now += Duration::from_secs(1);
        self.handle(Input::Tick)
    }
}

/// Returns the failure domains of the workers that are asked to hold capacity.
fn domains_of_holds(actions: &[Action]) -> Vec<String> {
    let holds = actions.iter().filter_map(|action| match action {
        Action::ToAgent {
            worker,
            request: AgentRequest::Hold(_),
        } => worker.strip_prefix('w')?.parse::<usize>().ok(),
        _ => None,
    });
    holds.map(|i| worker(i).place.failure_domain).collect()
}

fn codes(actions: &[Action]) -> Vec<Code> {
    let drains = actions.iter().filter_map(|action| match action {
        Action::RecordEvent(event)
            if (1601..1610).contains(&event.code.number()) =>
        {
            Some(event.code)
        }
        _ => None,
    });
    drains.collect()
}

// Guards against a placement in a drained failure domain, and against work
// that does not go on after the drain.
#[test]
fn jobs_are_placed_in_other_failure_domains() {
    let mut fixture = Fixture::new("d1, unknown");
    for id in 1..=2 {
        let actions = fixture.submit(id, 1);
        assert_eq!(domains_of_holds(&actions), ["d0"], "job {id}");
    }
    let actions = fixture.submit(3, 1);
    assert_eq!(domains_of_holds(&actions), [""; 0]);
    assert_eq!(domains_of_holds(&fixture.pass()), [""; 0]);
    let actions = fixture.handle(Input::Settings(tree("unknown")));
    assert_eq!(domains_of_holds(&actions), ["d1"]);
    assert_eq!(codes(&actions), [Code::DrainEnded]);
}

// Guards against a gang that is started by the acceptance of its last hold
// after the drain of one of its members' failure domains.
#[test]
fn a_gang_that_has_not_started_is_released_as_a_whole() {
    let mut fixture = Fixture::new("");
    let holds = fixture.submit(1, 3);
    assert_eq!(domains_of_holds(&holds).len(), 3);
    let actions = fixture.handle(Input::Settings(tree("d1")));
    assert_eq!(codes(&actions), [Code::DrainStarted]);
    let releases = actions.iter().filter(|action| {
        matches!(
            action,
            Action::ToAgent {
                request: AgentRequest::Release { .. },
                ..
            }
        )
    });
    assert_eq!(releases.count(), 3);
    let run = holds.iter().find_map(|action| match action {
        Action::ToAgent {
            request: AgentRequest::Hold(hold),
            ..
        } => Some(hold.run),
        _ => None,
    });
    let run = run.expect("there is a hold");
    for i in 0..4 {
        let actions = fixture.report(i, AgentReport::Held { run });
        let started = actions.iter().any(|action| {
            matches!(
                action,
                Action::ToAgent {
                    request: AgentRequest::StartGang { .. },
                    ..
                }
            )
        });
        assert!(!started, "the gang is started by worker {i}");
    }
    assert_eq!(domains_of_holds(&fixture.pass()), [""; 0]);
}

// Guards against the start of an attempt whose record was being marked as
// dispatched when the drain began.
#[test]
fn an_attempt_whose_record_is_being_marked_is_released() {
    let mut fixture = Fixture::new("");
    let actions = fixture.submit_with_record(1, 1, Some(1));
    let marks = actions.iter().find_map(|action| match action {
        Action::MarkDispatched { run, lead, .. } => Some((*run, lead.clone())),
        _ => None,
    });
    let (run, lead) = marks.expect("the record is marked");
    let i = lead[1..].parse::<usize>().expect("a worker");
    let domain = worker(i).place.failure_domain;
    let _ = fixture.handle(Input::Settings(tree(&domain)));
    let result = Ok(2);
    let actions = fixture.handle(Input::DispatchMarked { run, result });
    assert_eq!(domains_of_holds(&actions), [""; 0]);
    let actions = fixture.pass();
    let marked_elsewhere = actions.iter().any(|action| {
        matches!(action, Action::MarkDispatched { lead, .. }
            if !lead.ends_with(&i.to_string()))
    });
    assert!(marked_elsewhere, "{actions:?}");
}
