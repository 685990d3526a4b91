//! Tests the whole path of a job, from a caller through an entry and agents
//! to the upstreams and back.

use figrill_standin::{caller::Caller, site::OPERATOR_TOKEN};
use serde_json::json;

use crate::util::plan;

site_test!(a_gang_over_two_agents_answers_intact, plan(), |site| {
    let caller = Caller::new(OPERATOR_TOKEN);
    let job = json!({
        "workspace": "a",
        "service": "echo",
        "shape": { "parts": 2, "accelerators": 5 },
        "inputs": [
            { "sleep_ms": 20, "echo": { "rank": 0, "text": "pirmā  daļa" } },
            { "sleep_ms": 10, "echo": [1, 2.50, "\u{1F9FD}"] },
        ],
    });
    let answer = caller.run(&site.entry_addresses(), &job);
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
    let parts = "\"parts\":[{\"rank\":0,\"text\":\"pirmā  daļa\"},\
                 [1,2.5,\"\u{1F9FD}\"]]";
    assert!(answer.text.contains(parts), "{}", answer.text);
    // Two parts of five accelerators do not fit one worker of eight, so that
    // each agent must have started one.
    let starts_by_worker: Vec<usize> = site
        .upstreams
        .iter()
        .map(|u| {
            let starts = site.operator.get(&u.http, "/starts");
            starts.body.as_array().map_or(0, Vec::len)
        })
        .collect();
    assert_eq!(starts_by_worker, [1, 1]);
});
