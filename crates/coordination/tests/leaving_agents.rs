//! Tests of agents that leave while orders are on their way to them.

use std::{sync::Arc, time::Duration};

use figrill_coordination::{
    agent::{self, Agent, PartId, grant::PartEvent},
    coordinator::{self, Coordinator, MarkError, REBUILD_WINDOW},
    message::{AgentReport, AgentRequest, Dispatched, Hold, JobRequest, Run},
    term,
};
use figrill_state::{
    job::{Adjacency, Class, Job, JobId, Outcome, Shape},
    settings::Tree,
    worker::{Capacity, Place, Worker},
};

const CAPACITY: Capacity = Capacity {
    accelerators: 8,
    slots: 8,
    memory_mib: 1000,
};

const JOB: JobId = JobId(1);

/// The incarnation of the coordinator.
const COORDINATOR: u64 = 1;

/// A coordinator with agents, between which the test carries the messages.
struct Fixture {
    now: Duration,
    coordinator: Coordinator,
    agents: Vec<Agent>,
    /// What the coordinator does next, in order.
    actions: Vec<coordinator::Action>,
    /// The number of parts that were started.
    starts: usize,
}

fn worker(i: usize) -> Worker {
    Worker {
        name: format!("w{i}"),
        incarnation: 100 + i as u64,
        address: i.to_string(),
        place: Place {
            failure_domain: "d".to_owned(),
            rack: "r".to_owned(),
        },
        capacity: CAPACITY,
    }
}

/// Returns a job of one part that must not be repeated.
fn job() -> Job {
    Job {
        id: JOB,
        workspace: "a".to_owned(),
        service: "s".to_owned(),
        shape: Shape {
            parts: 1,
            accelerators: 1,
            memory_mib: 0,
            adjacency: Adjacency::None,
        },
        declared: None,
        deadline: None,
        class: Class::Normal,
        repeatable: false,
        record: Some(1),
        inputs: vec![Vec::new()],
    }
}

impl Fixture {
    /// Creates a coordinator that has two agents and the job, whose record is
    /// being marked as dispatched.
    fn new() -> Self {
        let now = Duration::ZERO;
        let mut this = Self {
            now,
            coordinator: Coordinator::new(now, term::granted(1), tree()),
            agents: (0..2).map(|i| Agent::new(worker(i), 0)).collect(),
            actions: Vec::new(),
            starts: 0,
        };
        for i in 0..2 {
            this.agent(i, agent::Input::UpstreamAnnounced(CAPACITY));
            this.connect(i);
        }
        this.submit(false);
        this
    }

    /// Connects an agent to the coordinator.
    fn connect(&mut self, i: usize) {
        self.handle(coordinator::Input::AgentUp(worker(i)));
        for request in self.requests(i) {
            self.deliver(i, request);
        }
    }

    /// Submits the job at the end of the rebuild window.
    fn submit(&mut self, maybe_started: bool) {
        self.now += REBUILD_WINDOW;
        self.handle(coordinator::Input::Entry {
            from: 9,
            request: JobRequest::Submit {
                job: Box::new(job()),
                age: Duration::ZERO,
                maybe_started,
            },
        });
    }

    fn handle(&mut self, input: coordinator::Input) {
        let actions = self.coordinator.handle(self.now, input);
        self.actions.extend(actions);
    }

    /// Handles an input of an agent, and delivers its reports at once.
    fn agent(&mut self, i: usize, input: agent::Input) {
        let Worker {
            name, incarnation, ..
        } = worker(i);
        for action in self.agents[i].handle(self.now, input) {
            match action {
                agent::Action::Report { report, .. } => {
                    self.handle(coordinator::Input::Agent {
                        worker: name.clone(),
                        incarnation,
                        report,
                    });
                }
                agent::Action::Start { .. } => self.starts += 1,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, i: usize, request: AgentRequest) {
        let from = COORDINATOR;
        self.agent(i, agent::Input::Coordinator { from, request });
    }

    /// Removes the requests to an agent that were not delivered yet.
    fn requests(&mut self, i: usize) -> Vec<AgentRequest> {
        let mut requests = Vec::new();
        self.actions.retain(|action| match action {
            coordinator::Action::ToAgent { worker, request }
                if *worker == format!("w{i}") =>
            {
                requests.push(request.clone());
                false
            }
            _ => true,
        });
        requests
    }

    /// Removes the request to mark the job's record, and returns the attempt
    /// and the index of the agent that is to lead it.
    fn marking(&mut self) -> (Run, usize) {
        let mut found = None;
        self.actions.retain(|action| match action {
            coordinator::Action::MarkDispatched { run, lead, .. } => {
                found = Some((*run, usize::from(lead == "w1")));
                false
            }
            _ => true,
        });
        found.expect("the record is being marked")
    }

    fn marked(&mut self, run: Run, version: u64) {
        let result = Ok(version);
        self.handle(coordinator::Input::DispatchMarked { run, result });
    }

    /// Lets time pass until the job is placed again, and returns the index of
    /// the agent that it is placed on.
    fn place_again(&mut self) -> usize {
        self.now += Duration::from_millis(200);
        self.handle(coordinator::Input::Tick);
        let (run, i) = self.marking();
        self.marked(run, 3);
        i
    }
}

fn tree() -> Arc<Tree> {
    let tree = Tree::parse("[workspace/a]\n", "test");
    Arc::new(tree.expect("the settings are valid"))
}

fn hold(requests: &[AgentRequest]) -> Option<&Hold> {
    requests.iter().find_map(|request| match request {
        AgentRequest::Hold(hold) => Some(hold),
        _ => None,
    })
}

#[test]
fn a_job_is_not_sent_to_an_agent_that_was_lost_while_it_was_marked() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    fixture.handle(coordinator::Input::AgentDown {
        worker: worker(i).name,
        incarnation: worker(i).incarnation,
    });
    fixture.marked(run, 2);
    assert_eq!(hold(&fixture.requests(i)), None);
    assert_eq!(fixture.place_again(), 1 - i);
    assert!(hold(&fixture.requests(1 - i)).is_some());
}

#[test]
fn a_job_on_its_way_to_an_agent_that_leaves_is_placed_elsewhere() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    fixture.marked(run, 2);
    let on_their_way = fixture.requests(i);
    assert!(hold(&on_their_way).is_some());
    fixture.agent(i, agent::Input::Drain);
    assert!(!fixture.agents[i].has_left());
    // The agent may end without having received the hold.
    let dismissal = fixture.requests(i);
    assert_eq!(fixture.place_again(), 1 - i);
    let requests = fixture.requests(1 - i);
    assert!(hold(&requests).is_some());
    for request in requests {
        fixture.deliver(1 - i, request);
    }
    for request in on_their_way.into_iter().chain(dismissal) {
        fixture.deliver(i, request);
    }
    assert!(fixture.agents[i].has_left());
    assert_eq!(fixture.starts, 1);
}

#[test]
fn an_agent_that_drains_leaves_only_when_the_coordinator_knows() {
    let mut fixture = Fixture::new();
    let drain =
        |agent: &mut Agent, now| agent.handle(now, agent::Input::Drain);
    let says = |actions: &[agent::Action]| {
        actions.iter().any(|action| {
            let agent::Action::Report { report, .. } = action else {
                return false;
            };
            matches!(report, AgentReport::Leaving { .. })
        })
    };
    let now = fixture.now;
    let agent = &mut fixture.agents[0];
    assert!(says(&drain(agent, now)));
    let now = now + agent::RESEND_INTERVAL;
    assert!(says(&agent.handle(now, agent::Input::Tick)));
    assert!(!agent.has_left());
    // A coordinator that is lost cannot be told.
    let from = COORDINATOR;
    agent.handle(now, agent::Input::CoordinatorDisconnected { from });
    assert!(agent.has_left());
}

#[test]
fn an_outcome_that_is_reported_while_the_job_is_marked_again_is_kept() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    fixture.marked(run, 2);
    for request in fixture.requests(i) {
        fixture.deliver(i, request);
    }
    let part = PartId { run, rank: 0 };
    let event = PartEvent::Answered(b"1".to_vec());
    let input = agent::Input::Part { part, event };
    fixture.agents[i].handle(fixture.now, input);
    // The next coordinator hears of the agent that ran the job last.
    fixture.coordinator =
        Coordinator::new(fixture.now, term::granted(2), tree());
    fixture.actions.clear();
    fixture.connect(1 - i);
    fixture.submit(true);
    assert_eq!(fixture.marking().1, 1 - i);
    fixture.connect(i);
    let outcome = fixture.coordinator.jobs()[&JOB].outcome();
    assert!(matches!(outcome, Some(Outcome::Done(_))), "{outcome:?}");
}

#[test]
fn a_coordinator_that_drains_sends_what_it_began() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    fixture.handle(coordinator::Input::Drain);
    assert!(!fixture.coordinator.is_settled());
    fixture.marked(run, 2);
    assert!(hold(&fixture.requests(i)).is_some());
    assert!(fixture.coordinator.is_settled());
}

/// Guards against a hand-over before the outcome is in the record, after which
/// the next coordinator takes an answered job to be running.
#[test]
fn a_coordinator_that_drains_saves_the_outcomes_that_it_knows() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    fixture.marked(run, 2);
    for request in fixture.requests(i) {
        fixture.deliver(i, request);
    }
    fixture.handle(coordinator::Input::Drain);
    assert!(!fixture.coordinator.has_unsaved_outcomes());
    let part = PartId { run, rank: 0 };
    let event = PartEvent::Answered(b"1".to_vec());
    fixture.agent(i, agent::Input::Part { part, event });
    assert!(fixture.coordinator.has_unsaved_outcomes());
    let saved = |ok| coordinator::Input::OutcomeSaved { job: JOB, ok };
    fixture.handle(saved(false));
    assert!(fixture.coordinator.has_unsaved_outcomes());
    fixture.handle(saved(true));
    assert!(!fixture.coordinator.has_unsaved_outcomes());
}

#[test]
fn a_job_whose_record_names_a_given_up_attempt_is_placed_again() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    let result = Err(MarkError::Unavailable);
    fixture.handle(coordinator::Input::DispatchMarked { run, result });
    let Worker {
        name, incarnation, ..
    } = worker(i);
    fixture.handle(coordinator::Input::AgentDown {
        worker: name.clone(),
        incarnation,
    });
    // The agent of the attempt is gone for good.
    let restarted = Worker {
        incarnation: 200,
        ..worker(i)
    };
    fixture.handle(coordinator::Input::Agent {
        worker: name.clone(),
        incarnation: 200,
        report: AgentReport::Full {
            term: fixture.coordinator.term(),
            worker: restarted,
            grants: Vec::new(),
            outcomes: Vec::new(),
        },
    });
    fixture.now += Duration::from_secs(2);
    fixture.handle(coordinator::Input::Tick);
    let (next, _) = fixture.marking();
    let dispatched = Dispatched {
        attempt: run.attempt,
        lead: name,
        incarnation,
    };
    let result = Err(MarkError::Dispatched(dispatched, 2));
    let run = next;
    fixture.handle(coordinator::Input::DispatchMarked { run, result });
    fixture.place_again();
    let outcome = fixture.coordinator.jobs()[&JOB].outcome();
    assert_eq!(outcome, None);
}

#[test]
fn a_hold_for_a_former_incarnation_is_not_started() {
    let mut fixture = Fixture::new();
    let (run, i) = fixture.marking();
    fixture.marked(run, 2);
    let requests = fixture.requests(i);
    let restarted = Worker {
        incarnation: 200,
        ..worker(i)
    };
    fixture.agents[i] = Agent::new(restarted, 0);
    fixture.agent(i, agent::Input::UpstreamAnnounced(CAPACITY));
    for request in requests {
        fixture.deliver(i, request);
    }
    assert_eq!(fixture.starts, 0);
}
