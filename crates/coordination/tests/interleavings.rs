//! Agents, leads and two coordinators under random schedules: messages are
//! late, streams break, a coordinator is paused and wakes up. Seeds are
//! fixed; a failure names its seed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use figrill_coordination::{
    agent::{self, Agent, Task, grant::PartEvent},
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

/// Nobody may run a part alone for longer than this: lead and member each
/// wait one run lease, and what stops is noticed at the next step.
const ALONE: Duration = Duration::from_millis(6500);

struct Random(u64);

impl Random {
    const fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    const fn one_in(&mut self, n: u64) -> bool {
        self.next().is_multiple_of(n)
    }
}

#[derive(Clone, Debug)]
enum Letter {
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

impl Letter {
    /// Letters of one stream keep their order.
    fn stream(&self) -> (u8, u64, u64) {
        match self {
            Self::Request { from, to, .. } => (0, *from, *to as u64),
            Self::Report { from, to, .. } => (1, *from as u64, *to),
            Self::ToMember { to, lead, .. } => (2, *lead as u64, *to as u64),
            Self::ToLead { from, to, .. } => (3, *from as u64, *to as u64),
        }
    }
}

struct World {
    now: Duration,
    random: Random,
    agents: Vec<Agent>,
    coordinators: BTreeMap<u64, Coordinator>,
    paused: BTreeSet<u64>,
    streams: BTreeMap<(u8, u64, u64), VecDeque<Letter>>,
    running: BTreeMap<(usize, Task), Duration>,
    started: BTreeMap<JobId, BTreeSet<Run>>,
    outcomes: BTreeMap<JobId, Outcome>,
    jobs: BTreeMap<JobId, Job>,
    alone_since: BTreeMap<Run, Duration>,
    sent: BTreeSet<JobId>,
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

fn coordinator(now: Duration, count: u64) -> Coordinator {
    let text = "[workspace/a]\nguarantee = 1x8\n[workspace/b]\n";
    let tree = Tree::parse(text, "test").expect("good settings");
    Coordinator::new(now, term::granted(count), Arc::new(tree))
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
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
            alone_since: BTreeMap::new(),
            sent: BTreeSet::new(),
            records: BTreeMap::new(),
        };
        for i in 0..AGENTS {
            world.agent(i, agent::Input::UpstreamAnnounced(CAPACITY));
        }
        world.lead(1);
        world
    }

    /// Starts the `count`th coordinator; all agents are connected to it.
    fn lead(&mut self, count: u64) {
        self.coordinators
            .insert(count, coordinator(self.now, count));
        for i in 0..AGENTS {
            let input = coordinator::Input::AgentUp(worker(i));
            self.coordinate(count, input);
        }
        for job in self.jobs.values().cloned().collect::<Vec<_>>() {
            if !self.outcomes.contains_key(&job.id) {
                self.submit(count, job);
            }
        }
    }

    fn submit(&mut self, count: u64, job: Job) {
        let maybe_started = !self.sent.insert(job.id);
        let job = Box::new(job);
        let age = Duration::ZERO;
        let request = JobRequest::Submit {
            job,
            age,
            maybe_started,
        };
        let input = coordinator::Input::Entry { from: 1, request };
        self.coordinate(count, input);
    }

    fn post(&mut self, letter: Letter) {
        let stream = self.streams.entry(letter.stream()).or_default();
        stream.push_back(letter);
    }

    fn coordinate(&mut self, count: u64, input: coordinator::Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(it) = self.coordinators.get_mut(&count) else {
                return;
            };
            for action in it.handle(self.now, input) {
                match action {
                    coordinator::Action::ToAgent { worker, request } => {
                        let to = worker[1..].parse().expect("an index");
                        self.post(Letter::Request {
                            from: count,
                            to,
                            request,
                        });
                    }
                    coordinator::Action::ToEntry { report, .. } => {
                        if let JobReport::Ended { job, outcome } = report {
                            self.ended(count, job, outcome, &mut inputs);
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
                        let result = self.mark(run, version, dispatched);
                        inputs.push_back(coordinator::Input::Marked {
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

    /// What the store does: a record is marked once a version.
    fn mark(
        &mut self,
        run: Run,
        version: u64,
        dispatched: Dispatched,
    ) -> Result<u64, MarkError> {
        let record = self.records.entry(run.job).or_insert((1, None));
        if record.0 != version {
            let other = record.1.clone().expect("only marks change it");
            return Err(MarkError::Dispatched(other, record.0));
        }
        *record = (version + 1, Some(dispatched));
        Ok(version + 1)
    }

    fn ended(
        &mut self,
        count: u64,
        job: JobId,
        outcome: Outcome,
        inputs: &mut VecDeque<coordinator::Input>,
    ) {
        // Entries hear only the coordinator with the highest term.
        let newest = self.coordinators.keys().max();
        if newest != Some(&count) {
            return;
        }
        let request = JobRequest::Ack { job };
        inputs.push_back(coordinator::Input::Entry { from: 1, request });
        if let Outcome::Done(answer) = &outcome {
            let parts = self.jobs[&job].shape.parts;
            assert!(answer.is_complete(parts), "a whole answer");
            let of_one_attempt = answer
                .parts
                .iter()
                .all(|p| p.bytes == answer.attempt.0.to_le_bytes());
            assert!(of_one_attempt, "all parts of one attempt");
        }
        if let Outcome::NotRun(_) = outcome {
            assert!(!self.started.contains_key(&job), "not run is true");
        }
        self.outcomes.entry(job).or_insert(outcome);
    }

    fn agent(&mut self, i: usize, input: agent::Input) {
        for action in self.agents[i].handle(self.now, input) {
            match action {
                agent::Action::Report { to, report } => {
                    self.post(Letter::Report {
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
                    let to = member.address.parse().expect("an index");
                    self.post(Letter::ToMember {
                        to,
                        run,
                        request,
                        lead: i,
                    });
                }
                agent::Action::ToLead { lead, run, report } => {
                    let to = lead.address.parse().expect("an index");
                    self.post(Letter::ToLead {
                        from: i,
                        to,
                        run,
                        report,
                    });
                }
                agent::Action::Start { task, .. } => {
                    let ms = 100 + self.random.next() % 3000;
                    let end = self.now + Duration::from_millis(ms);
                    self.running.insert((i, task), end);
                    let runs = self.started.entry(task.run.job).or_default();
                    runs.insert(task.run);
                }
                agent::Action::Stop { task, .. } => {
                    if self.running.remove(&(i, task)).is_some() {
                        let event = PartEvent::Stopped(None);
                        self.agent(i, agent::Input::Part { task, event });
                    }
                }
                agent::Action::RecordEvent(_) => {}
            }
        }
        let used = self.agents[i].used();
        assert!(CAPACITY.fits(used), "an accelerator granted twice");
    }

    fn deliver(&mut self) {
        let streams: Vec<_> = self.streams.keys().copied().collect();
        for stream in streams {
            // Some streams are slow, some break with all that is on them.
            if self.random.one_in(4) {
                continue;
            }
            if stream.0 >= 2 && self.random.one_in(40) {
                self.streams.remove(&stream);
                continue;
            }
            let letters = self.streams.remove(&stream).unwrap_or_default();
            for letter in letters {
                self.hand_over(letter);
            }
        }
    }

    fn hand_over(&mut self, letter: Letter) {
        match letter {
            Letter::Request { from, to, request } => {
                let input = agent::Input::Coordinator { from, request };
                self.agent(to, input);
            }
            Letter::Report { from, to, report } => {
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
                self.coordinate(to, input);
            }
            Letter::ToMember {
                to,
                run,
                request,
                lead,
            } => {
                self.agent(to, agent::Input::Tick);
                if self.agents[to].has_grant_or_refuse(run) {
                    self.agent(to, agent::Input::Lead { run, request });
                } else if request != MemberRequest::Abort {
                    let report = MemberReport::NoGrant;
                    let letter = Letter::ToLead {
                        from: to,
                        to: lead,
                        run,
                        report,
                    };
                    self.post(letter);
                }
            }
            Letter::ToLead {
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
                self.agent(to, input);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for i in 0..AGENTS {
            self.agent(i, agent::Input::UpstreamAnnounced(CAPACITY));
        }
        let due: Vec<(usize, Task)> = self
            .running
            .iter()
            .filter(|(_, end)| self.now >= **end)
            .map(|(key, _)| *key)
            .collect();
        for (i, task) in due {
            self.running.remove(&(i, task));
            let bytes = task.run.attempt.0.to_le_bytes().to_vec();
            let event = PartEvent::Answered(bytes);
            self.agent(i, agent::Input::Part { task, event });
        }
        let counts: Vec<u64> = self.coordinators.keys().copied().collect();
        for count in counts {
            if !self.paused.contains(&count) {
                self.coordinate(count, coordinator::Input::Tick);
            }
        }
        self.check_alone();
    }

    /// A part whose gang never started as a whole, or has lost a part, does
    /// not run on for longer than the bound.
    fn check_alone(&mut self) {
        let runs: BTreeSet<Run> =
            self.running.keys().map(|(_, task)| task.run).collect();
        self.alone_since.retain(|run, _| runs.contains(run));
        for run in runs {
            let parts = self.jobs[&run.job].shape.parts as usize;
            let known = self
                .agents
                .iter_mut()
                .filter(|a| a.granted_parts(run) > 0)
                .map(|a| a.granted_parts(run))
                .sum::<usize>();
            if known >= parts {
                self.alone_since.remove(&run);
                continue;
            }
            let since = *self.alone_since.entry(run).or_insert(self.now);
            let answered = self.now.saturating_sub(since);
            // Parts that have answered leave; the rest of a good gang runs
            // at most 3.1 s here, so only a broken one can reach the bound.
            assert!(answered < ALONE, "{run:?} outlived its gang");
        }
    }
}

fn job(random: &mut Random, id: u128) -> Job {
    let parts = 1 + u32::try_from(random.next() % 6).expect("small");
    let accelerators = 1 + u32::try_from(random.next() % 8).expect("small");
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

fn run(seed: u64) {
    let mut world = World::new(seed);
    let mut leader = 1;
    for turn in 0..600_u64 {
        if turn < 300 && world.random.one_in(6) {
            let mut job = job(&mut world.random, u128::from(turn) + 1);
            job.inputs = vec![Vec::new(); job.shape.parts as usize];
            // What may not be repeated has a record in the store.
            job.repeatable = world.random.one_in(2);
            job.record = (!job.repeatable).then_some(1);
            world.jobs.insert(job.id, job.clone());
            world.submit(leader, job);
        }
        if turn < 300 && world.random.one_in(60) {
            // The leader is paused, another takes over, and the first wakes
            // up later and goes on as if nothing had happened.
            world.paused.insert(leader);
            leader += 1;
            world.lead(leader);
        }
        if world.random.one_in(30) {
            world.paused.clear();
        }
        if turn < 300 && world.random.one_in(12) {
            let pick = world.random.next();
            let jobs: Vec<JobId> = world.jobs.keys().copied().collect();
            if let Some(job) = jobs
                .get(usize::try_from(pick).unwrap_or(0) % jobs.len().max(1))
            {
                let request = JobRequest::Cancel {
                    job: *job,
                    scope: None,
                };
                let input = coordinator::Input::Entry { from: 1, request };
                world.coordinate(leader, input);
            }
        }
        world.step();
    }
    world.paused.clear();
    for _ in 0..1200 {
        world.step();
        if world.outcomes.len() == world.jobs.len() {
            break;
        }
    }
    for (id, job) in &world.jobs {
        let outcome = world.outcomes.get(id);
        let newest = world.coordinators.values().next_back();
        let known = newest.and_then(|c| c.jobs().get(id));
        assert!(outcome.is_some(), "seed {seed}: {id} stands at {known:?}");
        let runs = world.started.get(id).map_or(0, BTreeSet::len);
        if !job.repeatable {
            assert!(runs <= 1, "seed {seed}: {id} started {runs} times");
        }
    }
}

#[test]
fn promises_hold_over_random_interleavings() {
    for seed in 1..=120 {
        let result = std::panic::catch_unwind(|| run(seed));
        if let Err(why) = result {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(why);
        }
    }
}
