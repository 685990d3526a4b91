//! The users' platform when things fail.

use std::{thread, time::Duration};

use figrill_standin::{
    platform::{client::job, store::Outage},
    process::wait_for,
};

use crate::platform::site;

const SOON: Duration = Duration::from_secs(20);

fn second() {
    thread::sleep(Duration::from_secs(1));
}

#[test]
fn work_goes_on_when_its_coordinator_is_killed() {
    let mut site = site(2, 2);
    let at = site.coordinator().expect("a coordinator");
    let other = 1 - at;
    let gang = job(2, 8, 3000, true);
    assert_eq!(site.client.submit(site.entry(at), 1, &gang).status, 200);
    wait_for("its start", SOON, || (site.starts(1) == 2).then_some(()));
    site.entries[at].process.kill();
    site.wait_for_state(other, 1, "done", SOON);
    assert_eq!(site.starts(1), 2);
    // The next one places new work.
    let next = job(1, 1, 100, false);
    assert_eq!(site.client.submit(site.entry(other), 2, &next).status, 200);
    site.wait_for_state(other, 2, "done", SOON);
    site.assert_no_violations();
}

#[test]
fn a_coordinator_frozen_past_its_lease_orders_nothing_more() {
    let site = site(2, 2);
    let at = site.coordinator().expect("a coordinator");
    let other = 1 - at;
    let work = job(4, 2, 8000, false);
    assert_eq!(site.client.submit(site.entry(at), 1, &work).status, 200);
    wait_for("their start", SOON, || (site.starts(1) == 4).then_some(()));
    site.entries[at].process.freeze();
    wait_for("another coordinator", SOON, || {
        (site.coordinator() == Some(other)).then_some(())
    });
    let next = job(2, 8, 500, true);
    assert_eq!(site.client.submit(site.entry(other), 2, &next).status, 200);
    second();
    site.entries[at].process.thaw();
    site.wait_for_state(other, 1, "done", SOON);
    site.wait_for_state(at, 2, "done", SOON);
    assert_eq!(site.starts(1), 4);
    site.assert_no_violations();
}

#[test]
fn a_run_outlives_its_agent() {
    let mut site = site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(2, 2, 4000, false));
    wait_for("its start", SOON, || (site.starts(1) == 2).then_some(()));
    site.agents[0].process.kill();
    second();
    site.restart_agent(0).expect("it starts");
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn a_task_whose_upstream_was_reborn_starts_again() {
    let site = site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(1, 2, 2500, false));
    wait_for("its start", SOON, || (site.starts(1) == 1).then_some(()));
    let now = site.workers.now_ms();
    // Under the same name and at the same address.
    site.workers.pool().restart_upstream(now, "agent-0");
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn ends_of_a_later_life_are_not_acknowledged_by_the_count_before() {
    let site = site(1, 1);
    let entry = site.entry(0);
    for round in 0..6 {
        // Some ends, so that the count is ahead of the next life's.
        for i in 1..=4 {
            let id = round * 10 + i;
            let answer = site.client.submit(entry, id, &job(1, 1, 20, false));
            assert_eq!(answer.status, 200);
            site.wait_for_state(0, id, "done", SOON);
        }
        let id = round * 10 + 9;
        let answer = site.client.submit(entry, id, &job(1, 1, 60, false));
        assert_eq!(answer.status, 200);
        let now = site.workers.now_ms();
        site.workers.pool().restart_upstream(now, "agent-0");
        site.wait_for_state(0, id, "done", SOON);
        site.assert_no_violations();
    }
}

#[test]
fn all_processes_killed_at_once_lose_nothing_that_was_accepted() {
    let mut site = site(2, 2);
    let entry = site.entry(0);
    for id in 1..=4 {
        let work = job(2, 4, 2500, id % 2 == 0);
        assert_eq!(site.client.submit(entry, id, &work).status, 200);
    }
    for member in site.entries.iter_mut().chain(&mut site.agents) {
        member.process.kill();
    }
    second();
    for i in 0..2 {
        site.restart_entry(i).expect("an entry");
        site.restart_agent(i).expect("an agent");
    }
    for id in 1..=4 {
        site.wait_for_state(1, id, "done", Duration::from_secs(40));
    }
    site.assert_no_violations();
}

#[test]
fn what_runs_goes_on_through_an_outage_of_the_store() {
    let site = site(2, 2);
    let _ = site
        .client
        .submit(site.entry(0), 1, &job(2, 2, 8000, false));
    wait_for("its start", SOON, || (site.starts(1) == 2).then_some(()));
    for member in site.entries.iter().chain(&site.agents) {
        member.store_endpoint.faults().outage = Outage::Unresponsive;
    }
    thread::sleep(Duration::from_secs(5));
    site.kv.expire_leases();
    for member in site.entries.iter().chain(&site.agents) {
        member.store_endpoint.faults().outage = Outage::None;
    }
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn a_coordinator_that_the_store_turns_away_goes_on_through_another() {
    let site = site(2, 2);
    let at = site.coordinator().expect("a coordinator");
    let other = 1 - at;
    let _ = site
        .client
        .submit(site.entry(other), 1, &job(2, 2, 6000, false));
    wait_for("its start", SOON, || (site.starts(1) == 2).then_some(()));
    site.entries[at].store_endpoint.faults().outage = Outage::Refusing;
    // Longer than its lease.
    thread::sleep(Duration::from_secs(3));
    for (id, entry) in [(2, other), (3, at)] {
        let next = job(1, 8, 300, false);
        let answer = site.client.submit(site.entry(entry), id, &next);
        assert_eq!(answer.status, 200);
    }
    for id in [2, 3, 1] {
        site.wait_for_state(other, id, "done", SOON);
    }
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

#[test]
fn lost_answers_to_commits_order_nothing_twice() {
    let site = site(1, 2);
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
fn an_upstream_that_leaves_gets_no_new_work() {
    let site = site(1, 2);
    let entry = site.entry(0);
    if let Some(node) = site.workers.pool().nodes.get_mut("agent-0") {
        node.upstream.draining = true;
    }
    // Two heartbeats later the agent has acknowledged it.
    second();
    for id in 1..=6 {
        let _ = site.client.submit(entry, id, &job(1, 1, 200, false));
    }
    for id in 1..=6 {
        site.wait_for_state(0, id, "done", SOON);
    }
    let pool = site.workers.pool();
    let there = |l: &&String| {
        l.contains("start 000000000000000") && l.ends_with("agent-0")
    };
    assert_eq!(pool.trace.iter().filter(there).count(), 0);
}

#[test]
fn a_graceful_stop_cuts_off_no_request() {
    let mut site = site(2, 1);
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
    let answers = load.join().expect("the load");
    let served = answers.iter().filter(|s| **s == 200).count();
    // Once it is gone, connections are refused; none is cut half-way.
    let last = answers.iter().rposition(|s| *s == 200).expect("one");
    assert!(answers[..=last].iter().all(|s| *s == 200), "{answers:?}");
    assert!(served > 50, "{served}");
}
