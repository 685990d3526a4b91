//! The users' platform on a calm day: what callers are told.

use std::{thread, time::Duration};

use figrill_standin::{
    platform::{
        client::{Client, job},
        site::{API_KEY, Site, configuration},
        store::Outage,
    },
    process::wait_for,
};
use serde_json::json;

use crate::util::figrill;

const SOON: Duration = Duration::from_secs(10);

/// A configuration is in force within this time of its write.
const IN_FORCE: Duration = Duration::from_secs(2);

pub fn site(entries: usize, agents: usize) -> Site {
    Site::start(&figrill(), entries, agents).expect("the site starts")
}

struct Case {
    what: &'static str,
    client: Client,
    method: &'static str,
    path: &'static str,
    body: Option<serde_json::Value>,
    status: u16,
}

#[test]
fn callers_are_told_what_is_true() {
    let site = site(1, 2);
    let entry = site.entry(0);
    let known = &site.client;
    let stranger = Client::new("no-key");
    assert_eq!(known.submit(entry, 1, &job(2, 4, 300, true)).status, 200);
    // The same request again is the same job.
    assert_eq!(known.submit(entry, 1, &job(2, 4, 300, true)).status, 200);
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(site.starts(1), 2);
    let id = "/q/00000000000000aa";
    let case = |what, method, path, body, status| Case {
        what,
        client: known.clone(),
        method,
        path,
        body,
        status,
    };
    let mut strange = case("an unknown key", "GET", "/q/", None, 401);
    strange.client = stranger;
    let cases = [
        strange,
        case("an unknown job", "GET", id, None, 410),
        case("a cancel of no job", "DELETE", id, None, 410),
        case("an unknown queue", "GET", "/nothing/", None, 404),
        case("a queue's length", "GET", "/q/", None, 200),
        case("an id that is none", "POST", "/q/xyz", Some(json!({})), 400),
        case("no steps", "POST", id, Some(json!({"spec": ""})), 400),
        case(
            "a step before itself",
            "POST",
            id,
            Some(json!({"steps": [{"count": 1, "after": [0]}]})),
            400,
        ),
    ];
    for c in cases {
        let answer = c.client.call(c.method, entry, c.path, c.body.as_ref());
        assert_eq!(answer.status, c.status, "{}: {}", c.what, answer.body);
        if c.status == 400 && c.path == id {
            let error = answer.body["error"].as_str().unwrap_or_default();
            assert!(error.contains("steps"), "{}: {error}", c.what);
        }
    }
    site.assert_no_violations();
}

#[test]
fn a_queue_counts_what_waits() {
    let site = site(1, 1);
    let entry = site.entry(0);
    for id in 1..=4 {
        let long = job(1, 8, 20_000, false);
        assert_eq!(site.client.submit(entry, id, &long).status, 200);
    }
    wait_for("three to be waiting", SOON, || {
        let answer = site.client.call("GET", entry, "/q/", None);
        (answer.body["pending"] == 3).then_some(())
    });
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let site = site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(1, 1, 60_000, false));
    wait_for("its start", SOON, || (site.starts(1) == 1).then_some(()));
    assert_eq!(site.client.cancel(entry, 1).status, 200);
    site.wait_for_state(0, 1, "canceled", SOON);
    wait_for("its stop", SOON, || {
        let pool = site.workers.pool();
        let stopped = |l: &String| l.contains("stopped 0000000000000001");
        pool.trace.iter().any(stopped).then_some(())
    });
    // Once more says the same.
    assert_eq!(site.client.cancel(entry, 1).status, 200);
}

#[test]
fn a_refusal_is_true_and_quick_while_the_store_refuses() {
    let site = site(1, 1);
    let entry = site.entry(0);
    site.entries[0].store_endpoint.faults().outage = Outage::Refusing;
    let refused = site.client.submit(entry, 1, &job(1, 1, 100, false));
    assert_eq!(refused.status, 503);
    assert!(
        refused.latency < Duration::from_secs(2),
        "{:?}",
        refused.latency
    );
    site.entries[0].store_endpoint.faults().outage = Outage::None;
    thread::sleep(Duration::from_secs(2));
    assert_eq!(site.client.state(entry, 1), "410");
    assert_eq!(site.starts(1), 0);
}

#[test]
fn a_lost_answer_of_the_store_is_settled_by_asking_again() {
    let site = site(1, 1);
    let entry = site.entry(0);
    site.entries[0].store_endpoint.faults().lost_answers = 1;
    let answer = site.client.submit(entry, 1, &job(1, 1, 100, false));
    assert_eq!(answer.status, 200, "{:?}", answer.latency);
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(site.starts(1), 1);
    site.assert_no_violations();
}

#[test]
fn a_write_that_comes_late_is_never_called_not_run() {
    let site = site(2, 1);
    let entry = site.entry(0);
    // At both entries: one would make the write in the other's place.
    for entry in &site.entries {
        entry.store_endpoint.faults().write_delay =
            Some(Duration::from_millis(2500));
    }
    let answer = site.client.submit(entry, 1, &job(1, 1, 100, false));
    // It may still happen, and does: 503 or 429 would be untrue.
    assert_eq!(answer.status, 504);
    for entry in &site.entries {
        entry.store_endpoint.faults().write_delay = None;
    }
    site.wait_for_state(1, 1, "done", SOON);
    assert_eq!(site.starts(1), 1);
    site.assert_no_violations();
}

#[test]
fn a_silent_store_gives_no_answer_that_is_not_known() {
    let site = site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(1, 1, 60_000, false));
    site.entries[0].store_endpoint.faults().outage = Outage::Unresponsive;
    let state = site.client.state(entry, 1);
    assert_eq!(state, "503", "never 410 without the store's word");
    let answer = site.client.submit(entry, 2, &job(1, 1, 100, false));
    assert!([503, 504].contains(&answer.status), "{}", answer.status);
}

#[test]
fn a_configuration_is_adopted_in_time_and_never_reverts() {
    let site = site(2, 1);
    site.configure(&configuration(5, &[API_KEY, "second"]));
    let second = Client::new("second");
    for i in 0..2 {
        wait_for("the new key", IN_FORCE, || {
            let answer = second.call("GET", site.entry(i), "/q/", None);
            (answer.status == 200).then_some(())
        });
    }
    // An older version that turns up again changes nothing.
    site.configure(&configuration(2, &[API_KEY]));
    thread::sleep(Duration::from_millis(2500));
    for i in 0..2 {
        let answer = second.call("GET", site.entry(i), "/q/", None);
        assert_eq!(answer.status, 200);
    }
    // One that cannot be read is left out, and the next one holds.
    site.configure(&json!({"version": "no number"}));
    site.configure(&configuration(9, &[API_KEY]));
    for i in 0..2 {
        wait_for("the key to go", IN_FORCE, || {
            let answer = second.call("GET", site.entry(i), "/q/", None);
            (answer.status == 401).then_some(())
        });
    }
}

#[test]
fn a_history_that_is_gone_loses_no_job() {
    let site = site(1, 1);
    let entry = site.entry(0);
    for id in 1..=5 {
        site.kv.compact_history();
        let answer = site.client.submit(entry, id, &job(1, 1, 100, false));
        assert_eq!(answer.status, 200);
        site.kv.compact_history();
    }
    for id in 1..=5 {
        site.wait_for_state(0, id, "done", SOON);
    }
    site.assert_no_violations();
}

#[test]
fn a_process_whose_settings_changed_reads_them_and_goes_on() {
    let mut site = site(1, 1);
    let entry = site.entry(0);
    for member in site.entries.iter().chain(&site.agents) {
        member.process.reload();
    }
    thread::sleep(Duration::from_millis(500));
    assert!(site.entries[0].process.is_running());
    assert!(site.agents[0].process.is_running());
    let log = std::fs::read_to_string(site.dir.join("agent-0.log"));
    assert!(log.expect("a log").contains("ProcessReloaded"));
    let _ = site.client.submit(entry, 1, &job(1, 1, 100, false));
    site.wait_for_state(0, 1, "done", SOON);
}

#[test]
fn a_job_that_may_yet_run_is_not_called_not_run_later() {
    let site = site(1, 1);
    let entry = site.entry(0);
    let work = job(1, 1, 100, false);
    site.entries[0].store_endpoint.faults().write_delay =
        Some(Duration::from_secs(6));
    assert_eq!(site.client.submit(entry, 1, &work).status, 504);
    site.entries[0].store_endpoint.faults().write_delay = None;
    // The store refuses now, but the first write is still on its way.
    site.entries[0].store_endpoint.faults().outage = Outage::Refusing;
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(site.client.submit(entry, 1, &work).status, 504);
    assert_eq!(site.client.submit(entry, 2, &work).status, 503);
    site.entries[0].store_endpoint.faults().outage = Outage::None;
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(site.starts(1), 1);
}

#[test]
fn a_log_that_nobody_reads_keeps_nobody_waiting() {
    let mut site = site(1, 1);
    site.restart_entry_with_unread_log(0).expect("it starts");
    let entry = site.entry(0);
    wait_for("the entry", SOON, || {
        (site.client.state(entry, 9) == "410").then_some(())
    });
    // Far more lines than a pipe and the ring hold.
    for _ in 0..3 {
        let askers: Vec<_> = (0..8)
            .map(|_| {
                let client = site.client.clone();
                thread::spawn(move || {
                    (0..250).all(|_| client.state(entry, 9) == "410")
                })
            })
            .collect();
        for asker in askers {
            assert!(asker.join().expect("an asker"));
        }
    }
}

#[test]
fn a_job_that_another_entry_may_have_written_is_not_called_not_run() {
    let site = site(2, 1);
    let work = job(1, 1, 100, false);
    // Neither entry can help the other.
    site.entries[1].store_endpoint.faults().outage = Outage::Refusing;
    site.entries[0].store_endpoint.faults().write_delay =
        Some(Duration::from_secs(5));
    thread::sleep(Duration::from_secs(1));
    assert_eq!(site.client.submit(site.entry(0), 1, &work).status, 504);
    site.entries[0].store_endpoint.faults().write_delay = None;
    site.entries[0].store_endpoint.faults().outage = Outage::Refusing;
    let refused = site.client.submit(site.entry(1), 1, &work).status;
    // Of another job, both can say that nothing was written.
    let another = site.client.submit(site.entry(1), 2, &work).status;
    for entry in &site.entries {
        entry.store_endpoint.faults().outage = Outage::None;
    }
    site.wait_for_state(0, 1, "done", SOON);
    assert_eq!(refused, 504, "it was called not run, and ran");
    assert_eq!(another, 503);
    assert_eq!(site.client.state(site.entry(0), 2), "410");
}

#[test]
fn an_entry_that_started_again_does_not_say_what_it_cannot_know() {
    let mut site = site(2, 1);
    let work = job(1, 1, 100, false);
    site.entries[1].process.kill();
    site.restart_entry(1).expect("an entry");
    wait_for("the entry", SOON, || {
        (site.client.state(site.entry(1), 9) == "410").then_some(())
    });
    for entry in &site.entries {
        entry.store_endpoint.faults().outage = Outage::Refusing;
    }
    thread::sleep(Duration::from_secs(1));
    // It, or the other on its word, would vouch for its earlier life.
    for i in 0..2 {
        let answer = site.client.submit(site.entry(i), 1, &work);
        assert_eq!(answer.status, 504);
    }
}

#[test]
fn an_entry_that_the_store_turns_away_serves_through_another() {
    let site = site(2, 1);
    for down in [Outage::Refusing, Outage::Unresponsive] {
        for at in 0..2 {
            site.entries[at].store_endpoint.faults().outage = down;
            thread::sleep(Duration::from_secs(1));
            let id =
                1 + 2 * at as u64 + 10 * u64::from(down == Outage::Refusing);
            let entry = site.entry(at);
            let work = job(1, 1, 100, false);
            let answer = site.client.submit(entry, id, &work);
            assert_eq!(answer.status, 200, "{down:?} {:?}", answer.latency);
            site.wait_for_state(at, id, "done", SOON);
            assert_eq!(site.client.state(entry, 99), "410");
            assert_eq!(site.client.cancel(entry, id).status, 200);
            site.entries[at].store_endpoint.faults().outage = Outage::None;
        }
    }
    site.assert_no_violations();
}
