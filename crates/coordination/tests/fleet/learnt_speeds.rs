//! Tests of the speeds that are learnt with the feature `worker_speeds`, and of
//! the workers that are chosen by them.

use std::time::Duration;

use figrill_state::batch::Batch;
use figrill_state::event::Code;
use figrill_state::features::Features;

use crate::sim::{Sim, gang, job};
use crate::{agents_of_job, assert_no_violations};

/// Returns a site of workers with the given speeds in percent, three to a
/// rack, of which nothing is known yet.
fn new_site(speeds: &[u64]) -> Sim {
    let mut sim = Sim::new(speeds.len(), 1);
    for (node, percent) in sim.pool.nodes.values_mut().zip(speeds) {
        node.speed_percent = *percent;
    }
    sim.features = Features {
        worker_speeds: true,
        ..Features::default()
    };
    sim.take_over();
    sim.run(300);
    sim
}

/// Returns the same after each worker has run two tasks of one step.
fn learnt_site(speeds: &[u64]) -> Sim {
    let mut sim = new_site(speeds);
    let count = u32::try_from(2 * speeds.len()).expect("a few workers");
    let mut batch = job(1, 1, count, 4, 4000);
    batch.steps[0].max_per_worker = 2;
    sim.submit(batch);
    assert!(sim.run_until(10_000, Sim::all_ended));
    sim.run(500);
    sim
}

/// Makes the deadline of a job a multiple of its estimate.
fn due_within(mut batch: Batch, stretch: f64) -> Batch {
    batch.stretch = stretch;
    batch.target = Duration::from_millis(250);
    batch
}

/// Returns the number of events of a worker.
fn events(sim: &Sim, code: Code, agent: &str) -> usize {
    let of_agent = format!("agent={agent} ");
    let matches = |e: &&figrill_state::event::NewEvent| {
        e.code == code && e.detail.starts_with(&of_agent)
    };
    sim.worker_events.iter().filter(matches).count()
}

/// Returns the speed of a worker that was logged last.
fn logged_speed(sim: &Sim, agent: &str) -> f64 {
    let of_agent = format!("agent={agent} speed=");
    let mut details = sim.worker_events.iter().rev();
    let text = details.find_map(|e| e.detail.strip_prefix(&of_agent));
    let number = text.and_then(|t| t.split(' ').next());
    number.map_or(f64::NAN, |n| n.parse().expect("a number"))
}

/// Guards against speeds that are learnt slowly, so that urgent gangs stay late.
#[test]
fn one_step_accounts_for_most_of_the_differences() {
    let speeds = [60, 100, 160, 60, 100, 160];
    let mut sim = new_site(&speeds);
    let mut batch = job(1, 1, 12, 4, 4000);
    batch.steps[0].max_per_worker = 2;
    batch.payload.push_str(" vary=20");
    sim.submit(batch);
    sim.run(2500);
    for (agent, percent) in ["agent-00", "agent-01", "agent-02"]
        .into_iter()
        .zip([0.6, 1.0, 1.6_f64])
    {
        let error = (logged_speed(&sim, agent) / percent).ln().abs();
        assert!(error < 0.25, "{agent}: {:?}", sim.worker_events);
    }
}

/// Guards against work on workers that are too slow for its deadline, and
/// against work with slack on the workers that urgent work needs.
#[test]
fn workers_are_chosen_by_the_deadline() {
    struct Case {
        name: &'static str,
        batch: Batch,
        agents: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "urgent work takes the fastest worker",
            batch: due_within(job(2, 0, 1, 4, 2000), 3.0),
            agents: &["agent-02"],
        },
        Case {
            name: "work with slack takes the slowest worker",
            batch: due_within(job(2, 1, 1, 8, 2000), 4.0),
            agents: &["agent-00"],
        },
        Case {
            name: "the slowest worker that suffices",
            batch: due_within(job(2, 1, 1, 8, 2000), 1.5),
            agents: &["agent-01"],
        },
        Case {
            name: "the fastest worker if none suffices",
            batch: due_within(job(2, 1, 1, 8, 2000), 0.5),
            agents: &["agent-02"],
        },
        Case {
            name: "no worker faster than the slowest member needs",
            batch: due_within(gang(job(2, 0, 2, 8, 2000)), 1.5),
            agents: &["agent-01", "agent-02"],
        },
        Case {
            name: "no work waits for a better worker",
            batch: due_within(gang(job(2, 0, 3, 8, 2000)), 1.5),
            agents: &["agent-00", "agent-01", "agent-02"],
        },
    ];
    for case in cases {
        let mut sim = learnt_site(&[60, 100, 160]);
        sim.submit(case.batch);
        sim.run(300);
        let mut agents = agents_of_job(&sim, "0000000000000002");
        agents.sort();
        assert_eq!(agents, case.agents, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

/// Guards against a gang on a rack with a slow worker because it is fuller.
#[test]
fn a_gang_gets_the_rack_whose_slowest_worker_is_faster() {
    let mut sim = learnt_site(&[60, 100, 160, 100, 160, 100]);
    // The first rack has fewer free accelerators.
    let mut other = due_within(job(2, 1, 1, 4, 20_000), 20.0);
    other.steps[0].requires = Some("rack-0".to_owned());
    sim.submit(other);
    sim.run(300);
    let mut urgent = due_within(gang(job(3, 0, 3, 4, 2000)), 1.5);
    urgent.steps[0].same_rack = true;
    urgent.steps[0].max_per_worker = 1;
    sim.submit(urgent);
    sim.run(300);
    let mut agents = agents_of_job(&sim, "0000000000000003");
    agents.sort();
    assert_eq!(agents, ["agent-03", "agent-04", "agent-05"]);
}

/// Guards against blaming a worker for a task that takes longer than others.
#[test]
fn a_long_task_does_not_blame_its_worker() {
    struct Case {
        name: &'static str,
        batch: Batch,
        /// A word of the payload.
        word: &'static str,
    }
    let cases = [
        Case {
            name: "a straggler beside other tasks",
            batch: job(2, 1, 12, 2, 4000),
            word: " straggler=5",
        },
        Case {
            name: "a straggler in the middle of a second job",
            batch: job(2, 1, 12, 2, 3000),
            word: " straggler=1",
        },
        Case {
            name: "a gang that takes three times as long as estimated",
            batch: gang(job(2, 1, 3, 8, 4000)),
            word: " ms=12000",
        },
    ];
    for case in cases {
        let mut sim = learnt_site(&[100, 100, 100]);
        let mut batch = case.batch;
        batch.payload.push_str(case.word);
        sim.submit(batch);
        sim.run(12_000);
        let slowed = |agent| events(&sim, Code::WorkerSlowed, agent);
        let slowed: usize = ["agent-00", "agent-01", "agent-02"]
            .map(slowed)
            .iter()
            .sum();
        assert_eq!(slowed, 0, "{}: {:?}", case.name, sim.worker_events);
        for agent in ["agent-00", "agent-01", "agent-02"] {
            let error = logged_speed(&sim, agent).ln().abs();
            assert!(error < 0.2, "{}: {:?}", case.name, sim.worker_events);
        }
    }
}

/// Guards against work on a worker that is slow for some seconds, and against
/// avoiding it afterwards.
#[test]
fn a_sudden_slowdown_shows_within_about_a_second_and_clears() {
    const AGENT: &str = "agent-01";
    for percent in [25, 12] {
        let mut sim = learnt_site(&[100, 100, 100]);
        sim.submit(job(2, 1, 12, 2, 20_000));
        sim.run(3000);
        let set = |sim: &mut Sim, percent| {
            let node = sim.pool.nodes.get_mut(AGENT);
            node.expect("a node").speed_percent = percent;
        };
        let has = |code| move |s: &Sim| events(s, code, AGENT) > 0;
        set(&mut sim, percent);
        let shown = sim.run_until(1400, has(Code::WorkerSlowed));
        assert!(shown, "{percent}: {:?}", sim.worker_events);
        assert!(logged_speed(&sim, AGENT) < 0.5, "{:?}", sim.worker_events);
        sim.run(2000);
        set(&mut sim, 100);
        let cleared = sim.run_until(1400, has(Code::WorkerSpeedRestored));
        assert!(cleared, "{percent}: {:?}", sim.worker_events);
        let error = logged_speed(&sim, AGENT).ln().abs();
        assert!(error < 0.2, "{percent}: {:?}", sim.worker_events);
        for other in ["agent-00", "agent-02"] {
            assert_eq!(events(&sim, Code::WorkerSlowed, other), 0);
        }
    }
}

/// Guards against avoiding a worker for good whose slow runs have all ended.
#[test]
fn a_slow_worker_is_used_again_some_seconds_after_it_was_seen_slow() {
    let mut sim = learnt_site(&[100, 100, 100]);
    sim.submit(job(2, 1, 3, 8, 4000));
    sim.run(1500);
    let node = sim.pool.nodes.get_mut("agent-00");
    node.expect("a node").speed_percent = 12;
    sim.run(2000);
    let batch = |id| due_within(job(id, 0, 1, 8, 1000), 1.5);
    sim.cancel(figrill_state::batch::BatchId(2));
    sim.run(1000);
    sim.submit(batch(3));
    sim.run(300);
    assert_ne!(agents_of_job(&sim, "0000000000000003"), ["agent-00"]);
    sim.run(6000);
    sim.submit(batch(4));
    sim.run(300);
    assert_eq!(agents_of_job(&sim, "0000000000000004"), ["agent-00"]);
}

/// Guards against a worker whose speed has changed for good, and that counts as
/// slowed and is mistaken for as fast as before, by turns.
#[test]
fn a_lasting_change_is_learnt() {
    let mut sim = learnt_site(&[160, 100, 100]);
    let node = sim.pool.nodes.get_mut("agent-00");
    node.expect("a node").speed_percent = 40;
    for id in 2..12 {
        sim.submit(job(id, 1, 12, 2, 4000));
        sim.run(6000);
    }
    sim.worker_events.retain(|e| e.code == Code::WorkerSpeed);
    let error = (logged_speed(&sim, "agent-00") / 0.4).ln().abs();
    assert!(error < 0.3, "{:?}", sim.worker_events);
}

/// Guards against unknown workers that are preferred to known ones, and against
/// ones that are never tried.
#[test]
fn unknown_workers_come_between_slow_and_normal_ones() {
    let mut sim = new_site(&[60, 100, 100, 100]);
    let mut batch = job(1, 1, 6, 4, 4000);
    batch.steps[0].requires = Some("rack-0".to_owned());
    sim.submit(batch);
    assert!(sim.run_until(10_000, Sim::all_ended));
    sim.run(500);
    for id in 2..6 {
        sim.submit(due_within(job(id, 0, 1, 8, 5000), 1.5));
        sim.run(100);
    }
    let agents: Vec<String> = (2..6)
        .flat_map(|id| agents_of_job(&sim, &format!("{id:016x}")))
        .collect();
    assert_eq!(agents[2..], ["agent-03", "agent-00"], "{agents:?}");
}

/// Guards against work that counts as longer than it is because other work of
/// its queue was spread over racks or away from its data.
#[test]
fn tasks_on_other_racks_say_nothing_of_their_queue() {
    struct Case {
        name: &'static str,
        change: fn(&mut Batch),
    }
    let cases = [
        Case {
            name: "a gang over two racks",
            change: |batch| batch.steps[0].same_rack = true,
        },
        Case {
            name: "a gang away from its data",
            change: |batch| {
                batch.steps[0].data_rack = Some("rack-9".to_owned());
            },
        },
    ];
    for case in cases {
        let mut sim = learnt_site(&[60, 100, 160, 100]);
        for id in 2..8 {
            let mut batch = gang(job(id, 1, 4, 8, 1000));
            batch.payload.push_str(" ms=3000");
            (case.change)(&mut batch);
            sim.submit(batch);
            assert!(sim.run_until(20_000, Sim::all_ended), "{}", case.name);
        }
        sim.submit(due_within(job(9, 1, 1, 8, 2000), 1.9));
        sim.run(300);
        let agents = agents_of_job(&sim, "0000000000000009");
        assert_ne!(agents, ["agent-02"], "{}", case.name);
    }
}
