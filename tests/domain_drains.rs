//! Tests of the drain of a failure domain on the users' platform.

use std::{thread, time::Duration};

use figrill_standin::{
    platform::{
        client::job,
        site::{Site, SitePlan},
    },
    process::wait_for,
};

use crate::util::figrill;

/// The limit `domain_drain_ms` of the sites.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// The time limit for states that follow without faults.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// The failure domain that is drained. It has half of the workers.
const DOMAIN: &str = "domain-1";

fn start_site() -> Site {
    let plan = SitePlan {
        entries: 2,
        agents: 4,
        domain_drain: Some(DRAIN_LIMIT),
        ..SitePlan::default()
    };
    Site::start_plan(&figrill(), plan).expect("the site starts")
}

/// Returns the times of the starts in [`DOMAIN`] after `since_ms`, in
/// milliseconds of the model.
fn starts_after(site: &Site, since_ms: u64) -> Vec<u64> {
    let pool = site.workers.pool();
    let starts = pool.trace.iter().filter(|l| l.contains(" start "));
    starts
        .filter_map(|line| {
            let agent = line.rsplit(' ').next()?;
            let upstream = &pool.nodes.get(agent)?.upstream;
            let time: u64 = line.split(' ').next()?.parse().ok()?;
            (upstream.failure_domain == DOMAIN && time > since_ms)
                .then_some(time)
        })
        .collect()
}

/// Submits short jobs of two tasks at an entry, and returns the ids of those
/// that were accepted.
fn submit_jobs(site: &Site, entry: usize, first_id: u64) -> Vec<u64> {
    const JOBS: u64 = 70;
    const INTERVAL: Duration = Duration::from_millis(100);
    let mut accepted = Vec::new();
    for id in first_id..first_id + JOBS {
        let body = job(2, 4, 200, false);
        let answer = site.client.submit(site.entry(entry), id, &body);
        if answer.status == 200 {
            accepted.push(id);
        }
        thread::sleep(INTERVAL);
    }
    accepted
}

// Guards against starts in a drained failure domain by the coordinator, by the
// next one, and by one whose watches of the store deliver nothing, and against
// a drain that does not end.
#[test]
fn nothing_starts_in_a_drained_failure_domain_after_the_limit() {
    struct Case {
        name: &'static str,
        refuses_watches: bool,
        loses_coordinator: bool,
    }
    let cases = [
        Case {
            name: "watches are refused",
            refuses_watches: true,
            loses_coordinator: false,
        },
        Case {
            name: "the coordinator is lost",
            refuses_watches: false,
            loses_coordinator: true,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut site = start_site();
        for entry in &site.entries {
            entry.store_endpoint.faults().refuses_watches =
                case.refuses_watches;
        }
        let before = submit_jobs(&site, 0, 1);
        assert!(!starts_after(&site, 0).is_empty(), "{name}: no start");
        site.request_drain(DOMAIN);
        let requested_ms = site.workers.now_ms();
        let coordinator = site.coordinator().expect("there is a coordinator");
        let entry = 1 - coordinator;
        if case.loses_coordinator {
            site.entries[coordinator].process.kill();
        }
        let mut accepted = submit_jobs(&site, entry, 1000);
        accepted.extend(before);
        assert!(accepted.len() > 70, "{name}: {} jobs", accepted.len());
        for id in accepted {
            site.wait_for_state(entry, id, "done", WAIT_LIMIT);
        }
        let limit_ms = u64::try_from(DRAIN_LIMIT.as_millis()).unwrap_or(0);
        let late = starts_after(&site, requested_ms + limit_ms);
        assert_eq!(late.len(), 0, "{name}: requested at {requested_ms}");
        site.end_drain(DOMAIN);
        let ended_ms = site.workers.now_ms();
        let accepted = submit_jobs(&site, entry, 2000);
        assert!(!accepted.is_empty(), "{name}");
        wait_for("a start after the drain", WAIT_LIMIT, || {
            (!starts_after(&site, ended_ms).is_empty()).then_some(())
        });
        site.assert_no_violations();
    }
}
