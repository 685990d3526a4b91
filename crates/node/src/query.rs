//! Reads values from the query of a URL. Values are not percent-decoded.

use std::time::Duration;

/// Returns the first value of a name in a query such as `a=1&b=2`.
pub(crate) fn value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns a value as an integer; `None` if it is missing or invalid.
pub(crate) fn number(query: &str, name: &str) -> Option<u64> {
    value(query, name)?.parse().ok()
}

/// Returns a value in seconds, limited to `max`; `None` if it is missing or
/// invalid.
pub(crate) fn seconds(
    query: &str,
    name: &str,
    max: Duration,
) -> Option<Duration> {
    let seconds: f64 = value(query, name)?.parse().ok()?;
    let wait = Duration::try_from_secs_f64(seconds).ok()?;
    Some(wait.min(max))
}
