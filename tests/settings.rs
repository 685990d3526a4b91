//! Tests of settings: validation, inheritance, and adoption by all processes.
//!
//! Concurrent changes, lost answers and stale reads of the store must neither
//! lose a revision nor revert a process to an earlier one.

use std::{collections::BTreeMap, thread, time::Duration};

use figrill_coordination::term::ELECTION_TIMEOUT;
use figrill_standin::{caller::echo_job, process::wait_for};
use figrill_state::{
    deployment::Deployment, features::Features, limits::Limits, settings::Tree,
};

use crate::util::plan;

/// The maximum time until all processes have adopted a new revision.
const ADOPTION_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn limits_of_a_deployment_are_checked() {
    struct Case {
        limits: &'static str,
        error: &'static str,
    }
    let cases = [
        Case {
            limits: "claim_start_ms = 2900\nspread_slowdown = 2.5\n",
            error: "",
        },
        Case {
            limits: "claim_start_ms =\n",
            error: "",
        },
        Case {
            limits: "domain_drain_ms =\n",
            error: "",
        },
        Case {
            limits: "domain_drain_ms = 1500\n",
            error: "x.ini:5: domain_drain_ms: write a number from 2500 to \
                    600000",
        },
        Case {
            limits: "claim_start = 2900\n",
            error: "x.ini:5: no key claim_start in [limits]; did you mean \
                    claim_start_ms?",
        },
        Case {
            limits: "max_lease_ms = soon\n",
            error: "x.ini:5: max_lease_ms: write a number from 2000 to 600000",
        },
        Case {
            limits: "max_lease_ms = 5\n",
            error: "x.ini:5: max_lease_ms: write a number from 2000 to 600000",
        },
        Case {
            limits: "claim_start_ms = 600\nstop_grace_ms = 700\n",
            error: "x.ini: stop_grace_ms must be less than claim_start_ms",
        },
    ];
    for case in cases {
        let text = format!(
            "[process]\nname = a\npeer = 127.0.0.1:1\n[limits]\n{}\
             [platform]\nstore = 127.0.0.1:2\n",
            case.limits
        );
        let parsed = Deployment::parse(&text, "x.ini");
        let error = parsed.err().map(|e| e.to_string()).unwrap_or_default();
        assert!(error.starts_with(case.error), "{}: {error}", case.limits);
        assert_eq!(error.is_empty(), case.error.is_empty(), "{error}");
    }
}

// Guards against a process that does not start, because the platform knows
// fewer names than the template of its settings.
#[test]
fn an_optional_setting_that_was_not_filled_in_counts_as_absent() {
    struct Case {
        text: &'static str,
        error: &'static str,
        unfilled: usize,
    }
    let cases = [
        Case {
            text: "[limits]\ndomain_drain_ms = {{bounds.evac_ms}}\n",
            error: "",
            unfilled: 1,
        },
        Case {
            text: "[limits]\nstop_grace_ms = {{a}}\nmax_lease_ms = {{b}}\n\
                   [features]\nworker_speeds = {{c}}\n",
            error: "",
            unfilled: 3,
        },
        Case {
            text: "[limits]\ndomain_drain = {{bounds.evac_ms}}\n",
            error: "x.ini:7: no key domain_drain in [limits]; did you mean \
                    domain_drain_ms?",
            unfilled: 0,
        },
        Case {
            text: "[limits]\ndomain_drain_ms = {{bounds.evac_ms}}0\n",
            error: "x.ini:7: domain_drain_ms: write a number",
            unfilled: 0,
        },
    ];
    let required = "[process]\nname = a\npeer = 127.0.0.1:1\n\
                    [platform]\nstore = 127.0.0.1:2\n";
    for case in cases {
        let text = format!("{required}{}", case.text);
        match Deployment::parse(&text, "x.ini") {
            Ok(parsed) => {
                assert!(case.error.is_empty(), "{}", case.text);
                assert_eq!(parsed.unfilled.len(), case.unfilled);
                assert_eq!(parsed.limits, Limits::default());
                assert_eq!(parsed.features, Features::default());
            }
            Err(e) => {
                let error = e.to_string();
                assert!(!case.error.is_empty(), "{error}");
                assert!(error.starts_with(case.error), "{error}");
            }
        }
    }
}

#[test]
fn a_required_setting_that_was_not_filled_in_is_an_error() {
    let cases = [
        (
            "name = a",
            "name = {{node}}",
            "x.ini:2: name: {{node}} was not",
        ),
        ("127.0.0.1:1", "{{ip}}", "x.ini:3: peer: {{ip}} was not"),
        (
            "127.0.0.1:2",
            "{{store}}",
            "x.ini:5: store: {{store}} was not",
        ),
    ];
    for (filled, unfilled, expected) in cases {
        let text = "[process]\nname = a\npeer = 127.0.0.1:1\n\
                    [platform]\nstore = 127.0.0.1:2\n";
        let parsed =
            Deployment::parse(&text.replace(filled, unfilled), "x.ini");
        let error = parsed.err().map(|e| e.to_string()).unwrap_or_default();
        assert!(error.starts_with(expected), "{error}");
    }
}

#[test]
fn features_of_a_deployment_are_off_unless_switched_on() {
    struct Case {
        features: &'static str,
        expected: Result<bool, &'static str>,
    }
    let cases = [
        Case {
            features: "",
            expected: Ok(false),
        },
        Case {
            features: "[features]\nworker_speeds =\n",
            expected: Ok(false),
        },
        Case {
            features: "[features]\nworker_speeds = on\n",
            expected: Ok(true),
        },
        Case {
            features: "[features]\nworker_speeds = yes\n",
            expected: Err("x.ini:7: worker_speeds: write on or off"),
        },
        Case {
            features: "[features]\nworker_speed = on\n",
            expected: Err("x.ini:7: no key worker_speed in [features]; did \
                           you mean worker_speeds?"),
        },
    ];
    for case in cases {
        let text = format!(
            "[process]\nname = a\npeer = 127.0.0.1:1\n\
             [platform]\nstore = 127.0.0.1:2\n{}",
            case.features
        );
        let parsed = Deployment::parse(&text, "x.ini");
        let speeds = parsed.map(|d| d.features.worker_speeds);
        let speeds = speeds.map_err(|e| e.to_string());
        assert_eq!(speeds.as_ref().ok(), case.expected.as_ref().ok());
        let error = speeds.err().unwrap_or_default();
        let expected = case.expected.err().unwrap_or_default();
        assert_eq!(error.trim(), expected, "{}", case.features);
    }
}

#[test]
fn errors_name_the_file_the_line_and_the_closest_name() {
    struct Case {
        text: &'static str,
        expected: &'static str,
    }
    let cases = [
        Case {
            text: "[workspace/a]\nwieght = 2\n",
            expected: "x.ini:2: no key wieght in [workspace/a]; \
                   did you mean weight?",
        },
        Case {
            text: "[workspac/a]\n",
            expected: "x.ini:1: [workspac/a]",
        },
        Case {
            text: "[defaults]\nqueue_wait = 5\n",
            expected: "x.ini:2: queue_wait = 5: a time needs a unit",
        },
        Case {
            text: "[defaults]\nqueue_wait = 5 days\n",
            expected: "no unit days",
        },
        Case {
            text: "[workspace/a]\nguarantee = 2y8\n",
            expected: "x.ini:2: guarantee = 2y8",
        },
        Case {
            text: "[workspace/a]\nweight = 0\n",
            expected: "a whole number from 1 to 1000",
        },
        Case {
            text: "[workspace/a]\n\n[workspace/a]\n",
            expected: "x.ini:3: section [workspace/a] stands twice",
        },
        Case {
            text: "[workspace/a]\nweight = 1\nweight = 2\n",
            expected: "x.ini:3: key weight stands twice",
        },
        Case {
            text: "[workspace/alpha]\n[workspace/alpa/service/x]\n",
            expected: "x.ini:2: no section [workspace/alpa]; \
                   did you mean alpha?",
        },
        Case {
            text: "[token/t]\ndigest = abc\n",
            expected: "64 hex digits",
        },
        Case {
            text: "[workspace/a]\nlong_share = 50\n",
            expected: "can't be set at this level",
        },
    ];
    for case in cases {
        let problems = Tree::parse(case.text, "x.ini");
        let text = problems.expect_err(case.text).to_string();
        assert!(
            text.contains(case.expected),
            "{text}\nlacks {}",
            case.expected
        );
    }
}

#[test]
fn a_service_inherits_the_values_it_does_not_set() {
    let text = "[defaults]\nattempts = 5\ncall_wait = 2s\n\
                [workspace/a]\ncall_wait = 3s\n\
                [workspace/a/service/x]\nlong_after = 9s\n";
    let tree = Tree::parse(text, "x.ini").expect("the settings are valid");
    let x = tree.policy("a", "x").expect("the service has a policy");
    assert_eq!((x.attempts, x.call_wait.as_secs()), (5, 3));
    assert_eq!(x.long_after.as_secs(), 9);
    let y = tree.policy("a", "y").expect("the service has a policy");
    assert_eq!(y.long_after.as_secs(), 60);
    let rows = tree
        .resolved_values("workspace/a/service/x")
        .expect("the path exists");
    let origin = |key: &str| {
        rows.iter()
            .find(|r| r.key == key)
            .map(|r| r.origin.as_str())
    };
    assert_eq!(origin("attempts"), Some("[defaults] line 2"));
    assert_eq!(origin("call_wait"), Some("[workspace/a] line 5"));
    assert_eq!(origin("weight"), Some("built in"));
}

site_test!(
    only_one_concurrent_change_wins_and_revisions_only_rise,
    { plan().entries(2).agents(3) },
    |site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let http = site.entries[coordinator].http.clone();
        let base = site.revision(&http);
        let text = site.operator.get(&http, "/v1/settings").body["text"]
            .as_str()
            .expect("the answer contains the settings")
            .to_owned();
        let results: Vec<u16> = std::thread::scope(|scope| {
            let operators: Vec<_> = (0..6)
                .map(|i| {
                    let (site, http, text) = (&site, &http, &text);
                    scope.spawn(move || {
                        let change = format!("racer{i}");
                        site.put_settings(http, text, base, &change).status
                    })
                })
                .collect();
            operators
                .into_iter()
                .map(|r| {
                    r.join().expect("the thread of the operator succeeds")
                })
                .collect()
        });
        let accepted = results.iter().filter(|s| **s == 200).count();
        let conflicts = results.iter().filter(|s| **s == 409).count();
        assert_eq!((accepted, conflicts), (1, 5), "{results:?}");
        for node in site.entries.iter().chain(&site.agents) {
            wait_for("the revision to be adopted", ADOPTION_LIMIT, || {
                (site.revision(&node.http) == base + 1).then_some(())
            });
        }
        // The answer of the store is lost after the write took effect. The
        // same change sent again must be reported as accepted.
        site.store_fault("lose=1");
        let answer = site.put_settings(&http, &text, base + 1, "lost");
        assert_eq!(answer.status, 200, "{}", answer.text);
        let again = site.put_settings(&http, &text, base + 1, "lost");
        assert_eq!(again.status, 200, "{}", again.text);
        assert_eq!(again.body["revision"], base + 2);
        // Stale reads of the store must not revert any process.
        for node in site.entries.iter().chain(&site.agents) {
            wait_for("the revision to be adopted", ADOPTION_LIMIT, || {
                (site.revision(&node.http) == base + 2).then_some(())
            });
        }
        site.store_fault("stale=1");
        std::thread::sleep(Duration::from_secs(3));
        let mut last_adopted: BTreeMap<String, u64> = BTreeMap::new();
        for event in site.events() {
            if event.name != "SettingsAdopted" {
                continue;
            }
            let fields = event.detail.split_whitespace();
            let mut found = fields.filter_map(|w| w.strip_prefix("revision="));
            let revision = found.next().and_then(|r| r.parse().ok());
            let revision = revision.expect("the event contains a revision");
            let before = last_adopted.insert(event.process.clone(), revision);
            assert!(before.is_none_or(|b| b < revision), "{}", event.process);
        }
        assert_eq!(last_adopted.len(), 5);
        assert!(
            last_adopted.values().all(|r| *r == base + 2),
            "{last_adopted:?}"
        );
    }
);

site_test!(
    an_entry_restarted_without_the_store_keeps_the_revision,
    { plan().entries(2) },
    |mut site| {
        let before = site.revision(&site.entries[0].http);
        assert!(before > 0);
        site.store_fault("down=1");
        site.entries[1].process.kill();
        // Without the store, the entry finds the other one by the key
        // `entries` of its settings file.
        let peer = site.entries[0].peer.clone();
        site.start_entry_with(1, &format!("entries = {peer}\n"))
            .expect("the entry starts");
        let http = site.entries[1].http.clone();
        wait_for(
            "the revision to be adopted",
            Duration::from_secs(10),
            || (site.revision(&http) == before).then_some(()),
        );
    }
);

site_test!(
    a_restarted_entry_refuses_no_workspace_before_it_knows_the_settings,
    plan(),
    |mut site| {
        site.store_fault("down=1");
        site.entries[0].process.kill();
        site.start_entry(0).expect("the entry starts");
        let http = site.entries[0].http.clone();
        let job = echo_job("a", 1, 0, "x");
        let answer = site.operator.submit(&http, &job);
        assert_eq!(answer.status, 503, "{}", answer.text);
        assert_eq!(answer.outcome(), "not_run", "{}", answer.text);
        assert_eq!(answer.body["reason"], "store_down");
        let answer = thread::scope(|scope| {
            let caller = scope.spawn(|| site.operator.submit(&http, &job));
            thread::sleep(Duration::from_millis(200));
            site.store_fault("down=0");
            caller.join().expect("the caller thread succeeds")
        });
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);

site_test!(
    an_entry_does_not_coordinate_before_it_knows_the_settings,
    plan(),
    |mut site| {
        site.store_fault("down=1");
        site.entries[0].process.kill();
        site.start_entry(0).expect("the entry starts");
        // Without a store and other entries, it would take a provisional term.
        thread::sleep(ELECTION_TIMEOUT + Duration::from_secs(2));
        assert_eq!(site.coordinator(), None);
        site.store_fault("down=0");
        site.wait_for_workers(2);
    }
);

site_test!(
    a_guarantee_that_exceeds_the_capacity_is_refused,
    plan(),
    |site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let http = &site.entries[coordinator].http;
        let base = site.revision(http);
        let text = "[workspace/a]\nguarantee = 2x8 rack, 1x4\n";
        let answer = site.put_settings(http, text, base, "greedy");
        assert_eq!(answer.status, 400, "{}", answer.text);
        assert!(
            answer.text.contains("guarantee 1x4: 4 accelerators short"),
            "{}",
            answer.text
        );
        assert_eq!(site.revision(http), base);
    }
);
