//! Tests on the users' platform of messages that come too late, or from an
//! earlier incarnation of their writer. They must not end, replace or free
//! anything that is still in use.

use std::{thread, time::Duration};

use figrill_standin::{
    platform::{client::job, site::configuration, store::Outage},
    process::wait_for,
};
use figrill_state::kv::Kv;

use crate::platform::start_site;

/// The time limit for states that are reached after a failure.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn a_late_removal_of_an_entry_record_spares_that_of_the_next_incarnation() {
    // Longer than the process takes to exit and start again.
    const REMOVAL_DELAY: Duration = Duration::from_secs(5);
    let mut site = start_site(1, 1);
    let keys = ["figrill/entry/entry-0", "figrill/started/entry-0"];
    let revision = |kv: &dyn Kv, key| {
        let item = kv.get(key, Duration::ZERO).expect("the store answers");
        item.map(|i| i.revision)
    };
    let first = revision(&site.kv, keys[0]).expect("the entry has a record");
    site.entries[0].store_endpoint.faults().write_delay = Some(REMOVAL_DELAY);
    site.entries[0].process.terminate();
    let code = site.entries[0].process.wait(WAIT_LIMIT);
    assert_eq!(code, Some(0));
    site.entries[0].store_endpoint.faults().write_delay = None;
    site.restart_entry(0).expect("the entry starts");
    wait_for(
        "the next incarnation to write its record",
        WAIT_LIMIT,
        || revision(&site.kv, keys[0]).filter(|r| *r > first),
    );
    thread::sleep(REMOVAL_DELAY);
    for key in keys {
        assert!(revision(&site.kv, key).is_some(), "{key} is gone");
    }
}

#[test]
fn a_late_write_of_the_coordinator_record_under_another_lease_is_not_adopted()
{
    const KEY: &str = "figrill/coordinator";
    // Longer than the lease under which the late write is applied.
    const SETTLING_TIME: Duration = Duration::from_secs(3);
    let mut site = start_site(1, 1);
    site.entries[0].process.kill();
    site.kv.expire_leases();
    site.entries[0].store_endpoint.faults().postponed_key = Some(KEY);
    site.restart_entry(0).expect("the entry starts");
    wait_for("the late write to be applied", WAIT_LIMIT, || {
        site.coordinator()
    });
    thread::sleep(SETTLING_TIME);
    assert_eq!(site.coordinator(), Some(0), "the coordinator has no record");
    site.wait_until_serving();
}

#[test]
fn a_relayed_write_is_not_made_once_its_sender_has_given_up() {
    // As many as an entry answers at a time, and more than its relay can make
    // calls for.
    const SUBMISSIONS: u64 = 12;
    // Longer than the time limit of a relayed write and the delay of the store.
    const EXPIRY: Duration = Duration::from_secs(2);
    let mut site = start_site(2, 1);
    let (sender, relay) = (0, 1);
    site.entries[sender].store_endpoint.faults().outage = Outage::Refusing;
    let first = site.client.submit(site.entry(sender), 1, &small_job());
    assert_eq!(first.status, 200);
    site.entries[relay].store_endpoint.faults().delay = Duration::from_secs(1);
    let submissions = (0..SUBMISSIONS).map(|i| {
        let (client, entry) = (site.client.clone(), site.entry(sender));
        thread::spawn(move || client.submit(entry, 100 + i, &small_job()))
    });
    for submission in submissions.collect::<Vec<_>>() {
        let answer = submission.join().expect("the caller ends");
        assert_eq!(answer.status, 504);
    }
    site.entries[sender].process.kill();
    thread::sleep(EXPIRY);
    let count_jobs = || {
        let jobs = site.kv.list("figrill/in/job/", Duration::ZERO);
        jobs.expect("the store answers").items.len()
    };
    let jobs = count_jobs();
    thread::sleep(EXPIRY);
    assert_eq!(count_jobs(), jobs, "a job was written late");
}

fn small_job() -> serde_json::Value {
    job(1, 0, 10, false)
}

#[test]
fn a_job_whose_write_is_pending_is_not_missing_for_a_cancel() {
    let site = start_site(2, 1);
    let entry = site.entry(0);
    for entry in &site.entries {
        entry.store_endpoint.faults().write_delay =
            Some(Duration::from_millis(2500));
    }
    let answer = site.client.submit(entry, 1, &small_job());
    assert_eq!(answer.status, 504);
    for entry in &site.entries {
        entry.store_endpoint.faults().write_delay = None;
    }
    // The write has not been applied yet. Told that there is no such job, its
    // caller would not expect it to run.
    for i in 0..2 {
        let answer = site.client.cancel(site.entry(i), 1);
        assert_eq!(answer.status, 504, "entry {i}");
    }
    wait_for("the job to be cancelled", WAIT_LIMIT, || {
        (site.client.cancel(entry, 1).status == 200).then_some(())
    });
}

#[test]
fn a_coordinator_frozen_amid_orders_starts_nothing_twice() {
    // Longer than the coordinator's lease.
    const FREEZE_TIME: Duration = Duration::from_millis(2500);
    const TASKS: u32 = 4;
    let site = start_site(2, 2);
    // The answer to a caller, the commit of the placements and the orders
    // follow each other within milliseconds.
    for (id, delay_ms) in (1..).zip([0, 4, 16]) {
        let coordinator =
            wait_for("a coordinator", WAIT_LIMIT, || site.coordinator());
        let other = 1 - coordinator;
        let work = job(TASKS, 1, 4000, false);
        let answer = site.client.submit(site.entry(other), id, &work);
        assert_eq!(answer.status, 200);
        thread::sleep(Duration::from_millis(delay_ms));
        site.entries[coordinator].process.freeze();
        thread::sleep(FREEZE_TIME);
        site.entries[coordinator].process.thaw();
        site.wait_for_state(other, id, "done", WAIT_LIMIT);
        site.assert_no_violations();
    }
}

#[test]
fn a_withdrawn_key_is_not_accepted_after_a_restart() {
    const NEW_KEY: &str = "new-key-of-a";
    let mut site = start_site(2, 1);
    site.configure(&configuration(2, &[NEW_KEY]));
    for delay_ms in [0, 50] {
        site.entries[0].process.kill();
        thread::sleep(Duration::from_millis(delay_ms));
        site.restart_entry(0).expect("the entry starts");
        wait_for("the entry to answer", WAIT_LIMIT, || {
            let answer = site.client.submit(site.entry(0), 1, &small_job());
            assert_ne!(answer.status, 200);
            (answer.status == 401).then_some(())
        });
    }
}

// Guards against a relayed write that is applied long after both entries are
// gone, and after the other ones answer that the job does not run.
#[test]
fn a_relayed_write_is_not_applied_once_its_relay_is_gone() {
    const JOB: u64 = 2;
    // Longer than the lease of an entry's record, from the write on.
    const WRITE_DELAY: Duration = Duration::from_secs(7);
    let mut site = start_site(2, 1);
    let (sender, relay) = (0, 1);
    site.entries[sender].store_endpoint.faults().outage = Outage::Refusing;
    let first = site.client.submit(site.entry(sender), 1, &small_job());
    assert_eq!(first.status, 200);
    site.entries[relay].store_endpoint.faults().write_delay =
        Some(WRITE_DELAY);
    let answer = site.client.submit(site.entry(sender), JOB, &small_job());
    assert_eq!(answer.status, 504);
    site.entries[sender].process.kill();
    site.entries[relay].process.kill();
    thread::sleep(WRITE_DELAY + Duration::from_secs(1));
    let key = format!("figrill/in/job/{JOB:016x}");
    let written = site.kv.get(&key, Duration::ZERO);
    assert_eq!(written, Ok(None), "a job was written late");
}

#[test]
fn a_relaying_entry_makes_no_call_from_before_its_pause() {
    // Longer than the time after which a silent stream is closed.
    const PAUSE: Duration = Duration::from_secs(4);
    const JOB: u64 = 2;
    let mut site = start_site(2, 1);
    let (sender, relay) = (0, 1);
    site.entries[sender].store_endpoint.faults().outage = Outage::Refusing;
    let first = site.client.submit(site.entry(sender), 1, &small_job());
    assert_eq!(first.status, 200);
    site.entries[relay].process.freeze();
    let answer = site.client.submit(site.entry(sender), JOB, &small_job());
    assert_eq!(answer.status, 504);
    site.entries[sender].process.kill();
    thread::sleep(PAUSE);
    site.entries[relay].process.thaw();
    thread::sleep(Duration::from_secs(1));
    let key = format!("figrill/in/job/{JOB:016x}");
    let written = site.kv.get(&key, Duration::ZERO);
    assert_eq!(written, Ok(None), "a job was written late");
}
