//! Tests of the drain of a failure domain, on the users' platform and on the
//! product's own interface.

use std::{process::Command, thread, time::Duration};

use figrill_standin::{
    caller::echo_job,
    platform::{
        client::job,
        site::{Site, SitePlan},
        store::Outage,
    },
    process::wait_for,
    site::OPERATOR_TOKEN,
};

use crate::util::{figrill, plan};

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
// next one, by one whose watches of the store deliver nothing, and by one that
// the store refuses, and against a drain that does not end.
#[test]
fn nothing_starts_in_a_drained_failure_domain_after_the_limit() {
    struct Case {
        name: &'static str,
        refuses_watches: bool,
        refuses_coordinator: bool,
        loses_coordinator: bool,
    }
    let cases = [
        Case {
            name: "watches are refused",
            refuses_watches: true,
            refuses_coordinator: false,
            loses_coordinator: false,
        },
        Case {
            name: "the store refuses the coordinator",
            refuses_watches: false,
            refuses_coordinator: true,
            loses_coordinator: false,
        },
        Case {
            name: "the coordinator is lost",
            refuses_watches: false,
            refuses_coordinator: false,
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
        let coordinator = site.coordinator().expect("there is a coordinator");
        if case.refuses_coordinator {
            let endpoint = &site.entries[coordinator].store_endpoint;
            endpoint.faults().outage = Outage::Refusing;
        }
        site.request_drain(DOMAIN);
        let requested_ms = site.workers.now_ms();
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

/// Returns the part of the output of `figrill status` about drained failure
/// domains.
fn shown_drains(http: &str, token_file: &str) -> Option<String> {
    let entry = format!("http://{http}");
    let output = Command::new(figrill())
        .args(["status", "--entry", &entry, "--token-file", token_file])
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let line = text.lines().find(|l| l.starts_with("drained "))?;
    Some(line["drained".len()..].trim().to_owned())
}

site_test!(
    drained_domains_of_the_settings_get_no_work,
    plan().agents(6).settings("[workspace/a]\n"),
    |site| {
        // The second three workers are on a rack of their own. Submissions
        // are answered at once.
        const DRAINED: &str = "[defaults]\ncall_wait = 0ms\n\
            drained_domains = domain-1, domain-9\n[workspace/a]\n";
        let entries = site.entry_addresses();
        let token_file = site.dir.join("operator.token");
        std::fs::write(&token_file, OPERATOR_TOKEN).expect("a file");
        let token_file = token_file.display().to_string();
        let starts_at = |i: usize| {
            let starts = site.operator.get(&site.upstreams[i].http, "/starts");
            starts.body.as_array().map_or(0, Vec::len)
        };
        let starts_there = || (3..6).map(starts_at).sum::<usize>();
        assert_eq!(shown_drains(&entries[0], &token_file), None);
        site.apply_settings(DRAINED);
        assert_eq!(
            shown_drains(&entries[0], &token_file).as_deref(),
            Some("domain-1, domain-9")
        );
        // Each of the two jobs needs three workers.
        let jobs: Vec<_> = (0..2)
            .map(|_| {
                let job = echo_job("a", 24, 4000, "x");
                site.operator.submit(&entries[0], &job)
            })
            .collect();
        wait_for("a start", WAIT_LIMIT, || (starts_at(0) > 0).then_some(()));
        thread::sleep(Duration::from_secs(1));
        assert_eq!(starts_there(), 0);
        site.apply_settings("[workspace/a]\n");
        for answer in jobs {
            let answer = site.operator.follow(&entries, answer);
            assert_eq!(answer.body["outcome"], "done", "{}", answer.text);
        }
        assert!(starts_there() > 0, "no start after the drain");
        assert_eq!(shown_drains(&entries[0], &token_file), None);
    }
);
