//! Tests of jobs that have one attempt left.

use figrill_state::event::Code;

use super::{HEALTH, details, set_fails_starts};
use crate::sim::{Sim, job};
use crate::{agents_of_job, count_events};

// Guards against a job that fails for good on a worker where others have just
// failed although it could still have waited.
#[test]
fn a_last_attempt_waits_for_a_worker_without_failures() {
    struct Case {
        name: &'static str,
        busy_ms: u64,
        uses_failed_worker: bool,
        starts_after_ms: std::ops::Range<u64>,
    }
    let cases = [
        Case {
            name: "another worker becomes free in time",
            busy_ms: 2500,
            uses_failed_worker: false,
            starts_after_ms: 1500..2500,
        },
        Case {
            name: "the slack is used up before",
            busy_ms: 20_000,
            uses_failed_worker: true,
            starts_after_ms: 2900..3200,
        },
    ];
    for case in cases {
        let mut sim = Sim::with_features(3, 1, HEALTH);
        sim.submit(job(1, 1, 2, 8, case.busy_ms));
        assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
        let mut faulty = job(2, 1, 1, 1, 400);
        faulty.attempts = 1;
        faulty.payload.push_str(" fail");
        sim.submit(faulty);
        assert!(sim.run_until(1000, |s| count_events(s, "failed") == 1));
        let failed_worker = sim.agent_of_last_start();
        // The scheduler hears of it.
        sim.run(100);
        let mut last_attempt = job(3, 1, 1, 1, 1000);
        last_attempt.attempts = 1;
        sim.submit(last_attempt);
        let submitted_ms = sim.now_ms;
        assert!(sim.run_until(5000, |s| count_events(s, "start") == 4));
        let waited_ms = sim.now_ms - submitted_ms;
        assert!(
            case.starts_after_ms.contains(&waited_ms),
            "{}: {waited_ms} ms",
            case.name
        );
        let is_failed_worker = sim.agent_of_last_start() == failed_worker;
        assert_eq!(is_failed_worker, case.uses_failed_worker, "{}", case.name);
        assert_eq!(details(&sim, Code::WorkerQuarantined), [""; 0]);
    }
}

// Guards against a job that fails for good on the second of several workers
// that became faulty together.
#[test]
fn a_last_attempt_prefers_a_worker_that_has_proven_sound() {
    let mut sim = Sim::with_features(5, 1, HEALTH);
    sim.submit(job(1, 1, 1, 6, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.run(300);
    let best_fit = sim.agent_of_last_start();
    let names = ["agent-00", "agent-01", "agent-02", "agent-03", "agent-04"];
    let others = names.map(|n| if n == best_fit { "agent-00" } else { n });
    set_fails_starts(&mut sim, &others, true);
    sim.submit(job(2, 1, 1, 3, 3000));
    let is_suspect = |s: &Sim| !details(s, Code::WorkerQuarantined).is_empty();
    assert!(sim.run_until(1000, is_suspect), "{:?}", sim.pool.trace);
    set_fails_starts(&mut sim, &names, false);
    // The retry makes progress.
    sim.run(500);
    let proven = sim.agent_of_last_start();
    let mut last_attempt = job(3, 1, 1, 1, 500);
    last_attempt.attempts = 1;
    sim.submit(last_attempt);
    sim.run(300);
    let agents = agents_of_job(&sim, "0000000000000003");
    assert_eq!(agents, [proven], "{:?}", sim.pool.trace);
}
