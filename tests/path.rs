//! The whole path: a caller, an entry, agents, upstreams and back.

use figrill_standin::{caller::Caller, site::OPERATOR_TOKEN};
use serde_json::json;

use crate::util::plan;

site_test!(gang_over_two_agents_answers_byte_for_byte, plan(), |site| {
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
    let answer = caller.run(&site.http(), &job);
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
    let parts = "\"parts\":[{\"rank\":0,\"text\":\"pirmā  daļa\"},\
                 [1,2.5,\"\u{1F9FD}\"]]";
    assert!(answer.text.contains(parts), "{}", answer.text);
    // Two parts of five accelerators do not fit one worker of eight.
    let workers: Vec<usize> = site
        .upstreams
        .iter()
        .map(|u| {
            let starts = site.operator.get(&u.http, "/starts");
            starts.body.as_array().map_or(0, Vec::len)
        })
        .collect();
    assert_eq!(workers, [1, 1]);
});
