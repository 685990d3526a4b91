//! Tests of failure domains that operators drain: nothing starts on their
//! workers later than the time limit after the request, and waiting work is
//! placed elsewhere.

use figrill_state::batch::BatchId;
use figrill_state::drain::Drains;
use figrill_state::event::Code;

use crate::sim::{Sim, gang, job};
use crate::{assert_no_violations, count_events};

const LIMIT_MS: u64 = 5000;

/// Returns a site whose workers belong to two failure domains in turn, after
/// all of them have reported.
fn site(workers: usize) -> Sim {
    let mut sim = Sim::new(workers, 1);
    sim.set_domains(&["north", "south"]);
    sim.follow_drains(LIMIT_MS);
    sim.run(500);
    sim
}

/// Returns the times of the starts on workers of a failure domain, in
/// milliseconds.
fn starts_in(sim: &Sim, domain: &str) -> Vec<u64> {
    let starts = sim.pool.trace.iter().filter(|l| l.contains(" start "));
    starts
        .filter_map(|line| {
            let (time, _) = line.split_once(' ')?;
            let (_, agent) = line.rsplit_once(' ')?;
            (sim.domain_of(agent) == domain).then(|| time.parse().ok())?
        })
        .collect()
}

/// Submits a task of each priority and lets some time pass, `times` times.
fn submit_burst(sim: &mut Sim, first_id: u64, times: u64) {
    for i in 0..times {
        let id = first_id + 2 * i;
        sim.submit(job(id, 1, 1, 4, 300));
        sim.submit(job(id + 1, 2, 1, 1, 200));
        sim.run(100);
    }
}

// Guards against work that is placed in a drained failure domain again and
// again, and never started.
#[test]
fn work_that_waits_is_placed_in_other_failure_domains() {
    for domain in ["north", "south"] {
        let mut sim = site(4);
        submit_burst(&mut sim, 1, 10);
        let requested_ms = sim.now_ms;
        sim.request_drain(domain);
        submit_burst(&mut sim, 100, 40);
        assert!(sim.run_until(5000, Sim::all_ended), "{domain}");
        // An order that was sent before is still carried out.
        let late = starts_in(&sim, domain);
        let late = late.iter().filter(|ms| **ms > requested_ms + 20);
        assert_eq!(late.count(), 0, "{domain}: {:?}", sim.pool.trace);
        assert_eq!(sim.drain_events, [Code::DrainStarted], "{domain}");
        assert_no_violations(&sim, domain);
        sim.end_drain(domain);
        submit_burst(&mut sim, 500, 40);
        let after = starts_in(&sim, domain);
        assert!(after.iter().any(|ms| *ms > requested_ms + 4000));
        assert_eq!(
            sim.drain_events,
            [Code::DrainStarted, Code::DrainEnded],
            "{domain}"
        );
    }
}

// Guards against the start of a placement that was committed after the request
// arrived, and of the other members of its gang.
#[test]
fn a_placement_whose_start_was_not_ordered_is_released() {
    let mut sim = site(4);
    sim.store_up = false;
    sim.submit(gang(job(1, 1, 2, 8, 300)));
    sim.submit(job(2, 1, 2, 8, 300));
    sim.run(100);
    sim.request_drain("south");
    sim.run(100);
    sim.store_up = true;
    sim.run(60);
    let started = |s: &Sim, id: u64| {
        let name = format!("start {id:016x}");
        s.pool.trace.iter().filter(|l| l.contains(&name)).count()
    };
    let gang_members = started(&sim, 1);
    assert!([0, 2].contains(&gang_members), "{:?}", sim.pool.trace);
    assert!(sim.run_until(5000, Sim::all_ended), "{:?}", sim.pool.trace);
    assert_eq!(starts_in(&sim, "south").len(), 0);
    assert_eq!(count_events(&sim, "start"), 4);
    assert_no_violations(&sim, "commit in flight");
}

// Guards against starts that are ordered from a view of the requests that is
// too old, with calls to start that are executed as late as they may be.
#[test]
fn nothing_starts_after_the_limit_while_requests_cannot_be_read() {
    const LATE_MS: u64 = 1450;
    for seed in 1..=10 {
        let mut sim = Sim::new(4, seed);
        sim.set_domains(&["north", "south"]);
        sim.follow_drains(LIMIT_MS);
        sim.run(500);
        submit_burst(&mut sim, 1, 5);
        sim.drains.readable = false;
        let requested_ms = sim.now_ms;
        sim.request_drain("south");
        sim.held_up_starts_ms = vec![LATE_MS; 3000];
        submit_burst(&mut sim, 100, 100);
        let starts = starts_in(&sim, "south");
        let late = starts.iter().filter(|ms| **ms > requested_ms + LIMIT_MS);
        assert_eq!(late.count(), 0, "seed {seed}: {:?}", sim.pool.trace);
        let during = starts.iter().filter(|ms| **ms > requested_ms + 1000);
        assert!(during.count() > 0, "seed {seed}: the view was used");
        assert_eq!(sim.drain_events, [Code::StartsWithheld]);
        sim.drains.readable = true;
        sim.held_up_starts_ms.clear();
        assert!(sim.run_until(60_000, Sim::all_ended), "seed {seed}");
        assert_eq!(
            sim.drain_events[1..],
            [Code::DrainStarted, Code::StartsResumed],
            "seed {seed}"
        );
        assert_no_violations(&sim, "stale view");
    }
}

// Guards against the start of a placement whose commit was in flight for so
// long that the view became too old.
#[test]
fn a_placement_is_not_started_from_a_view_that_became_too_old() {
    let mut sim = site(4);
    sim.drains.readable = false;
    sim.store_up = false;
    sim.submit(gang(job(1, 1, 4, 8, 300)));
    sim.run(100);
    sim.request_drain("south");
    sim.run(4000);
    sim.store_up = true;
    sim.run(1000);
    assert_eq!(sim.start_orders, []);
    sim.drains.readable = true;
    sim.run(500);
    sim.end_drain("south");
    assert!(sim.run_until(2000, Sim::all_ended), "{:?}", sim.pool.trace);
    assert_eq!(count_events(&sim, "start"), 4);
}

// Guards against a new coordinator that places work before it has read the
// requests, or by a read that was sent before its term.
#[test]
fn a_new_coordinator_starts_nothing_before_it_has_read_the_requests() {
    let mut sim = site(4);
    sim.request_drain("south");
    sim.run(100);
    let earlier = sim.now().monotonic;
    sim.run(100);
    sim.drains.readable = false;
    sim.take_over();
    sim.submit(job(1, 0, 4, 4, 300));
    let now = sim.now();
    sim.scheduler.set_drains(now, &Drains::default(), earlier);
    sim.run(2000);
    assert_eq!(sim.start_orders, []);
    sim.drains.readable = true;
    assert!(sim.run_until(2000, Sim::all_ended));
    assert_eq!(starts_in(&sim, "south").len(), 0);
}

// Guards against a warning for each planning pass, and against work that does
// not go on once the drain ends.
#[test]
fn work_waits_while_all_failure_domains_are_drained() {
    let mut sim = site(4);
    sim.request_drain("south");
    sim.run(500);
    sim.request_drain("north");
    submit_burst(&mut sim, 1, 20);
    assert_eq!(sim.start_orders, []);
    let warnings = |s: &Sim| {
        let codes = s.drain_events.iter();
        codes.filter(|c| **c == Code::AllDomainsDrained).count()
    };
    assert_eq!(warnings(&sim), 1);
    sim.end_drain("north");
    assert!(sim.run_until(5000, Sim::all_ended));
    assert_eq!(starts_in(&sim, "south").len(), 0);
    assert_eq!(warnings(&sim), 1);
}

// Guards against a request that has an effect after it was withdrawn, or that
// is lost because no worker has the failure domain yet.
#[test]
fn requests_may_be_short_repeated_and_for_unknown_names() {
    let mut sim = site(4);
    sim.request_drain("west");
    sim.request_drain("south");
    sim.request_drain("south");
    sim.run(300);
    sim.end_drain("south");
    sim.submit(job(1, 1, 4, 8, 300));
    assert!(sim.run_until(2000, Sim::all_ended));
    assert_eq!(starts_in(&sim, "south").len(), 2);
    // A worker of the unknown failure domain appears.
    let node = sim.pool.nodes.get_mut("agent-01").expect("there is a node");
    node.upstream.failure_domain = "west".to_owned();
    node.upstream.sequence += 1;
    sim.run(500);
    sim.submit(job(2, 1, 3, 8, 300));
    assert!(sim.run_until(2000, Sim::all_ended));
    assert_eq!(starts_in(&sim, "south").len(), 2);
    assert_eq!(count_events(&sim, "start"), 7);
}

// Guards against a claim that misses its time limit because it was placed in a
// failure domain that is drained before its start, or waits for victims there.
#[test]
fn a_claim_starts_elsewhere_within_its_time_limit() {
    // Installations require that all tasks of a claim start within 2.7 s.
    const MAX_CLAIM_MS: u64 = 2700;
    for is_full in [false, true] {
        for domain in ["north", "south"] {
            let name = format!("{domain}, full: {is_full}");
            let mut sim = site(4);
            if is_full {
                sim.submit(job(1, 1, 16, 2, 60_000));
                let full = |s: &Sim| count_events(s, "start") == 16;
                assert!(sim.run_until(2000, full), "{name}");
                sim.run(2000);
            }
            sim.submit(job(2, 0, 2, 8, 500));
            sim.run(10);
            sim.request_drain(domain);
            let requested_ms = sim.now_ms;
            let all_started = |s: &Sim| {
                let of_claim =
                    |l: &&String| l.contains("start 0000000000000002");
                s.pool.trace.iter().filter(of_claim).count() == 2
            };
            assert!(sim.run_until(MAX_CLAIM_MS, all_started), "{name}");
            let starts = starts_in(&sim, domain);
            let late = starts.iter().filter(|ms| **ms > requested_ms + 20);
            assert_eq!(late.count(), 0, "{name}: {:?}", sim.pool.trace);
            assert_no_violations(&sim, &name);
        }
    }
}

// Guards against runs in a drained failure domain that are stopped for work
// that cannot start there.
#[test]
fn runs_in_a_drained_failure_domain_continue() {
    let mut sim = site(2);
    sim.submit(job(1, 1, 2, 8, 8000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
    sim.run(2000);
    sim.request_drain("south");
    sim.run(100);
    sim.submit(job(2, 0, 2, 8, 500));
    sim.run(5000);
    let stopped: Vec<_> = sim
        .pool
        .trace
        .iter()
        .filter(|l| l.contains("stopped"))
        .collect();
    assert!(
        stopped.iter().all(|l| l.ends_with("agent-00")),
        "{stopped:?}"
    );
    assert_eq!(starts_in(&sim, "south").len(), 1);
    assert!(sim.run_until(60_000, Sim::all_ended));
}

// Guards against an effect in deployments that do not switch it on.
#[test]
fn requests_have_no_effect_without_the_setting() {
    let mut sim = Sim::new(4, 1);
    sim.set_domains(&["north", "south"]);
    let drains: Drains = ["north", "south"].into_iter().collect();
    let now = sim.now();
    sim.scheduler.set_drains(now, &drains, now.monotonic);
    sim.submit(job(1, 1, 4, 8, 300));
    assert!(sim.run_until(5000, Sim::all_ended));
    assert_eq!(
        sim.state(BatchId(1)),
        figrill_state::batch::BatchState::Done
    );
    assert_eq!(sim.drain_events, []);
}
