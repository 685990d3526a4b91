//! Tests of when an entry campaigns to be the coordinator.

use std::time::Duration;

use figrill_coordination::campaign::deferral;

#[test]
fn smaller_vms_campaign_later() {
    struct Case {
        share: f64,
        at_least_ms: u64,
        at_most_ms: u64,
    }
    let case = |share, at_least_ms, at_most_ms| Case {
        share,
        at_least_ms,
        at_most_ms,
    };
    let cases = [
        case(4.0, 0, 0),
        case(0.5, 0, 0),
        case(0.25, 0, 0),
        case(0.24, 200, 220),
        case(0.12, 250, 350),
        case(0.0, 400, 400),
    ];
    for case in cases {
        let deferral = deferral(case.share);
        let range = Duration::from_millis(case.at_least_ms)
            ..=Duration::from_millis(case.at_most_ms);
        assert!(range.contains(&deferral), "{}: {deferral:?}", case.share);
    }
}
