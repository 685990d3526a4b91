//! Simulates agents, leads and successive coordinators under random schedules.
//!
//! Messages are delayed, streams between agents break, and a coordinator is
//! paused, replaced, and resumed without noticing. The simulation guards
//! against capacity granted twice, answers mixed from several attempts,
//! repeated runs of jobs that must run at most once, and parts that continue
//! to run without their gang. Seeds are fixed, and a failure names its seed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use figrill_coordination::{
    agent::{self, Agent, PartId, grant::PartEvent},
    coordinator::{self, Coordinator, MarkError},
    message::{
        AgentReport, AgentRequest, Dispatched, JobReport, JobRequest,
        MemberReport, MemberRequest, Run,
    },
    term,
};
use figrill_state::{
    job::{Adjacency, Class, Job, JobId, Outcome, Shape},
    settings::Tree,
    worker::{Capacity, Place, Worker},
};

const AGENTS: usize = 4;
const CAPACITY: Capacity = Capacity {
    accelerators: 8,
    slots: 8,
    memory_mib: 1000,
};
const STEP: Duration = Duration::from_millis(50);

/// The maximum time that a part may run while its gang is incomplete. The lead
/// waits for one run lease of 3 s before it stops the gang, and a member that
/// misses this stop runs until its own lease ends. The remaining 0.5 s covers
/// delayed messages and the step at which the stop takes effect.
const MAX_INCOMPLETE_TIME: Duration = Duration::from_millis(6500);

/// A xorshift generator. Its state must not be zero.
struct Random(u64);

impl Random {
    const fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns true with a probability of one in `n`.
    const fn one_in(&mut self, n: u64) -> bool {
        self.next().is_multiple_of(n)
    }
}

/// A message in flight. Agents are identified by their indexes, coordinators
/// by their grant numbers, as in [`Simulation::coordinators`].
#[derive(Clone, Debug)]
enum Message {
    Request {
        from: u64,
        to: usize,
        request: AgentRequest,
    },
    Report {
        from: usize,
        to: u64,
        report: AgentReport,
    },
    ToMember {
        to: usize,
        run: Run,
        request: MemberRequest,
        lead: usize,
    },
    ToLead {
        from: usize,
        to: usize,
        run: Run,
        report: MemberReport,
    },
}

impl Message {
    /// Returns the stream of the message: its kind, sender and receiver.
    /// Messages on one stream keep their order.
    fn stream(&self) -> (u8, u64, u64) {
        match self {
            Self::Request { from, to, .. } => (0, *from, *to as u64),
            Self::Report { from, to, .. } => (1, *from as u64, *to),
            Self::ToMember { to, lead, .. } => (2, *lead as u64, *to as u64),
            Self::ToLead { from, to, .. } => (3, *from as u64, *to as u64),
        }
    }
}

struct Simulation {
    now: Duration,
    random: Random,
    agents: Vec<Agent>,
    /// Coordinators by the number of the store's grant of their term. The last
    /// one is the current coordinator.
    coordinators: BTreeMap<u64, Coordinator>,
    /// The paused coordinators. They do not tick, and agents' reports to them
    /// are lost.
    paused: BTreeSet<u64>,
    streams: BTreeMap<(u8, u64, u64), VecDeque<Message>>,
    /// Running parts by agent, with the time at which each finishes.
    running: BTreeMap<(usize, PartId), Duration>,
    /// The attempts of each job of which at least one part has started.
    started: BTreeMap<JobId, BTreeSet<Run>>,
    /// The first outcome of each job that an entry accepted.
    outcomes: BTreeMap<JobId, Outcome>,
    jobs: BTreeMap<JobId, Job>,
    /// Since when the grants of a running attempt have covered fewer parts
    /// than the job has.
    incomplete_since: BTreeMap<Run, Duration>,
    /// Jobs that were submitted to any coordinator.
    submitted: BTreeSet<JobId>,
    /// The version and the dispatch mark of each job's record in the store.
    records: BTreeMap<JobId, (u64, Option<Dispatched>)>,
}

fn worker(i: usize) -> Worker {
    Worker {
        name: format!("w{i}"),
        incarnation: 100 + i as u64,
        address: i.to_string(),
        place: Place {
            failure_domain: "d".to_owned(),
            rack: format!("r{}", i / 2),
        },
        capacity: CAPACITY,
    }
}

fn coordinator(now: Duration, grant_number: u64) -> Coordinator {
    let text = "[workspace/a]\nguarantee = 1x8\n[workspace/b]\n";
    let tree = Tree::parse(text, "test").expect("the settings are valid");
    Coordinator::new(now, term::granted(grant_number), Arc::new(tree))
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut sim = Self {
            now: Duration::ZERO,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            agents: (0..AGENTS).map(|i| Agent::new(worker(i), 0)).collect(),
            coordinators: BTreeMap::new(),
            paused: BTreeSet::new(),
            streams: BTreeMap::new(),
            running: BTreeMap::new(),
            started: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            jobs: BTreeMap::new(),
            incomplete_since: BTreeMap::new(),
            submitted: BTreeSet::new(),
            records: BTreeMap::new(),
        };
        for i in 0..AGENTS {
            sim.handle_agent(i, agent::Input::UpstreamAnnounced(CAPACITY));
        }
        sim.start_coordinator(1);
        sim
    }

    /// Starts the coordinator whose term is the store's grant `grant_number`,
    /// connects all agents to it and submits all unfinished jobs to it.
    fn start_coordinator(&mut self, grant_number: u64) {
        self.coordinators
            .insert(grant_number, coordinator(self.now, grant_number));
        for i in 0..AGENTS {
            let input = coordinator::Input::AgentUp(worker(i));
            self.handle_coordinator(grant_number, input);
        }
        for job in self.jobs.values().cloned().collect::<Vec<_>>() {
            if !self.outcomes.contains_key(&job.id) {
                self.submit(grant_number, job);
            }
        }
    }

    fn submit(&mut self, grant_number: u64, job: Job) {
        let maybe_started = !self.submitted.insert(job.id);
        let job = Box::new(job);
        let age = Duration::ZERO;
        let request = JobRequest::Submit {
            job,
            age,
            maybe_started,
        };
        let input = coordinator::Input::Entry { from: 1, request };
        self.handle_coordinator(grant_number, input);
    }

    fn send(&mut self, message: Message) {
        let stream = self.streams.entry(message.stream()).or_default();
        stream.push_back(message);
    }

    fn handle_coordinator(
        &mut self,
        grant_number: u64,
        input: coordinator::Input,
    ) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(coordinator) = self.coordinators.get_mut(&grant_number)
            else {
                return;
            };
            for action in coordinator.handle(self.now, input) {
                match action {
                    coordinator::Action::ToAgent { worker, request } => {
                        let to = worker[1..]
                            .parse()
                            .expect("the name is `w` and an index");
                        self.send(Message::Request {
                            from: grant_number,
                            to,
                            request,
                        });
                    }
                    coordinator::Action::ToEntry { report, .. } => {
                        if let JobReport::Ended { job, outcome } = report {
                            self.record_outcome(
                                grant_number,
                                job,
                                outcome,
                                &mut inputs,
                            );
                        }
                    }
                    coordinator::Action::MarkDispatched {
                        run,
                        version,
                        lead,
                        incarnation,
                    } => {
                        let dispatched = Dispatched {
                            attempt: run.attempt,
                            lead,
                            incarnation,
                        };
                        let result =
                            self.mark_dispatched(run, version, dispatched);
                        inputs.push_back(coordinator::Input::DispatchMarked {
                            run,
                            result,
                        });
                    }
                    coordinator::Action::SaveOutcome { job, .. } => {
                        let ok = true;
                        let input =
                            coordinator::Input::OutcomeSaved { job, ok };
                        inputs.push_back(input);
                    }
                    coordinator::Action::RecordEvent(_) => {}
                }
            }
        }
    }

    /// Marks a job's record as dispatched and returns its new version. Like
    /// the store, fails if the record no longer has the given version.
    fn mark_dispatched(
        &mut self,
        run: Run,
        version: u64,
        dispatched: Dispatched,
    ) -> Result<u64, MarkError> {
        let record = self.records.entry(run.job).or_insert((1, None));
        if record.0 != version {
            let earlier = record
                .1
                .clone()
                .expect("only marks change a record's version");
            return Err(MarkError::Dispatched(earlier, record.0));
        }
        *record = (version + 1, Some(dispatched));
        Ok(version + 1)
    }

    fn record_outcome(
        &mut self,
        grant_number: u64,
        job: JobId,
        outcome: Outcome,
        inputs: &mut VecDeque<coordinator::Input>,
    ) {
        // Entries accept reports only from the coordinator with the highest
        // term.
        let newest = self.coordinators.keys().max();
        if newest != Some(&grant_number) {
            return;
        }
        let request = JobRequest::Ack { job };
        inputs.push_back(coordinator::Input::Entry { from: 1, request });
        if let Outcome::Done(answer) = &outcome {
            let parts = self.jobs[&job].shape.parts;
            assert!(answer.is_complete(parts), "{job:?}: answer lacks parts");
            let of_one_attempt = answer
                .parts
                .iter()
                .all(|p| p.bytes == answer.attempt.0.to_le_bytes());
            assert!(of_one_attempt, "{job:?}: answer mixes attempts");
        }
        if let Outcome::NotRun(_) = outcome {
            assert!(
                !self.started.contains_key(&job),
                "{job:?}: reported as not run, but was started"
            );
        }
        self.outcomes.entry(job).or_insert(outcome);
    }

    fn handle_agent(&mut self, i: usize, input: agent::Input) {
        for action in self.agents[i].handle(self.now, input) {
            match action {
                agent::Action::Report { to, report } => {
                    self.send(Message::Report {
                        from: i,
                        to,
                        report,
                    });
                }
                agent::Action::ToMember {
                    member,
                    run,
                    request,
                } => {
                    let to = member
                        .address
                        .parse()
                        .expect("the address is an index");
                    self.send(Message::ToMember {
                        to,
                        run,
                        request,
                        lead: i,
                    });
                }
                agent::Action::ToLead { lead, run, report } => {
                    let to =
                        lead.address.parse().expect("the address is an index");
                    self.send(Message::ToLead {
                        from: i,
                        to,
                        run,
                        report,
                    });
                }
                agent::Action::Start { part, .. } => {
                    let ms = 100 + self.random.next() % 3000;
                    let end = self.now + Duration::from_millis(ms);
                    self.running.insert((i, part), end);
                    let runs = self.started.entry(part.run.job).or_default();
                    runs.insert(part.run);
                }
                agent::Action::Stop { part, .. } => {
                    if self.running.remove(&(i, part)).is_some() {
                        let event = PartEvent::Stopped(None);
                        self.handle_agent(
                            i,
                            agent::Input::Part { part, event },
                        );
                    }
                }
                agent::Action::RecordEvent(_) => {}
            }
        }
        let used = self.agents[i].used();
        assert!(
            CAPACITY.fits(used),
            "agent {i} granted more than its capacity"
        );
    }

    fn deliver(&mut self) {
        let streams: Vec<_> = self.streams.keys().copied().collect();
        for stream in streams {
            // Each step delays some streams. Some streams between agents break
            // instead, and lose their messages.
            if self.random.one_in(4) {
                continue;
            }
            if stream.0 >= 2 && self.random.one_in(40) {
                self.streams.remove(&stream);
                continue;
            }
            let messages = self.streams.remove(&stream).unwrap_or_default();
            for message in messages {
                self.handle_message(message);
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request { from, to, request } => {
                let input = agent::Input::Coordinator { from, request };
                self.handle_agent(to, input);
            }
            Message::Report { from, to, report } => {
                if self.paused.contains(&to) {
                    return;
                }
                if let AgentReport::Fenced { .. } = report {
                    self.coordinators.remove(&to);
                    return;
                }
                let input = coordinator::Input::Agent {
                    worker: format!("w{from}"),
                    incarnation: 100 + from as u64,
                    report,
                };
                self.handle_coordinator(to, input);
            }
            Message::ToMember {
                to,
                run,
                request,
                lead,
            } => {
                self.handle_agent(to, agent::Input::Tick);
                if self.agents[to].has_grant_or_refuse(run) {
                    self.handle_agent(to, agent::Input::Lead { run, request });
                } else if request != MemberRequest::Abort {
                    let report = MemberReport::NoGrant;
                    let message = Message::ToLead {
                        from: to,
                        to: lead,
                        run,
                        report,
                    };
                    self.send(message);
                }
            }
            Message::ToLead {
                from,
                to,
                run,
                report,
            } => {
                let input = agent::Input::Member {
                    run,
                    worker: format!("w{from}"),
                    incarnation: 100 + from as u64,
                    report,
                };
                self.handle_agent(to, input);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for i in 0..AGENTS {
            self.handle_agent(i, agent::Input::UpstreamAnnounced(CAPACITY));
        }
        let due: Vec<(usize, PartId)> = self
            .running
            .iter()
            .filter(|(_, end)| self.now >= **end)
            .map(|(key, _)| *key)
            .collect();
        for (i, part) in due {
            self.running.remove(&(i, part));
            let bytes = part.run.attempt.0.to_le_bytes().to_vec();
            let event = PartEvent::Answered(bytes);
            self.handle_agent(i, agent::Input::Part { part, event });
        }
        let grant_numbers: Vec<u64> =
            self.coordinators.keys().copied().collect();
        for grant_number in grant_numbers {
            if !self.paused.contains(&grant_number) {
                self.handle_coordinator(
                    grant_number,
                    coordinator::Input::Tick,
                );
            }
        }
        self.check_incomplete_gangs();
    }

    /// Checks that no part runs for longer than [`MAX_INCOMPLETE_TIME`] while
    /// its gang is incomplete, because the gang has lost a part or has never
    /// started completely.
    fn check_incomplete_gangs(&mut self) {
        let runs: BTreeSet<Run> =
            self.running.keys().map(|(_, part)| part.run).collect();
        self.incomplete_since.retain(|run, _| runs.contains(run));
        for run in runs {
            let parts = self.jobs[&run.job].shape.parts as usize;
            let granted = self
                .agents
                .iter_mut()
                .filter(|a| a.granted_parts(run) > 0)
                .map(|a| a.granted_parts(run))
                .sum::<usize>();
            if granted >= parts {
                self.incomplete_since.remove(&run);
                continue;
            }
            let since = *self.incomplete_since.entry(run).or_insert(self.now);
            let incomplete_for = self.now.saturating_sub(since);
            // A grant also ends once its parts have answered. The other parts
            // of an intact gang then run for at most 3.1 s, so only a broken
            // gang can reach the limit.
            assert!(
                incomplete_for < MAX_INCOMPLETE_TIME,
                "{run:?} ran for {incomplete_for:?} in an incomplete gang"
            );
        }
    }
}

/// Returns a random job that fits on the agents when they are idle.
fn job(random: &mut Random, id: u128) -> Job {
    let parts = 1 + u32::try_from(random.next() % 6).expect("fits into u32");
    let accelerators =
        1 + u32::try_from(random.next() % 8).expect("fits into u32");
    Job {
        id: JobId(id),
        workspace: if random.one_in(2) { "a" } else { "b" }.to_owned(),
        service: "s".to_owned(),
        shape: Shape {
            parts: parts.min(4 * (8 / accelerators)),
            accelerators,
            memory_mib: 0,
            adjacency: Adjacency::None,
        },
        declared: None,
        deadline: None,
        class: Class::Normal,
        repeatable: true,
        record: None,
        inputs: Vec::new(),
    }
}

/// Runs the simulation with one seed. Jobs, cancellations and pauses occur in
/// the first 300 steps only, and all jobs must end within 1200 steps after the
/// 600th.
fn run_seed(seed: u64) {
    let mut sim = Simulation::new(seed);
    let mut current_coordinator = 1;
    for step in 0..600_u64 {
        if step < 300 && sim.random.one_in(6) {
            let mut job = job(&mut sim.random, u128::from(step) + 1);
            job.inputs = vec![Vec::new(); job.shape.parts as usize];
            // Jobs that must not run twice have a record in the store.
            job.repeatable = sim.random.one_in(2);
            job.record = (!job.repeatable).then_some(1);
            sim.jobs.insert(job.id, job.clone());
            sim.submit(current_coordinator, job);
        }
        if step < 300 && sim.random.one_in(60) {
            // The coordinator is paused and another takes over. The first one
            // is resumed later and does not notice the pause.
            sim.paused.insert(current_coordinator);
            current_coordinator += 1;
            sim.start_coordinator(current_coordinator);
        }
        if sim.random.one_in(30) {
            sim.paused.clear();
        }
        if step < 300 && sim.random.one_in(12) {
            let pick = sim.random.next();
            let jobs: Vec<JobId> = sim.jobs.keys().copied().collect();
            if let Some(job) = jobs
                .get(usize::try_from(pick).unwrap_or(0) % jobs.len().max(1))
            {
                let request = JobRequest::Cancel {
                    job: *job,
                    scope: None,
                };
                let input = coordinator::Input::Entry { from: 1, request };
                sim.handle_coordinator(current_coordinator, input);
            }
        }
        sim.step();
    }
    sim.paused.clear();
    for _ in 0..1200 {
        sim.step();
        if sim.outcomes.len() == sim.jobs.len() {
            break;
        }
    }
    for (id, job) in &sim.jobs {
        let outcome = sim.outcomes.get(id);
        let coordinator = sim.coordinators.values().next_back();
        let known = coordinator.and_then(|c| c.jobs().get(id));
        assert!(
            outcome.is_some(),
            "seed {seed}: {id} has no outcome; the coordinator has {known:?}"
        );
        let runs = sim.started.get(id).map_or(0, BTreeSet::len);
        if !job.repeatable {
            assert!(runs <= 1, "seed {seed}: {id} started {runs} times");
        }
    }
}

#[test]
fn invariants_hold_over_random_interleavings() {
    for seed in 1..=120 {
        let result = std::panic::catch_unwind(|| run_seed(seed));
        if let Err(panic) = result {
            eprintln!("the simulation failed with seed {seed}");
            std::panic::resume_unwind(panic);
        }
    }
}
