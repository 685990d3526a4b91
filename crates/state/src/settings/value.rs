//! Parsers of settings values: durations, numbers and shapes.

use std::time::Duration;

use crate::job::{Adjacency, MAX_PARTS, Shape};

/// Parses a whole number that has already been validated; 0 if it is invalid.
#[must_use]
pub fn number(text: &str) -> u32 {
    text.parse().unwrap_or_default()
}

/// Parses a duration that has already been validated; zero if it is invalid.
#[must_use]
pub fn duration_or_zero(text: &str) -> Duration {
    duration(text).unwrap_or_default()
}

/// Parses a duration such as `500ms`, `30s`, `5m` or `24h`.
///
/// # Errors
///
/// Returns a message that says what to write instead.
pub fn duration(text: &str) -> Result<Duration, String> {
    let split = text.find(|c: char| !c.is_ascii_digit());
    let (digits, unit) = text.split_at(split.unwrap_or(text.len()));
    let unit_ms = match unit.trim() {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        "" => {
            return Err(format!("a time needs a unit: {text}s or {text}ms?"));
        }
        other => {
            return Err(format!("no unit {other}: use ms, s, m or h"));
        }
    };
    let count: u64 = digits.parse().map_err(|_| {
        "write a time such as 500ms, 30s, 5m or 24h".to_owned()
    })?;
    let ms = count.checked_mul(unit_ms);
    ms.map(Duration::from_millis)
        .ok_or_else(|| "too long".to_owned())
}

/// Parses a list of names such as `domain-1, domain-2`.
pub fn names(text: &str) -> impl Iterator<Item = &str> {
    let items = text.split(',').map(str::trim);
    items.filter(|item| !item.is_empty())
}

/// Parses a list of shapes such as `2x8 rack, 4x1`. Each shape gives the
/// number of parts, the accelerators of each part and optionally the
/// adjacency.
///
/// # Errors
///
/// Returns a message that says what to write instead.
pub fn shapes(text: &str) -> Result<Vec<Shape>, String> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(shape)
        .collect()
}

/// Parses one shape such as `2x8 rack`.
fn shape(text: &str) -> Result<Shape, String> {
    let mut fields = text.split_whitespace();
    let size = fields.next().unwrap_or_default();
    let adjacency = fields.next().unwrap_or("none");
    let usage =
        || format!("{text} is no shape: write PARTSxACCELERATORS [ADJACENCY]");
    let (parts, accelerators) = size.split_once('x').ok_or_else(usage)?;
    let parts: u32 = parts.parse().map_err(|_| usage())?;
    let accelerators: u32 = accelerators.parse().map_err(|_| usage())?;
    if parts == 0 || parts > MAX_PARTS || accelerators == 0 {
        return Err(format!(
            "{text}: a shape has 1 to {MAX_PARTS} parts of 1 accelerator or \
             more"
        ));
    }
    let found = Adjacency::NAMES.iter().find(|(n, _)| *n == adjacency);
    let Some((_, adjacency)) = found else {
        let names: Vec<&str> =
            Adjacency::NAMES.iter().map(|(n, _)| *n).collect();
        return Err(format!("no adjacency: use one of {}", names.join(", ")));
    };
    if fields.next().is_some() {
        return Err(usage());
    }
    Ok(Shape {
        parts,
        accelerators,
        memory_mib: 0,
        adjacency: *adjacency,
    })
}
