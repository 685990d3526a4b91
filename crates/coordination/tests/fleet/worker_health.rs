//! Tests of workers that fail the runs that they start.

mod last_attempts;

use std::time::Duration;

use figrill_state::batch::{BatchId, BatchState};
use figrill_state::event::Code;
use figrill_state::features::Features;

use crate::sim::{Sim, gang, job};
use crate::{agents_of_job, assert_no_violations, count_events};

const HEALTH: Features = Features {
    delay_cost: false,
    worker_speeds: false,
    worker_health: true,
    retry_outlook: false,
};

fn set_fails_starts(sim: &mut Sim, agents: &[&str], fails: bool) {
    for agent in agents {
        let node = sim.pool.nodes.get_mut(*agent);
        node.expect("the agent has a node").fails_after_ms =
            fails.then_some(40);
    }
}

/// Returns the details of the health events of one kind.
fn details(sim: &Sim, code: Code) -> Vec<&str> {
    let events = sim.health_events.iter().filter(|(_, c, _)| *c == code);
    events.map(|(.., detail)| detail.as_str()).collect()
}

/// The outcome of [`black_hole_load`].
#[derive(Debug)]
struct Outcome {
    /// Urgent jobs that were reported as failed.
    failed_jobs: usize,
    failed_runs: usize,
}

/// Lets three of twelve workers fail every run for six seconds while urgent
/// gangs and many small tasks arrive.
fn black_hole_load(seed: u64, features: Features) -> Outcome {
    const BAD: [&str; 3] = ["agent-01", "agent-04", "agent-09"];
    const URGENT_JOBS: u64 = 45;
    let mut sim = Sim::with_features(12, seed, features);
    sim.submit(job(100, 2, 120, 1, 5000));
    sim.run(2000);
    set_fails_starts(&mut sim, &BAD, true);
    for id in 1..=URGENT_JOBS {
        if id == 38 {
            set_fails_starts(&mut sim, &BAD, false);
        }
        let mut urgent = gang(job(id, 0, 3, 2, 800));
        if id % 2 == 0 {
            "b".clone_into(&mut urgent.workspace);
        }
        sim.submit(urgent);
        if id % 6 == 0 {
            let mut small = job(100 + id, 2, 30, 1, 2000);
            small.attempts = 3;
            sim.submit(small);
        }
        let ms = 130 + sim.random(60);
        sim.run(ms);
    }
    let urgent_ended =
        |s: &Sim| (1..=URGENT_JOBS).all(|id| s.state(BatchId(id)).is_final());
    assert!(sim.run_until(60_000, urgent_ended), "{:?}", sim.pool.trace);
    assert_no_violations(&sim, "workers that fail all runs");
    let states = (1..=URGENT_JOBS).map(|id| sim.state(BatchId(id)));
    Outcome {
        failed_jobs: states.filter(|s| *s == BatchState::Failed).count(),
        failed_runs: count_events(&sim, "failed"),
    }
}

// Guards against empty workers that attract all work and fail it until jobs
// have no attempts left.
#[test]
fn workers_that_fail_all_runs_fail_no_urgent_job() {
    let mut without = (0, 0);
    let mut with = (0, 0);
    for seed in 1..=3 {
        let off = black_hole_load(seed, Features::default());
        let on = black_hole_load(seed, HEALTH);
        println!("seed={seed} off={off:?} on={on:?}");
        without.0 += off.failed_jobs;
        without.1 += off.failed_runs;
        with.0 += on.failed_jobs;
        with.1 += on.failed_runs;
    }
    assert!(without.0 > 0, "the load is too light: {without:?}");
    assert_eq!(with.0, 0, "{with:?}");
    assert!(with.1 * 2 < without.1, "{with:?} {without:?}");
}

/// Returns a site whose worker `agent-00` has become suspect through the
/// failure of a single task. It fails no further runs.
fn site_with_suspect() -> Sim {
    let mut sim = Sim::with_features(4, 1, HEALTH);
    sim.run(300);
    set_fails_starts(&mut sim, &["agent-00"], true);
    sim.submit(job(1, 1, 1, 1, 600));
    let is_suspect = |s: &Sim| !details(s, Code::WorkerQuarantined).is_empty();
    assert!(sim.run_until(1000, is_suspect), "{:?}", sim.pool.trace);
    set_fails_starts(&mut sim, &["agent-00"], false);
    sim
}

// Guards against a worker that gets many tasks at once, or none at all, after
// it was suspect.
#[test]
fn a_suspect_worker_comes_back_by_probes() {
    let mut sim = Sim::with_features(4, 1, HEALTH);
    sim.run(300);
    set_fails_starts(&mut sim, &["agent-00"], true);
    let mut batch = job(1, 2, 300, 1, 600);
    batch.attempts = 6;
    sim.submit(batch);
    sim.run(2000);
    set_fails_starts(&mut sim, &["agent-00"], false);
    assert!(sim.run_until(20_000, Sim::all_ended));
    assert_eq!(sim.state(BatchId(1)), BatchState::Done);
    let backoffs = details(&sim, Code::WorkerQuarantined);
    let expected = ["backoff_ms=1000", "backoff_ms=2000"];
    assert_eq!(backoffs.len(), expected.len(), "{backoffs:?}");
    for (backoff, expected) in backoffs.iter().zip(expected) {
        assert!(backoff.ends_with(expected), "{backoff}");
    }
    assert_eq!(details(&sim, Code::WorkerProbed).len(), 2);
    assert_eq!(details(&sim, Code::WorkerRestored), ["agent=agent-00"]);
    // The first eight tasks and one probe failed.
    assert_eq!(count_events(&sim, "failed"), 9);
    assert_no_violations(&sim, "probes");
}

// Guards against a worker that gets nothing for ever because only gangs or
// last attempts wait, which are no probes.
#[test]
fn a_suspect_worker_without_a_probe_recovers() {
    let mut last_attempts = job(2, 1, 25, 1, 12_000);
    last_attempts.attempts = 1;
    // They have no slack, so they wait for no other worker.
    last_attempts.stretch = 1.0;
    last_attempts.target = Duration::ZERO;
    // One accelerator of the other workers stays free for the gang.
    let mut fewer = last_attempts.clone();
    fewer.steps[0].count = 23;
    let cases = [vec![last_attempts], vec![fewer, gang(job(3, 1, 2, 1, 500))]];
    for (case, batches) in cases.into_iter().enumerate() {
        let mut sim = site_with_suspect();
        let suspect_ms = sim.now_ms;
        sim.run(800);
        for batch in batches {
            sim.submit(batch);
        }
        let is_restored =
            |s: &Sim| !details(s, Code::WorkerRestored).is_empty();
        let restored = sim.run_until(12_000, is_restored);
        assert!(restored, "{case}: {:?}", sim.health_events);
        let took_ms = sim.now_ms - suspect_ms;
        assert!((8900..9300).contains(&took_ms), "{case}: {took_ms} ms");
        assert_eq!(details(&sim, Code::WorkerProbed), [""; 0], "{case}");
        assert!(sim.run_until(20_000, Sim::all_ended), "{case}");
    }
}

// Guards against a worker that gets no more than a probe for the whole
// duration of a long task.
#[test]
fn a_long_probe_passes_before_its_end() {
    let mut sim = site_with_suspect();
    assert!(sim.run_until(3000, Sim::all_ended));
    sim.submit(job(2, 1, 32, 1, 20_000));
    let all_started =
        |s: &Sim| agents_of_job(s, "0000000000000002").len() == 32;
    assert!(sim.run_until(7000, all_started), "{:?}", sim.health_events);
    assert_eq!(details(&sim, Code::WorkerProbed).len(), 1);
}

// Guards against a worker that gets one probe after the other because these
// resume from a checkpoint, which looks like progress.
#[test]
fn a_failed_probe_that_resumes_from_a_checkpoint_counts() {
    let mut sim = site_with_suspect();
    set_fails_starts(&mut sim, &["agent-00"], true);
    assert!(sim.run_until(900, Sim::all_ended), "{:?}", sim.pool.trace);
    let mut preempted = job(2, 2, 24, 1, 20_000);
    preempted.steps[0].checkpoints = true;
    preempted.attempts = 4;
    sim.submit(preempted);
    sim.run(1200);
    let mut claim = job(3, 0, 1, 8, 5000);
    claim.attempts = 1;
    sim.submit(claim);
    sim.run(1000);
    assert!(!details(&sim, Code::WorkerProbed).is_empty());
    let suspicions = details(&sim, Code::WorkerQuarantined);
    assert_eq!(suspicions.len(), 2, "{:?}", sim.health_events);
    assert!(suspicions[1].contains("evidence=Strong"), "{suspicions:?}");
}

// Guards against a start on a worker that became suspect after the placement.
#[test]
fn a_placement_on_a_suspect_worker_is_withdrawn() {
    let mut sim = Sim::with_features(4, 1, HEALTH);
    sim.run(300);
    set_fails_starts(&mut sim, &["agent-00"], true);
    sim.submit(job(1, 1, 1, 1, 400));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.store_up = false;
    sim.submit(job(2, 1, 1, 1, 400));
    sim.run(200);
    sim.store_up = true;
    assert!(sim.run_until(5000, Sim::all_ended));
    let agents = agents_of_job(&sim, "0000000000000002");
    assert_eq!(agents.len(), 1, "{:?}", sim.pool.trace);
    assert_ne!(agents[0], "agent-00");
}

// Guards against a worker that is suspect because a caller cancelled a job.
#[test]
fn a_run_of_a_cancelled_job_says_nothing_of_its_worker() {
    let mut sim = Sim::with_features(4, 1, HEALTH);
    sim.run(300);
    set_fails_starts(&mut sim, &["agent-00"], true);
    sim.submit(job(1, 1, 1, 1, 600));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.cancel(BatchId(1));
    sim.run(1000);
    assert_eq!(count_events(&sim, "failed"), 1);
    assert_eq!(sim.health_events, []);
}

// Guards against a suspicion that outlives the process that it is about.
#[test]
fn a_restarted_upstream_is_probed_at_once() {
    let mut sim = site_with_suspect();
    sim.pool.restart_upstream(sim.now_ms, "agent-00");
    sim.submit(job(2, 1, 40, 1, 500));
    let is_probed = |s: &Sim| !details(s, Code::WorkerProbed).is_empty();
    assert!(sim.run_until(600, is_probed), "{:?}", sim.health_events);
}

// Guards against a task that fails its job because it returns to the worker
// on which it failed while the others are full.
#[test]
fn a_failed_task_waits_for_another_worker() {
    let mut sim = Sim::with_features(2, 1, HEALTH);
    sim.submit(job(1, 1, 1, 8, 3000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    let busy = sim.agent_of_last_start();
    let bad = if busy == "agent-00" {
        "agent-01"
    } else {
        "agent-00"
    };
    set_fails_starts(&mut sim, &[bad], true);
    sim.submit(job(2, 1, 1, 1, 500));
    assert!(sim.run_until(8000, Sim::all_ended));
    assert_eq!(sim.state(BatchId(2)), BatchState::Done);
    let agents = agents_of_job(&sim, "0000000000000002");
    assert_eq!(agents, [bad, &busy], "{:?}", sim.pool.trace);
}

// Guards against a claim that returns to the worker on which it failed instead
// of preempting work on another one.
#[test]
fn a_failed_claim_preempts_runs_on_another_worker() {
    let mut sim = Sim::with_features(2, 1, HEALTH);
    sim.submit(job(1, 1, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    let busy = sim.agent_of_last_start();
    // The borrower is past what may be stopped for little.
    sim.run(3000);
    let mut claim = job(2, 0, 1, 8, 400);
    claim.payload.push_str(" fail");
    sim.submit(claim);
    let failed = |s: &Sim| s.state(BatchId(2)) == BatchState::Failed;
    assert!(sim.run_until(3000, failed), "{:?}", sim.pool.trace);
    let agents = agents_of_job(&sim, "0000000000000002");
    assert_eq!(agents.len(), 2);
    assert_eq!(agents[1], busy);
    assert_eq!(count_events(&sim, "stopped"), 1);
}

// Guards against capacity that is held back on the worker on which a claim has
// failed, although the claim is not placed there.
#[test]
fn a_failed_claim_reserves_nothing_on_its_worker() {
    let mut sim = Sim::with_features(2, 1, HEALTH);
    sim.submit(job(1, 0, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    let mut claim = job(2, 0, 1, 8, 400);
    claim.workspace = "b".to_owned();
    claim.payload.push_str(" fail");
    sim.submit(claim);
    sim.submit(job(3, 1, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "failed") == 1));
    let is_used = |s: &Sim| agents_of_job(s, "0000000000000003").len() == 1;
    assert!(sim.run_until(300, is_used), "{:?}", sim.pool.trace);
}

// Guards against a claim that misses the limit for its start because it waits
// for another worker. Its task fails at the end of its work, so the worker is
// not suspect.
#[test]
fn a_claim_returns_to_a_worker_before_its_limit() {
    let mut sim = Sim::with_features(2, 1, HEALTH);
    sim.submit(job(1, 0, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    let mut claim = job(2, 0, 1, 1, 600);
    claim.workspace = "b".to_owned();
    sim.submit(claim);
    let submitted_ms = sim.now_ms;
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
    let agent = sim.agent_of_last_start();
    let set_fails = |sim: &mut Sim, fails| {
        let node = sim.pool.nodes.get_mut(&agent);
        node.expect("the agent has a node").fails_all = fails;
    };
    set_fails(&mut sim, true);
    assert!(sim.run_until(2000, |s| count_events(s, "failed") == 1));
    set_fails(&mut sim, false);
    assert!(sim.run_until(3000, |s| count_events(s, "start") == 3));
    let took_ms = sim.now_ms - submitted_ms;
    assert!((1550..1800).contains(&took_ms), "{took_ms} ms");
    assert_eq!(sim.agent_of_last_start(), agent);
}

// Guards against healthy workers that get no work because tasks fail by their
// own fault.
#[test]
fn tasks_that_fail_by_their_own_fault_make_no_worker_suspect() {
    let mut sim = Sim::with_features(8, 1, HEALTH);
    for id in 1..=20 {
        let mut batch = job(id, 1, 40, 1, 900);
        batch.attempts = 5;
        batch.payload.push_str(" fault=5");
        sim.submit(batch);
    }
    assert!(sim.run_until(60_000, Sim::all_ended));
    let failed = count_events(&sim, "failed");
    assert!((25..=70).contains(&failed), "{failed} of about 800");
    assert_eq!(details(&sim, Code::WorkerQuarantined), [""; 0]);
}

// Guards against workers that are suspect because one job is faulty: all of
// its runs fail late, in a queue whose tasks hardly ever fail.
#[test]
fn a_job_that_fails_late_makes_no_worker_suspect() {
    let mut sim = Sim::with_features(4, 1, HEALTH);
    sim.submit(job(1, 1, 300, 1, 400));
    assert!(sim.run_until(20_000, Sim::all_ended));
    let mut faulty = job(2, 1, 32, 1, 800);
    faulty.attempts = 6;
    faulty.payload.push_str(" fail");
    sim.submit(faulty);
    assert!(sim.run_until(20_000, Sim::all_ended));
    assert!(count_events(&sim, "failed") >= 32);
    assert_eq!(details(&sim, Code::WorkerQuarantined), [""; 0]);
}

// Guards against a worker that spoils most runs in their course and stays in
// use, as no failure is an early one.
#[test]
fn improbable_late_failures_make_a_worker_suspect() {
    let mut sim = Sim::with_features(8, 1, HEALTH);
    sim.run(300);
    let node = sim.pool.nodes.get_mut("agent-03");
    node.expect("the agent has a node").fails_all = true;
    for id in 1..=4 {
        let mut batch = job(id, 1, 40, 1, 900);
        batch.attempts = 5;
        sim.submit(batch);
    }
    assert!(sim.run_until(20_000, Sim::all_ended));
    let suspicions = details(&sim, Code::WorkerQuarantined);
    let of_worker = |d: &&str| d.contains("agent=agent-03");
    assert!(!suspicions.is_empty() && suspicions.iter().all(of_worker));
    assert!(suspicions[0].contains("evidence=Weak"), "{suspicions:?}");
}

// Guards against a site that stops work because many workers are suspect, and
// against tasks that then return to the workers on which they failed.
#[test]
fn suspicions_of_more_than_a_third_are_ignored() {
    let mut sim = Sim::with_features(6, 1, HEALTH);
    sim.run(300);
    let bad = ["agent-00", "agent-02", "agent-04"];
    set_fails_starts(&mut sim, &bad, true);
    for id in 1..=4 {
        let mut batch = job(id, 1, 12, 1, 800);
        batch.attempts = 4;
        sim.submit(batch);
    }
    assert!(sim.run_until(20_000, Sim::all_ended));
    assert_eq!(details(&sim, Code::SuspicionIgnored).len(), 1);
    for id in 1..=4 {
        assert_eq!(sim.state(BatchId(id)), BatchState::Done);
    }
    let mut placements: Vec<String> = Vec::new();
    for (_, order) in &sim.start_orders {
        let (task, agent) = order.split_once(' ').expect("an agent");
        let task = task.split('/').next().expect("a task");
        let placement = format!("{task} {agent}");
        assert!(!placements.contains(&placement), "{placement}");
        placements.push(placement);
    }
    assert_no_violations(&sim, "suspicions are ignored");
}

// Guards against runs that are wasted on a job one of whose tasks cannot
// succeed.
#[test]
fn siblings_wait_for_a_task_that_decides_on_its_job() {
    const FAULTY: &str = " start 0000000000000001.0.0.5/3 ";
    let mut sim = Sim::with_features(6, 1, HEALTH);
    let mut batch = job(1, 1, 60, 8, 1000);
    batch.attempts = 3;
    batch.payload.push_str(" faulty=5");
    sim.submit(batch);
    assert!(sim.run_until(60_000, Sim::all_ended));
    assert_eq!(sim.state(BatchId(1)), BatchState::Failed);
    let trace = &sim.pool.trace;
    let last_attempt = trace.iter().position(|l| l.contains(FAULTY));
    let last_attempt = last_attempt.expect("a third attempt");
    let starts = trace[last_attempt + 1..].iter();
    let starts: Vec<_> = starts.filter(|l| l.contains(" start ")).collect();
    assert!(starts.is_empty(), "{starts:?}");
}

// Guards against workers that are suspect because the tasks of one job fail at
// once wherever they run, and against a suspect one that gets a probe of that
// job every 100 ms.
#[test]
fn a_job_that_fails_everywhere_makes_few_workers_suspect() {
    let mut sim = Sim::with_features(12, 1, HEALTH);
    // Its runs end too early to show any progress.
    let mut batch = job(1, 1, 90, 1, 0);
    batch.attempts = 40;
    batch.payload.push_str(" fail");
    sim.submit(batch);
    assert!(sim.run_until(20_000, Sim::all_ended));
    let mut suspicions = details(&sim, Code::WorkerQuarantined);
    let has_relapsed = suspicions.iter().any(|d| d.contains("=2000"));
    assert!(has_relapsed, "{suspicions:?}");
    let probes = details(&sim, Code::WorkerProbed).len();
    assert!(probes < suspicions.len(), "{probes} {suspicions:?}");
    suspicions.sort_unstable();
    suspicions.dedup_by_key(|d| d.split(' ').next().map(str::to_owned));
    assert!((1..=3).contains(&suspicions.len()), "{suspicions:?}");
}

// Guards against a claim that misses its time limit because all workers that it
// fits on are suspect, while most workers of the site are not.
#[test]
fn a_claim_that_fits_only_on_a_suspect_worker_starts_in_time() {
    const MAX_CLAIM_MS: u64 = 2700;
    // The fourth worker has a rack of its own, and so a label of its own.
    let requires = Some("rack-1".to_owned());
    let mut sim = Sim::with_features(4, 1, HEALTH);
    sim.run(300);
    set_fails_starts(&mut sim, &["agent-03"], true);
    let mut failing = job(1, 1, 1, 1, 600);
    failing.steps[0].requires.clone_from(&requires);
    failing.attempts = 1;
    sim.submit(failing);
    let is_suspect = |s: &Sim| !details(s, Code::WorkerQuarantined).is_empty();
    assert!(sim.run_until(1000, is_suspect), "{:?}", sim.pool.trace);
    set_fails_starts(&mut sim, &["agent-03"], false);
    let mut claim = gang(job(2, 0, 1, 8, 500));
    claim.steps[0].requires = requires;
    sim.submit(claim);
    let has_started =
        |s: &Sim| !agents_of_job(s, "0000000000000002").is_empty();
    assert!(
        sim.run_until(MAX_CLAIM_MS, has_started),
        "{:?}",
        sim.pool.trace
    );
    assert_no_violations(&sim, "a claim on a suspect worker");
}
