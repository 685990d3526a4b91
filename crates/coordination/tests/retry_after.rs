//! Tests of when refused callers are told to return.

use std::{collections::BTreeMap, time::Duration};

use figrill_coordination::{
    outages::Outages,
    retry_after::{
        COVERED_OUTAGE, MAX_DETECTION_DELAY, Refusal, RefusedSubmission,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// How often a caller repeats a refused submission.
const MAX_RETRIES: usize = 4;

const TIME_LIMIT: Duration = Duration::from_secs(3);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn refused(job: u64, outage: Option<Duration>) -> RefusedSubmission<'static> {
    RefusedSubmission {
        refusal: Refusal::StoreUnavailable,
        outage,
        past_outages: &[],
        time_limit: TIME_LIMIT,
        job,
    }
}

/// Guards against delays out of the range for each kind of refusal, and
/// against delays that are the same for all jobs.
#[test]
fn delays_depend_on_the_refusal_and_the_outage() {
    struct Case {
        name: &'static str,
        refusal: Refusal,
        outage: Option<u64>,
        past: &'static [u64],
        time_limit: u64,
        delays: [u32; 2],
    }
    let case = |name, outage, past, delays| Case {
        name,
        refusal: Refusal::StoreUnavailable,
        outage,
        past,
        time_limit: 3000,
        delays,
    };
    let plain = |name, refusal| Case {
        refusal,
        ..case(name, None, &[], [1, 2])
    };
    let cases = [
        plain("no configuration", Refusal::NoConfiguration),
        plain("not registered", Refusal::NotRegistered),
        plain("one write failed", Refusal::WriteFailed),
        Case {
            outage: Some(9000),
            ..plain("no configuration in an outage", Refusal::NoConfiguration)
        },
        Case {
            refusal: Refusal::WriteFailed,
            ..case("a write failed in an outage", Some(2300), &[], [3, 4])
        },
        case("an outage of unknown length", None, &[], [1, 3]),
        case("an outage begins", Some(0), &[], [1, 3]),
        case("1 s", Some(1000), &[], [1, 3]),
        case("2.3 s", Some(2300), &[], [3, 4]),
        case("5.3 s", Some(5300), &[], [3, 5]),
        case("8.5 s", Some(8500), &[], [2, 4]),
        case("short outages before", Some(1000), &[2000; 3], [1, 3]),
        case("longer outages before", Some(0), &[1200; 3], [1, 3]),
        case("as long as the delay", Some(0), &[9000; 3], [2, 4]),
        case("past outages were shorter", Some(3000), &[2000], [2, 4]),
        case("late in an outage", Some(5300), &[9900], [4, 6]),
        case("its end is near", Some(9300), &[500, 9500], [1, 3]),
        case("longer than covered", Some(30_000), &[], [4, 5]),
        Case {
            time_limit: 6000,
            ..case("a patient caller", Some(30_000), &[], [6, 7])
        },
        case("past outages were longer", Some(30_000), &[60_000], [4, 5]),
        Case {
            time_limit: 100,
            ..case("an impatient caller", Some(0), &[], [1, 3])
        },
    ];
    for case in cases {
        let past: Vec<_> = case.past.iter().copied().map(ms).collect();
        let mut delays: Vec<u32> = (0..400)
            .map(|job| {
                let request = RefusedSubmission {
                    refusal: case.refusal,
                    outage: case.outage.map(ms),
                    past_outages: &past,
                    time_limit: ms(case.time_limit),
                    job,
                };
                request.retry_after_s()
            })
            .collect();
        delays.sort_unstable();
        let range = [delays[0], delays[399]];
        assert_eq!(range, case.delays, "{}", case.name);
        // At most four fifths of the callers get the same delay.
        assert!(delays[0] < delays[320], "{}", case.name);
        assert!(delays[80] < delays[399], "{}", case.name);
    }
}

/// Guards against a mean that the rounding to whole seconds shifts.
#[test]
fn rounding_keeps_the_mean() {
    let outage = Some(ms(10_300));
    let total: u32 = (0..4000)
        .map(|job| refused(job, outage).retry_after_s())
        .sum();
    let mean = f64::from(total) / 4000.0;
    assert!((mean - 3.56).abs() < 0.05, "{mean}");
}

/// Guards against a caller that uses up its retries before the end of the
/// longest outage, wherever its retries are sent.
#[test]
fn four_retries_cover_the_longest_outage() {
    struct Case {
        name: &'static str,
        /// The range of the delays with which entries notice the outage.
        lags_ms: [u64; 2],
        /// How long after it noticed the outage an entry refuses at once.
        refuses_after_ms: u64,
    }
    let cases = [
        Case {
            name: "the store refuses calls",
            lags_ms: [0, 800],
            refuses_after_ms: 0,
        },
        Case {
            name: "the store does not answer calls",
            lags_ms: [850, 1650],
            refuses_after_ms: 1200,
        },
    ];
    let mut rng = StdRng::seed_from_u64(1);
    for case in cases {
        let [shortest, longest] = case.lags_ms.map(ms);
        assert_eq!(longest, shortest + MAX_DETECTION_DELAY);
        for job in 0..20_000 {
            let first = shortest + ms(case.refuses_after_ms);
            let mut now = rng.random_range(first..COVERED_OUTAGE);
            for _ in 0..MAX_RETRIES {
                // Each entry has noticed the outage at another time.
                let lag = rng.random_range(shortest..=longest);
                let outage = Some(now.saturating_sub(lag));
                let delay = refused(job, outage).retry_after_s();
                now += Duration::from_secs(delay.into());
            }
            let covered = now >= COVERED_OUTAGE;
            assert!(covered, "{}: job {job}: {now:?}", case.name);
        }
    }
}

#[test]
fn outages_are_measured_from_the_first_lost_read_to_the_next_answer() {
    let mut outages = Outages::new();
    outages.record(ms(100), true);
    assert_eq!(outages.elapsed(ms(500)), None);
    outages.record(ms(1000), false);
    outages.record(ms(2000), false);
    assert_eq!(outages.elapsed(ms(2500)), Some(ms(1500)));
    outages.record(ms(3000), true);
    outages.record(ms(3500), true);
    assert_eq!(outages.elapsed(ms(3600)), None);
    let lengths: Vec<_> = outages.lengths().collect();
    assert_eq!(lengths, [ms(2000)]);
    // Guards against a list that grows with the age of the process.
    for i in 10..30 {
        outages.record(ms(i * 1000), false);
        outages.record(ms(i * 1000 + i), true);
    }
    let lengths: Vec<_> = outages.lengths().collect();
    let expected: Vec<_> = (22..30).map(ms).collect();
    assert_eq!(lengths, expected);
}

/// How a deployment tells callers when to return.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// After three seconds.
    Constant,
    /// By the decision, without past outages.
    New,
    /// By the decision, after three outages of the same length.
    Experienced,
}

/// The outcome of callers in outages.
#[derive(Default)]
struct Outcome {
    refused: usize,
    delays: Vec<Duration>,
    /// The largest number of callers that return in one second.
    peak: usize,
}

/// Returns the outcome of 200 callers whose first submissions are spread over
/// an outage. Refusals take no time.
fn outcome(policy: Policy, outage: Duration, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let past = match policy {
        Policy::Experienced => vec![outage; 3],
        _ => Vec::new(),
    };
    let mut returns: BTreeMap<u64, usize> = BTreeMap::new();
    let mut outcome = Outcome::default();
    for _ in 0..200 {
        let job = rng.random();
        let mut now = rng.random_range(Duration::ZERO..outage);
        let mut retries = 0;
        while now < outage && retries < MAX_RETRIES {
            let lag = rng.random_range(Duration::ZERO..=MAX_DETECTION_DELAY);
            let request = RefusedSubmission {
                past_outages: &past,
                ..refused(job, Some(now.saturating_sub(lag)))
            };
            let delay_s = match policy {
                Policy::Constant => 3,
                _ => request.retry_after_s(),
            };
            now += Duration::from_secs(delay_s.into());
            retries += 1;
            *returns.entry(now.as_secs()).or_default() += 1;
        }
        match now.checked_sub(outage) {
            Some(delay) => outcome.delays.push(delay),
            None => outcome.refused += 1,
        }
    }
    outcome.peak = returns.into_values().max().unwrap_or_default();
    outcome
}

/// Guards against a decision under which callers fare worse than under the
/// constant: fewer of them are served, later, or more of them return at once.
#[test]
fn refused_callers_are_served_soon_after_an_outage() {
    const SEEDS: u32 = 50;
    struct Case {
        outage_s: u64,
        policy: Policy,
        max_mean_delay: Duration,
        max_mean_peak: usize,
    }
    let case = |outage_s, policy, delay, max_mean_peak| Case {
        outage_s,
        policy,
        max_mean_delay: ms(delay),
        max_mean_peak,
    };
    let cases = [
        case(2, Policy::Constant, 2050, 110),
        case(2, Policy::New, 1450, 95),
        case(2, Policy::Experienced, 1400, 95),
        case(5, Policy::Constant, 1800, 90),
        case(5, Policy::New, 1600, 90),
        case(5, Policy::Experienced, 1550, 95),
        case(10, Policy::Constant, 1700, 85),
        case(10, Policy::New, 1450, 95),
        case(10, Policy::Experienced, 1350, 95),
    ];
    for case in cases {
        let outage = Duration::from_secs(case.outage_s);
        let mut all = Outcome::default();
        for seed in 0..SEEDS {
            let one = outcome(case.policy, outage, seed.into());
            all.refused += one.refused;
            all.delays.extend(one.delays);
            all.peak += one.peak;
        }
        let served = u32::try_from(all.delays.len()).expect("it is small");
        let mean_delay = all.delays.iter().sum::<Duration>() / served;
        let mean_peak = all.peak / SEEDS as usize;
        println!(
            "{} s, {:?}: {} refused for good, {} ms late, at most {mean_peak} \
             in one second",
            case.outage_s,
            case.policy,
            all.refused,
            mean_delay.as_millis(),
        );
        assert_eq!(all.refused, 0);
        assert!(mean_delay <= case.max_mean_delay, "{mean_delay:?}");
        assert!(mean_peak <= case.max_mean_peak, "{mean_peak}");
    }
}
