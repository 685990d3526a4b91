//! The query of a request.

use std::time::Duration;

/// The value of a name in a query such as `a=1&b=2`.
pub(crate) fn value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A number in a query.
pub(crate) fn number(query: &str, name: &str) -> Option<u64> {
    value(query, name)?.parse().ok()
}

/// Seconds in a query, bounded by `most`.
pub(crate) fn seconds(
    query: &str,
    name: &str,
    most: Duration,
) -> Option<Duration> {
    let seconds: f64 = value(query, name)?.parse().ok()?;
    let wait = Duration::try_from_secs_f64(seconds).ok()?;
    Some(wait.min(most))
}
