//! Tests of the fencing token with which an agent calls its upstream.

use figrill_coordination::fencing::AgentFence;
use figrill_state::batch::Incarnation;

fn incarnation(born_ms: u64) -> Incarnation {
    Incarnation {
        id: "upstream".to_owned(),
        born_ms,
    }
}

/// What an agent learns before it calls a further incarnation.
struct Case {
    name: &'static str,
    /// The messages of coordinators: the token, and the start of the
    /// registered incarnation and of the one that the message names.
    grants: Vec<(u64, Option<u64>, Option<u64>)>,
    /// The incarnations that the agent has registered, by their start, each
    /// after the grants.
    registered: Vec<u64>,
    /// The start of the incarnation that it calls then.
    called: u64,
    token: u64,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "the first incarnation",
            grants: vec![(7, None, None)],
            registered: vec![],
            called: 1,
            token: 7,
        },
        Case {
            name: "the same incarnation again",
            grants: vec![(7, None, None)],
            registered: vec![1],
            called: 1,
            token: 7,
        },
        Case {
            name: "the next incarnation under the same token",
            grants: vec![(7, None, None)],
            registered: vec![1],
            called: 2,
            token: 8,
        },
        Case {
            name: "one after the next",
            grants: vec![(7, None, None)],
            registered: vec![1, 2],
            called: 3,
            token: 9,
        },
        Case {
            name: "an incarnation that an earlier process has called",
            grants: vec![(7, None, Some(1))],
            registered: vec![],
            called: 1,
            token: 7,
        },
        Case {
            name: "the next one after that",
            grants: vec![(7, None, Some(1))],
            registered: vec![],
            called: 2,
            token: 8,
        },
        Case {
            name: "the next one after that, named late",
            grants: vec![(7, None, None), (7, None, Some(1))],
            registered: vec![],
            called: 2,
            token: 8,
        },
        Case {
            name: "a token with which no other incarnation was called",
            grants: vec![(7, None, Some(1)), (9, None, None)],
            registered: vec![],
            called: 2,
            token: 9,
        },
        Case {
            name: "a token that came while the former one was registered",
            grants: vec![(7, None, None), (9, Some(1), None)],
            registered: vec![],
            called: 2,
            token: 10,
        },
    ]
}

#[test]
fn an_agent_raises_the_token_for_a_further_incarnation_only() {
    for case in cases() {
        let mut fence = AgentFence::default();
        for (token, registered, named) in case.grants {
            let registered = registered.map(incarnation);
            let named = named.map(incarnation);
            fence.record_grant(token, registered.as_ref(), named.as_ref());
        }
        for born_ms in case.registered {
            let incarnation = incarnation(born_ms);
            let token = fence.required_for(&incarnation);
            fence.record_registration(&incarnation, token);
        }
        let token = fence.required_for(&incarnation(case.called));
        assert_eq!(token, case.token, "{}", case.name);
    }
}

// Guards against an incarnation that is registered with the token of calls for
// the former one, because a coordinator's message came while it was called.
#[test]
fn a_grant_during_the_call_of_a_candidate_raises_the_required_token() {
    let (former, next) = (incarnation(1), incarnation(2));
    let mut fence = AgentFence::default();
    fence.record_grant(7, None, None);
    fence.record_registration(&former, 7);
    assert_eq!(fence.required_for(&next), 8);
    fence.record_grant(20, Some(&former), None);
    assert_eq!(fence.required_for(&next), 21);
}
