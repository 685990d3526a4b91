//! Settings: checked, inherited, in force everywhere, never reverting.

use std::{collections::BTreeMap, time::Duration};

use figrill_standin::process::wait_for;
use figrill_state::settings::Tree;

use crate::util::plan;

/// In force everywhere within this.
const IN_FORCE: Duration = Duration::from_secs(4);

#[test]
fn mistakes_name_file_line_and_nearest_name() {
    struct Case {
        text: &'static str,
        says: &'static str,
    }
    let cases = [
        Case {
            text: "[workspace/a]\nwieght = 2\n",
            says: "x.ini:2: no key wieght in [workspace/a]; \
                   did you mean weight?",
        },
        Case {
            text: "[workspac/a]\n",
            says: "x.ini:1: [workspac/a]",
        },
        Case {
            text: "[defaults]\nqueue_wait = 5\n",
            says: "x.ini:2: queue_wait = 5: a time needs a unit",
        },
        Case {
            text: "[defaults]\nqueue_wait = 5 days\n",
            says: "no unit days",
        },
        Case {
            text: "[workspace/a]\nguarantee = 2y8\n",
            says: "x.ini:2: guarantee = 2y8",
        },
        Case {
            text: "[workspace/a]\nweight = 0\n",
            says: "a whole number from 1 to 1000",
        },
        Case {
            text: "[workspace/a]\n\n[workspace/a]\n",
            says: "x.ini:3: section [workspace/a] stands twice",
        },
        Case {
            text: "[workspace/a]\nweight = 1\nweight = 2\n",
            says: "x.ini:3: key weight stands twice",
        },
        Case {
            text: "[workspace/alpha]\n[workspace/alpa/service/x]\n",
            says: "x.ini:2: no section [workspace/alpa]; \
                   did you mean alpha?",
        },
        Case {
            text: "[token/t]\ndigest = abc\n",
            says: "64 hex digits",
        },
        Case {
            text: "[workspace/a]\nlong_share = 50\n",
            says: "can't be set at this level",
        },
    ];
    for case in cases {
        let problems = Tree::parse(case.text, "x.ini");
        let text = problems.expect_err(case.text).to_string();
        assert!(text.contains(case.says), "{text}\nlacks {}", case.says);
    }
}

#[test]
fn a_service_inherits_and_overrides_only_what_differs() {
    let text = "[defaults]\nattempts = 5\ncall_wait = 2s\n\
                [workspace/a]\ncall_wait = 3s\n\
                [workspace/a/service/x]\nlong_after = 9s\n";
    let tree = Tree::parse(text, "x.ini").expect("good settings");
    let x = tree.policy("a", "x").expect("a policy");
    assert_eq!((x.attempts, x.call_wait.as_secs()), (5, 3));
    assert_eq!(x.long_after.as_secs(), 9);
    let y = tree.policy("a", "y").expect("a policy");
    assert_eq!(y.long_after.as_secs(), 60);
    let rows = tree.resolved_values("workspace/a/service/x").expect("rows");
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
    racing_operators_are_told_and_revisions_only_rise,
    { plan().entries(2).agents(3) },
    |site| {
        let at = site.coordinator().expect("a coordinator");
        let http = site.entries[at].http.clone();
        let base = site.revision(&http);
        let token = site.operator.get(&http, "/v1/settings").body["text"]
            .as_str()
            .expect("text")
            .to_owned();
        let results: Vec<u16> = std::thread::scope(|scope| {
            let racers: Vec<_> = (0..6)
                .map(|i| {
                    let (site, http, token) = (&site, &http, &token);
                    scope.spawn(move || {
                        let change = format!("racer{i}");
                        site.put_settings(http, token, base, &change).status
                    })
                })
                .collect();
            racers
                .into_iter()
                .map(|r| r.join().expect("a racer"))
                .collect()
        });
        let accepted = results.iter().filter(|s| **s == 200).count();
        let raced = results.iter().filter(|s| **s == 409).count();
        assert_eq!((accepted, raced), (1, 5), "{results:?}");
        for node in site.entries.iter().chain(&site.agents) {
            wait_for("the revision", IN_FORCE, || {
                (site.revision(&node.http) == base + 1).then_some(())
            });
        }
        // A lost answer: the write took effect, and the same change sent again
        // finds itself accepted.
        site.store_fault("lose=1");
        let answer = site.put_settings(&http, &token, base + 1, "lost");
        assert_eq!(answer.status, 200, "{}", answer.text);
        let again = site.put_settings(&http, &token, base + 1, "lost");
        assert_eq!(again.status, 200, "{}", again.text);
        assert_eq!(again.body["revision"], base + 2);
        // A store that answers with an old value changes nothing.
        for node in site.entries.iter().chain(&site.agents) {
            wait_for("the revision", IN_FORCE, || {
                (site.revision(&node.http) == base + 2).then_some(())
            });
        }
        site.store_fault("stale=1");
        std::thread::sleep(Duration::from_secs(3));
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for event in site.events() {
            if event.name != "SettingsAdopted" {
                continue;
            }
            let words = event.detail.split_whitespace();
            let mut found = words.filter_map(|w| w.strip_prefix("revision="));
            let revision = found.next().and_then(|r| r.parse().ok());
            let revision = revision.expect("a revision");
            let before = last.insert(event.process.clone(), revision);
            assert!(before.is_none_or(|b| b < revision), "{}", event.process);
        }
        assert_eq!(last.len(), 5);
        assert!(last.values().all(|r| *r == base + 2), "{last:?}");
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
        // Without the store, its settings name the other entry.
        let peer = site.entries[0].peer.clone();
        site.start_entry_with(1, &format!("entries = {peer}\n"))
            .expect("it");
        let http = site.entries[1].http.clone();
        wait_for("the revision", Duration::from_secs(10), || {
            (site.revision(&http) == before).then_some(())
        });
    }
);

site_test!(
    a_guarantee_that_cannot_be_honoured_is_refused,
    plan(),
    |site| {
        let at = site.coordinator().expect("a coordinator");
        let http = &site.entries[at].http;
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
