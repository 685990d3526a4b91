//! Tests on the users' platform with failures: killed and frozen processes,
//! restarted upstreams, and outages of the store.
//!
//! Accepted jobs must still be done, and no task may be started twice unless
//! its run was lost.

use std::{
    collections::BTreeSet,
    fs, thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    platform::{client::job, store::Outage},
    process::wait_for,
};

use crate::platform::start_site;

/// The time limit for states that are reached after a failure.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn sleep_one_second() {
    thread::sleep(Duration::from_secs(1));
}

#[test]
fn jobs_are_done_although_their_coordinator_is_killed() {
    let mut site = start_site(2, 2);
    let coordinator = site.coordinator().expect("there is a coordinator");
    let other = 1 - coordinator;
    let gang = job(2, 8, 3000, true);
    assert_eq!(
        site.client.submit(site.entry(coordinator), 1, &gang).status,
        200
    );
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 2).then_some(())
    });
    site.entries[coordinator].process.kill();
    site.wait_for_state(other, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 2);
    // The next coordinator must place new jobs.
    let next = job(1, 1, 100, false);
    assert_eq!(site.client.submit(site.entry(other), 2, &next).status, 200);
    site.wait_for_state(other, 2, "done", WAIT_LIMIT);
    site.assert_no_violations();
}

#[test]
fn an_accepted_job_is_placed_although_the_watch_is_late() {
    // The maximum time from the answer to a caller until the job's task runs.
    const MAX_START_DELAY: Duration = Duration::from_millis(800);
    let site = start_site(3, 1);
    let coordinator = site.coordinator().expect("there is a coordinator");
    // The candidates have to read who the coordinator is.
    sleep_one_second();
    for entry in &site.entries {
        entry.store_endpoint.faults().watch_delay = Duration::from_secs(3);
    }
    sleep_one_second();
    for (id, i) in (1..).zip(0..3) {
        let entry = site.entry((coordinator + i) % 3);
        let work = job(1, 1, 100, false);
        assert_eq!(site.client.submit(entry, id, &work).status, 200);
        wait_for("the job's task to start", MAX_START_DELAY, || {
            (site.starts(id) == 1).then_some(())
        });
    }
    site.assert_no_violations();
}

#[test]
fn a_coordinator_frozen_past_its_lease_starts_nothing_twice() {
    let site = start_site(2, 2);
    let coordinator = site.coordinator().expect("there is a coordinator");
    let other = 1 - coordinator;
    let work = job(4, 2, 8000, false);
    assert_eq!(
        site.client.submit(site.entry(coordinator), 1, &work).status,
        200
    );
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 4).then_some(())
    });
    site.entries[coordinator].process.freeze();
    wait_for("another entry to become coordinator", WAIT_LIMIT, || {
        (site.coordinator() == Some(other)).then_some(())
    });
    let next = job(2, 8, 500, true);
    assert_eq!(site.client.submit(site.entry(other), 2, &next).status, 200);
    sleep_one_second();
    site.entries[coordinator].process.thaw();
    site.wait_for_state(other, 1, "done", WAIT_LIMIT);
    site.wait_for_state(coordinator, 2, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 4);
    site.assert_no_violations();
}

#[test]
fn a_run_survives_the_restart_of_its_agent() {
    let mut site = start_site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(2, 2, 4000, false));
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 2).then_some(())
    });
    site.agents[0].process.kill();
    sleep_one_second();
    site.restart_agent(0).expect("the agent starts");
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn a_task_is_started_again_after_its_upstream_restarts() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(1, 2, 2500, false));
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 1).then_some(())
    });
    let now = site.workers.now_ms();
    // The new incarnation has the same name and the same address.
    site.workers.pool().restart_upstream(now, "agent-0");
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn ends_of_a_new_incarnation_are_not_acknowledged_by_the_old_count() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    for round in 0..6 {
        // Some runs end first, so that the acknowledged number of ended runs
        // is ahead of the numbers of the next incarnation.
        for i in 1..=4 {
            let id = round * 10 + i;
            let answer = site.client.submit(entry, id, &job(1, 1, 20, false));
            assert_eq!(answer.status, 200);
            site.wait_for_state(0, id, "done", WAIT_LIMIT);
        }
        let id = round * 10 + 9;
        let answer = site.client.submit(entry, id, &job(1, 1, 60, false));
        assert_eq!(answer.status, 200);
        let now = site.workers.now_ms();
        site.workers.pool().restart_upstream(now, "agent-0");
        site.wait_for_state(0, id, "done", WAIT_LIMIT);
        site.assert_no_violations();
    }
}

#[test]
fn accepted_jobs_survive_the_kill_of_all_processes() {
    let mut site = start_site(2, 2);
    let entry = site.entry(0);
    for id in 1..=4 {
        let work = job(2, 4, 2500, id % 2 == 0);
        assert_eq!(site.client.submit(entry, id, &work).status, 200);
    }
    for member in site.entries.iter_mut().chain(&mut site.agents) {
        member.process.kill();
    }
    sleep_one_second();
    for i in 0..2 {
        site.restart_entry(i).expect("the entry starts");
        site.restart_agent(i).expect("the agent starts");
    }
    for id in 1..=4 {
        site.wait_for_state(1, id, "done", Duration::from_secs(40));
    }
    site.assert_no_violations();
}

#[test]
fn runs_continue_through_an_outage_of_the_store() {
    let site = start_site(2, 2);
    let _ = site
        .client
        .submit(site.entry(0), 1, &job(2, 2, 8000, false));
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 2).then_some(())
    });
    for member in site.entries.iter().chain(&site.agents) {
        member.store_endpoint.faults().outage = Outage::Unresponsive;
    }
    thread::sleep(Duration::from_secs(5));
    site.kv.expire_leases();
    for member in site.entries.iter().chain(&site.agents) {
        member.store_endpoint.faults().outage = Outage::None;
    }
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn a_coordinator_refused_by_the_store_relays_through_another_entry() {
    let site = start_site(2, 2);
    let coordinator = site.coordinator().expect("there is a coordinator");
    let other = 1 - coordinator;
    let _ = site
        .client
        .submit(site.entry(other), 1, &job(2, 2, 6000, false));
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 2).then_some(())
    });
    site.entries[coordinator].store_endpoint.faults().outage =
        Outage::Refusing;
    // Waits longer than the lease of the coordinator.
    thread::sleep(Duration::from_secs(3));
    for (id, entry) in [(2, other), (3, coordinator)] {
        let next = job(1, 8, 300, false);
        let answer = site.client.submit(site.entry(entry), id, &next);
        assert_eq!(answer.status, 200);
    }
    for id in [2, 3, 1] {
        site.wait_for_state(other, id, "done", WAIT_LIMIT);
    }
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn lost_answers_to_commits_start_nothing_twice() {
    let site = start_site(1, 2);
    let entry = site.entry(0);
    for id in 1..=6 {
        let _ = site.client.submit(entry, id, &job(2, 1, 300, false));
        site.entries[0].store_endpoint.faults().lost_answers = 2;
        thread::sleep(Duration::from_millis(300));
    }
    site.entries[0].store_endpoint.faults().lost_answers = 0;
    for id in 1..=6 {
        let state = site.client.state(entry, id);
        if state != "410" {
            site.wait_for_state(0, id, "done", Duration::from_secs(40));
            assert_eq!(site.starts(id), 2);
        }
    }
    site.assert_no_violations();
}

#[test]
fn a_draining_upstream_gets_no_new_work() {
    let site = start_site(1, 2);
    let entry = site.entry(0);
    if let Some(node) = site.workers.pool().nodes.get_mut("agent-0") {
        node.upstream.draining = true;
    }
    // Waits for more than two heartbeats, so that the agent knows of it.
    sleep_one_second();
    for id in 1..=6 {
        let _ = site.client.submit(entry, id, &job(1, 1, 200, false));
    }
    for id in 1..=6 {
        site.wait_for_state(0, id, "done", WAIT_LIMIT);
    }
    let pool = site.workers.pool();
    let started_there = |l: &&String| {
        l.contains("start 000000000000000") && l.ends_with("agent-0")
    };
    assert_eq!(pool.trace.iter().filter(started_there).count(), 0);
}

#[test]
fn a_graceful_stop_drops_no_request() {
    let mut site = start_site(2, 1);
    let entry = site.entry(0);
    let client = site.client.clone();
    let load = thread::spawn(move || {
        let mut answers = Vec::new();
        for id in 1..=400_u64 {
            let work = job(1, 0, 10, false);
            answers.push(client.submit(entry, id, &work).status);
            thread::sleep(Duration::from_millis(5));
        }
        answers
    });
    thread::sleep(Duration::from_millis(300));
    site.entries[0].process.terminate();
    let code = site.entries[0].process.wait(Duration::from_secs(6));
    assert_eq!(code, Some(0));
    let answers = load.join().expect("the client thread succeeds");
    let served = answers.iter().filter(|s| **s == 200).count();
    // Once the entry has exited, connections are refused. Before, every
    // request must have been answered.
    let last = answers
        .iter()
        .rposition(|s| *s == 200)
        .expect("at least one request is served");
    assert!(answers[..=last].iter().all(|s| *s == 200), "{answers:?}");
    assert!(served > 50, "{served}");
}

/// Guards against a `Retry-After` that does not follow the outage, and against
/// a refusal whose inputs are not in the log.
#[test]
fn refused_callers_return_by_the_length_of_the_outage() {
    let mut site = start_site(1, 1);
    let settings = site.dir.join("entry-0.ini");
    let text = fs::read_to_string(&settings).expect("the settings are there");
    fs::write(&settings, text + "\n[features]\nretry_outlook = on\n")
        .expect("the settings can be written");
    // An entry that was killed may have left a write that is applied later, so
    // its next incarnation could not refuse anything for a while.
    site.entries[0].process.terminate();
    let code = site.entries[0].process.wait(Duration::from_secs(6));
    assert_eq!(code, Some(0));
    site.restart_entry(0).expect("the entry starts");
    site.wait_until_serving();
    site.entries[0].store_endpoint.faults().outage = Outage::Refusing;
    let began = Instant::now();
    let (mut delays, mut late_delays) = (BTreeSet::new(), BTreeSet::new());
    for id in 1..=60_u64 {
        let work = job(1, 1, 10, false);
        let answer = site.client.submit(site.entry(0), id, &work);
        assert_ne!(answer.status, 200);
        delays.extend(answer.retry_after_s);
        if began.elapsed() > Duration::from_secs(5) {
            late_delays.extend(answer.retry_after_s);
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert!(delays.first().is_some_and(|d| *d < 3), "{delays:?}");
    assert!(
        late_delays.last().is_some_and(|d| *d > 3),
        "{late_delays:?}"
    );
    site.entries[0].store_endpoint.faults().outage = Outage::None;
    site.wait_until_serving();
    let work = job(1, 1, 10, false);
    assert_eq!(site.client.submit(site.entry(0), 99, &work).status, 200);
    let log = fs::read_to_string(site.dir.join("entry-0.log"))
        .expect("the log can be read");
    let is_explained = |line: &&str| {
        let words = ["JobRefused", "retry_after=", "outage_ms="];
        words.iter().all(|word| line.contains(word))
    };
    assert!(log.lines().any(|line| is_explained(&line)));
    site.assert_no_violations();
}
