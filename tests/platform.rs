//! Tests on the users' platform: answers to callers, changes of the
//! configuration and the settings, and faults of the store.
//!
//! An entry may refuse a submission with 429 or 503 only if the job can't run.
//! While a write of the job may still take effect, it must answer 504. It may
//! answer 410 for a job only if the store has answered that there is none.

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

/// The time limit for states that follow without faults.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// The maximum time from the write of a configuration until all entries have
/// adopted it.
const ADOPTION_LIMIT: Duration = Duration::from_secs(2);

/// Starts a site of the users' platform.
pub fn start_site(entries: usize, agents: usize) -> Site {
    Site::start(&figrill(), entries, agents).expect("the site starts")
}

struct Case {
    name: &'static str,
    client: Client,
    method: &'static str,
    path: &'static str,
    body: Option<serde_json::Value>,
    status: u16,
}

#[test]
fn requests_are_answered_with_the_right_status() {
    let site = start_site(1, 2);
    let entry = site.entry(0);
    let known = &site.client;
    let unknown = Client::new("no-key");
    assert_eq!(known.submit(entry, 1, &job(2, 4, 300, true)).status, 200);
    // The same request again refers to the same job.
    assert_eq!(known.submit(entry, 1, &job(2, 4, 300, true)).status, 200);
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 2);
    let id = "/q/00000000000000aa";
    let case = |name, method, path, body, status| Case {
        name,
        client: known.clone(),
        method,
        path,
        body,
        status,
    };
    let mut unknown_key = case("an unknown key", "GET", "/q/", None, 401);
    unknown_key.client = unknown;
    let cases = [
        unknown_key,
        case("an unknown job", "GET", id, None, 410),
        case("a cancel of an unknown job", "DELETE", id, None, 410),
        case("an unknown queue", "GET", "/nothing/", None, 404),
        case("a queue's length", "GET", "/q/", None, 200),
        case("an id that is none", "POST", "/q/xyz", Some(json!({})), 400),
        case("no steps", "POST", id, Some(json!({"spec": ""})), 400),
        case(
            "a step that depends on itself",
            "POST",
            id,
            Some(json!({"steps": [{"count": 1, "after": [0]}]})),
            400,
        ),
    ];
    for c in cases {
        let answer = c.client.call(c.method, entry, c.path, c.body.as_ref());
        assert_eq!(answer.status, c.status, "{}: {}", c.name, answer.body);
        if c.status == 400 && c.path == id {
            let error = answer.body["error"].as_str().unwrap_or_default();
            assert!(error.contains("steps"), "{}: {error}", c.name);
        }
    }
    site.assert_no_violations();
}

#[test]
fn a_queue_reports_its_number_of_waiting_jobs() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    for id in 1..=4 {
        let long = job(1, 8, 20_000, false);
        assert_eq!(site.client.submit(entry, id, &long).status, 200);
    }
    wait_for("three jobs to be waiting", WAIT_LIMIT, || {
        let answer = site.client.call("GET", entry, "/q/", None);
        (answer.body["pending"] == 3).then_some(())
    });
}

// Guards against jobs whose starts are refused, and that are shown as running
// and missing from the number of pending jobs.
#[test]
fn a_job_whose_start_is_refused_stays_queued() {
    let site = start_site(2, 1);
    let set_refusing = |refuses| {
        for node in site.workers.pool().nodes.values_mut() {
            node.refuses_starts = refuses;
        }
    };
    set_refusing(true);
    let answer = site.client.submit(site.entry(0), 1, &job(1, 1, 200, false));
    assert_eq!(answer.status, 200);
    // Longer than a worker whose starts are refused is avoided.
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(100));
        for entry in [site.entry(0), site.entry(1)] {
            assert_eq!(site.client.state(entry, 1), "queued");
        }
    }
    for entry in [site.entry(0), site.entry(1)] {
        let answer = site.client.call("GET", entry, "/q/", None);
        assert_eq!(answer.body["pending"], 1);
    }
    assert_eq!(site.starts(1), 0);
    set_refusing(false);
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    site.assert_no_violations();
}

// Guards against a job whose record the store never accepts, and that is
// answered as one to send again.
#[test]
fn a_job_that_is_too_large_for_the_store_is_refused_for_good() {
    const STORE_LIMIT: usize = 1 << 20;
    let site = start_site(1, 1);
    let entry = site.entry(0);
    let mut large = job(1, 1, 100, false);
    large["spec"] = "x".repeat(STORE_LIMIT - 200).into();
    let answer = site.client.submit(entry, 1, &large);
    assert_eq!(answer.status, 400);
    let error = answer.body["error"].as_str().unwrap_or_default();
    assert!(error.contains("too large"), "{}", answer.body);
    assert!(
        answer.latency < Duration::from_secs(1),
        "{:?}",
        answer.latency
    );
    assert_eq!(site.client.state(entry, 1), "410");
    let small = site.client.submit(entry, 2, &job(1, 1, 100, false));
    assert_eq!(small.status, 200);
    site.wait_for_state(0, 2, "done", WAIT_LIMIT);
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(1, 1, 60_000, false));
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 1).then_some(())
    });
    assert_eq!(site.client.cancel(entry, 1).status, 200);
    site.wait_for_state(0, 1, "canceled", WAIT_LIMIT);
    wait_for("the task to stop", WAIT_LIMIT, || {
        let pool = site.workers.pool();
        let stopped = |l: &String| l.contains("stopped 0000000000000001");
        pool.trace.iter().any(stopped).then_some(())
    });
    // A second cancellation gets the same answer.
    assert_eq!(site.client.cancel(entry, 1).status, 200);
}

#[test]
fn a_job_refused_while_the_store_refuses_is_never_run() {
    let site = start_site(1, 1);
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

// Guards against an unknown outcome (504) of a job that the store has refused,
// because a last attempt was left too little time for its answer.
#[test]
fn a_job_is_refused_although_the_store_refuses_it_slowly() {
    for delay_ms in [46, 48, 50, 52] {
        let site = start_site(1, 1);
        let entry = site.entry(0);
        let mut faults = site.entries[0].store_endpoint.faults();
        faults.outage = Outage::Refusing;
        faults.delay = Duration::from_millis(delay_ms);
        drop(faults);
        let submit = |id| {
            let client = site.client.clone();
            thread::spawn(move || {
                client.submit(entry, id, &job(1, 1, 100, false)).status
            })
        };
        let submissions: Vec<_> = (1..=8).map(submit).collect();
        for submission in submissions {
            let status = submission.join().expect("a status");
            assert_eq!(status, 503, "refused after {delay_ms} ms");
        }
    }
}

#[test]
fn a_lost_answer_of_the_store_is_resolved_by_a_retry() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    site.entries[0].store_endpoint.faults().lost_answers = 1;
    let answer = site.client.submit(entry, 1, &job(1, 1, 100, false));
    assert_eq!(answer.status, 200, "{:?}", answer.latency);
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 1);
    site.assert_no_violations();
}

#[test]
fn a_late_write_is_not_answered_as_not_run() {
    let site = start_site(2, 1);
    let entry = site.entry(0);
    // Delays writes at both entries, as one would relay the write of the
    // other.
    for entry in &site.entries {
        entry.store_endpoint.faults().write_delay =
            Some(Duration::from_millis(2500));
    }
    let answer = site.client.submit(entry, 1, &job(1, 1, 100, false));
    // The write still takes effect, so that 503 or 429 would be wrong.
    assert_eq!(answer.status, 504);
    for entry in &site.entries {
        entry.store_endpoint.faults().write_delay = None;
    }
    site.wait_for_state(1, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 1);
    site.assert_no_violations();
}

#[test]
fn a_silent_store_is_not_answered_as_a_missing_job() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    let _ = site.client.submit(entry, 1, &job(1, 1, 60_000, false));
    site.entries[0].store_endpoint.faults().outage = Outage::Unresponsive;
    let state = site.client.state(entry, 1);
    assert_eq!(state, "503", "410 requires an answer of the store");
    let answer = site.client.submit(entry, 2, &job(1, 1, 100, false));
    assert!([503, 504].contains(&answer.status), "{}", answer.status);
}

#[test]
fn a_configuration_is_adopted_in_time_and_never_reverts() {
    let site = start_site(2, 1);
    site.configure(&configuration(5, &[API_KEY, "second"]));
    let second = Client::new("second");
    for i in 0..2 {
        wait_for("the new key to be accepted", ADOPTION_LIMIT, || {
            let answer = second.call("GET", site.entry(i), "/q/", None);
            (answer.status == 200).then_some(())
        });
    }
    // An older version that is written again must not be adopted.
    site.configure(&configuration(2, &[API_KEY]));
    thread::sleep(Duration::from_millis(2500));
    for i in 0..2 {
        let answer = second.call("GET", site.entry(i), "/q/", None);
        assert_eq!(answer.status, 200);
    }
    // A version that can't be parsed is skipped, and the next one is adopted.
    site.configure(&json!({"version": "no number"}));
    site.configure(&configuration(9, &[API_KEY]));
    for i in 0..2 {
        wait_for("the key to be removed", ADOPTION_LIMIT, || {
            let answer = second.call("GET", site.entry(i), "/q/", None);
            (answer.status == 401).then_some(())
        });
    }
}

// Guards against a job that stays with the service to which its queue belonged
// when it was accepted, as in review/10.
#[test]
fn a_job_that_waits_follows_its_queue_to_another_service() {
    let site = start_site(1, 1);
    let mut without_workers = configuration(5, &[API_KEY]);
    without_workers["routes"][0]["service"] = json!("svc-without-workers");
    site.configure(&without_workers);
    thread::sleep(ADOPTION_LIMIT);
    let work = job(1, 1, 100, false);
    assert_eq!(site.client.submit(site.entry(0), 1, &work).status, 200);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(site.client.state(site.entry(0), 1), "queued");
    site.configure(&configuration(6, &[API_KEY]));
    site.wait_for_state(0, 1, "done", ADOPTION_LIMIT + WAIT_LIMIT);
}

/// Returns a job of two stages of single tasks. Each step of the second one
/// comes after all steps of the first one.
fn two_stages(first: usize, second: usize) -> serde_json::Value {
    let step = json!({"count": 1, "cpu": 500, "gpu": 8, "estimate_ms": 900});
    let mut last = step.clone();
    last["after"] = (0..first).collect();
    let mut steps = vec![step; first];
    steps.extend(vec![last; second]);
    json!({"spec": "ms=1000 cpu=500 gpu=8", "steps": steps})
}

// Guards against a coordinator that is busy with planning large jobs, and
// starts nothing else, as in review/6.
#[test]
fn jobs_of_many_steps_do_not_hold_up_others() {
    let site = start_site(1, 2);
    for id in 1..=4 {
        let large = two_stages(2000, 16);
        assert_eq!(site.client.submit(site.entry(0), id, &large).status, 200);
    }
    thread::sleep(Duration::from_secs(2));
    let small = job(1, 1, 100, false);
    let answer = site.client.call(
        "POST",
        site.entry(0),
        "/u/00000000000000ff",
        Some(&small),
    );
    assert_eq!(answer.status, 200);
    wait_for("the small job to be done", WAIT_LIMIT, || {
        let path = "/u/00000000000000ff";
        let answer = site.client.call("GET", site.entry(0), path, None);
        (answer.body["state"] == "done").then_some(())
    });
}

#[test]
fn compaction_of_the_history_loses_no_job() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    for id in 1..=5 {
        site.kv.compact_history();
        let answer = site.client.submit(entry, id, &job(1, 1, 100, false));
        assert_eq!(answer.status, 200);
        site.kv.compact_history();
    }
    for id in 1..=5 {
        site.wait_for_state(0, id, "done", WAIT_LIMIT);
    }
    site.assert_no_violations();
}

#[test]
fn a_process_reloads_changed_settings_and_keeps_serving() {
    let mut site = start_site(1, 1);
    let entry = site.entry(0);
    for member in site.entries.iter().chain(&site.agents) {
        member.process.reload();
    }
    thread::sleep(Duration::from_millis(500));
    assert!(site.entries[0].process.is_running());
    assert!(site.agents[0].process.is_running());
    let log = std::fs::read_to_string(site.dir.join("agent-0.log"));
    assert!(
        log.expect("the agent has a log")
            .contains("ProcessReloaded")
    );
    let _ = site.client.submit(entry, 1, &job(1, 1, 100, false));
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
}

#[test]
fn a_resubmission_is_not_refused_while_its_write_is_pending() {
    let site = start_site(1, 1);
    let entry = site.entry(0);
    let work = job(1, 1, 100, false);
    site.entries[0].store_endpoint.faults().write_delay =
        Some(Duration::from_secs(6));
    assert_eq!(site.client.submit(entry, 1, &work).status, 504);
    site.entries[0].store_endpoint.faults().write_delay = None;
    // The store refuses now, but the first write is still pending.
    site.entries[0].store_endpoint.faults().outage = Outage::Refusing;
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(site.client.submit(entry, 1, &work).status, 504);
    assert_eq!(site.client.submit(entry, 2, &work).status, 503);
    site.entries[0].store_endpoint.faults().outage = Outage::None;
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 1);
}

#[test]
fn an_unread_log_does_not_block_requests() {
    let mut site = start_site(1, 1);
    site.restart_entry_with_unread_log(0)
        .expect("the entry starts");
    let entry = site.entry(0);
    wait_for("the entry to serve", WAIT_LIMIT, || {
        (site.client.state(entry, 9) == "410").then_some(())
    });
    // Logs more lines than the pipe and the log queue hold.
    for _ in 0..3 {
        let clients: Vec<_> = (0..8)
            .map(|_| {
                let client = site.client.clone();
                thread::spawn(move || {
                    for _ in 0..250 {
                        let answer = client.call(
                            "GET",
                            entry,
                            "/q/0000000000000009",
                            None,
                        );
                        assert_eq!(answer.status, 410, "{answer:?}");
                    }
                })
            })
            .collect();
        for client in clients {
            client.join().expect("the client thread succeeds");
        }
    }
}

#[test]
fn a_job_is_not_refused_while_a_write_of_another_entry_is_pending() {
    let site = start_site(2, 1);
    let work = job(1, 1, 100, false);
    // Neither entry can relay calls for the other.
    site.entries[1].store_endpoint.faults().outage = Outage::Refusing;
    site.entries[0].store_endpoint.faults().write_delay =
        Some(Duration::from_secs(5));
    thread::sleep(Duration::from_secs(1));
    assert_eq!(site.client.submit(site.entry(0), 1, &work).status, 504);
    site.entries[0].store_endpoint.faults().write_delay = None;
    site.entries[0].store_endpoint.faults().outage = Outage::Refusing;
    let refused = site.client.submit(site.entry(1), 1, &work).status;
    // For another job, both entries know that nothing was written.
    let another = site.client.submit(site.entry(1), 2, &work).status;
    for entry in &site.entries {
        entry.store_endpoint.faults().outage = Outage::None;
    }
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(refused, 504, "the job was answered as not run, but ran");
    assert_eq!(another, 503);
    assert_eq!(site.client.state(site.entry(0), 2), "410");
}

#[test]
fn a_restarted_entry_does_not_refuse_what_it_may_have_written() {
    let mut site = start_site(2, 1);
    let work = job(1, 1, 100, false);
    site.entries[1].process.kill();
    site.restart_entry(1).expect("the entry starts");
    wait_for("the entry to serve", WAIT_LIMIT, || {
        (site.client.state(site.entry(1), 9) == "410").then_some(())
    });
    for entry in &site.entries {
        entry.store_endpoint.faults().outage = Outage::Refusing;
    }
    thread::sleep(Duration::from_secs(1));
    // A refusal by either entry would rely on what the restarted entry knows
    // of the writes of its earlier incarnation, which is nothing.
    for i in 0..2 {
        let answer = site.client.submit(site.entry(i), 1, &work);
        assert_eq!(answer.status, 504);
    }
}

#[test]
fn an_entry_refused_by_the_store_relays_through_another() {
    let site = start_site(2, 1);
    for down in [Outage::Refusing, Outage::Unresponsive] {
        for i in 0..2 {
            site.entries[i].store_endpoint.faults().outage = down;
            thread::sleep(Duration::from_secs(1));
            let id =
                1 + 2 * i as u64 + 10 * u64::from(down == Outage::Refusing);
            let entry = site.entry(i);
            let work = job(1, 1, 100, false);
            let answer = site.client.submit(entry, id, &work);
            assert_eq!(answer.status, 200, "{down:?} {:?}", answer.latency);
            site.wait_for_state(i, id, "done", WAIT_LIMIT);
            assert_eq!(site.client.state(entry, 99), "410");
            assert_eq!(site.client.cancel(entry, id).status, 200);
            site.entries[i].store_endpoint.faults().outage = Outage::None;
        }
    }
    site.assert_no_violations();
}
