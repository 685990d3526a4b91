//! Tests on the users' platform in which the store does not answer one entry,
//! whose calls another entry relays.

use std::{fs, thread, time::Duration};

use figrill_standin::{
    platform::{client::job, site::Site, store::Outage},
    process::wait_for,
};
use figrill_state::kv::Kv;

use crate::platform::start_site;

/// The time limit for states that follow from an outage or its end.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn log(site: &Site, entry: usize) -> String {
    let path = site.dir.join(format!("entry-{entry}.log"));
    fs::read_to_string(path).unwrap_or_default()
}

/// Waits until the log of an entry contains `event` after the first `start`
/// bytes. Returns the position after the event.
fn wait_for_event(
    site: &Site,
    entry: usize,
    start: usize,
    event: &str,
) -> usize {
    wait_for(event, WAIT_LIMIT, || {
        let found = log(site, entry)[start..].find(event)?;
        Some(start + found + event.len())
    })
}

/// Starts a site of two entries, and returns it with the coordinator and the
/// other entry. The coordinator has just sent a watch of the jobs.
fn start_pair() -> (Site, usize, usize) {
    let site = start_site(2, 1);
    let coordinator = site.coordinator().expect("there is a coordinator");
    let entry = site.entry(coordinator);
    let answer = site.client.submit(entry, 1, &job(1, 1, 10, false));
    assert_eq!(answer.status, 200);
    site.wait_for_state(coordinator, 1, "done", WAIT_LIMIT);
    (site, coordinator, 1 - coordinator)
}

// Guards against an entry that takes the late answer to a watch that it sent
// before an outage as the end of the outage.
#[test]
fn an_answer_to_an_earlier_call_does_not_end_an_outage() {
    let (site, coordinator, _) = start_pair();
    let start = log(&site, coordinator).len();
    let faults = || site.entries[coordinator].store_endpoint.faults();
    faults().outage = Outage::Unresponsive;
    let failed = wait_for_event(&site, coordinator, start, "StoreByEntry");
    // Longer than a watch of the jobs waits.
    thread::sleep(Duration::from_millis(2500));
    let after = &log(&site, coordinator)[failed..];
    assert!(!after.contains("StoreDirect"), "{after}");
    faults().outage = Outage::None;
    wait_for_event(&site, coordinator, failed, "StoreDirect");
}

// Guards against an entry whose calls are all lost on their way through
// another entry, and that does not notice that the store answers it again.
#[test]
fn an_entry_notices_that_the_store_answers_while_its_relayed_calls_are_lost() {
    // Less than the time limit of a lost call.
    const RETURN_LIMIT: Duration = Duration::from_secs(1);
    let (site, coordinator, other) = start_pair();
    let start = log(&site, other).len();
    let faults = |i: usize| site.entries[i].store_endpoint.faults();
    faults(other).outage = Outage::Refusing;
    wait_for_event(&site, other, start, "StoreByEntry");
    thread::sleep(Duration::from_millis(700));
    let start = log(&site, other).len();
    faults(coordinator).outage = Outage::Unresponsive;
    faults(other).outage = Outage::None;
    wait_for("the entry to reach the store", RETURN_LIMIT, || {
        let log = log(&site, other);
        log[start..].contains("StoreDirect").then_some(())
    });
}

// Guards against an entry that does not notice that the store is silent when
// the calls fail that it relays: others go on to send it theirs.
#[test]
fn an_entry_notices_a_silent_store_by_the_calls_that_it_relays() {
    let (site, coordinator, other) = start_pair();
    let start = log(&site, coordinator).len();
    let faults = |i: usize| site.entries[i].store_endpoint.faults();
    faults(coordinator).outage = Outage::Refusing;
    wait_for_event(&site, coordinator, start, "StoreByEntry");
    thread::sleep(Duration::from_secs(1));
    let start = log(&site, coordinator).len();
    faults(other).outage = Outage::Unresponsive;
    thread::sleep(Duration::from_secs(2));
    let after = &log(&site, coordinator)[start..];
    let unanswered = |line: &&str| {
        line.contains("renew the coordinator's lease")
            && line.contains("no answer from the relaying entry")
    };
    assert_eq!(after.lines().filter(unanswered).count(), 1, "{after}");
}

// Guards against an entry whose record lapses in an outage in which another
// entry could have relayed its renewals. No write is relayed through an entry
// without a record.
#[test]
fn an_entry_keeps_its_record_while_the_store_does_not_answer_it() {
    let site = start_site(2, 1);
    for i in 0..2 {
        let key = format!("figrill/entry/entry-{i}");
        let revision = || {
            let item = site.kv.get(&key, Duration::ZERO).ok().flatten();
            item.map(|item| item.revision)
        };
        let before = revision();
        assert!(before.is_some());
        site.entries[i].store_endpoint.faults().outage = Outage::Unresponsive;
        for _ in 0..80 {
            thread::sleep(Duration::from_millis(100));
            assert_eq!(revision(), before, "{key}");
        }
        site.entries[i].store_endpoint.faults().outage = Outage::None;
    }
}

// Guards against an entry that refuses a job because its last read of the
// configuration was lost, although another entry can relay the write.
#[test]
fn a_job_is_accepted_after_a_lost_read_of_the_configuration() {
    let (site, _, other) = start_pair();
    let start = log(&site, other).len();
    site.entries[other].store_endpoint.faults().outage = Outage::Unresponsive;
    wait_for_event(&site, other, start, "StoreFailed");
    let work = job(1, 1, 10, false);
    let answer = site.client.submit(site.entry(other), 2, &work);
    assert_eq!(answer.status, 200, "{:?}", answer.latency);
    site.wait_for_state(other, 2, "done", WAIT_LIMIT);
    site.assert_no_violations();
}
