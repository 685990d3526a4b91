//! Each key of the settings tree, declared once: its kind, where it may
//! stand, its default and its help. The reference for operators is made
//! from this table.

use super::value;

/// Where a key may stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// `[defaults]`.
    Root,
    /// `[workspace/NAME]`.
    Workspace,
    /// `[workspace/NAME/service/NAME]`.
    Service,
}

/// What a value must look like.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// A whole number inside both bounds.
    Number(u32, u32),
    /// A time with a unit, inside both bounds in milliseconds.
    Duration(u64, u64),
    /// Shapes such as `2x8 rack, 4x1`.
    Shapes,
    /// 64 hexadecimal digits.
    Digest,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A name.
    Name,
}

impl ValueKind {
    /// Checks a value.
    ///
    /// # Errors
    ///
    /// What is wrong, and what to write instead.
    pub fn check(&self, text: &str) -> Result<(), String> {
        match self {
            Self::Number(low, high) => {
                let n: u32 = text.parse().map_err(|_| {
                    format!("write a whole number from {low} to {high}")
                })?;
                if (*low..=*high).contains(&n) {
                    return Ok(());
                }
                Err(format!("write a whole number from {low} to {high}"))
            }
            Self::Duration(low, high) => {
                let time = value::duration(text)?;
                let ms = time.as_millis();
                if (u128::from(*low)..=u128::from(*high)).contains(&ms) {
                    return Ok(());
                }
                Err(format!("write a time from {low}ms to {high}ms"))
            }
            Self::Shapes => value::shapes(text).map(|_| ()),
            Self::Digest => {
                let hex = text.bytes().all(|b| b.is_ascii_hexdigit());
                if hex && text.len() == 64 {
                    return Ok(());
                }
                Err("write the token's SHA-256 as 64 hex digits; \
                     `figrill settings digest` makes it"
                    .to_owned())
            }
            Self::OneOf(words) => {
                if words.contains(&text) {
                    return Ok(());
                }
                Err(format!("write one of {}", words.join(", ")))
            }
            Self::Name => {
                if text.is_empty() {
                    return Err("write a name".to_owned());
                }
                Ok(())
            }
        }
    }
}

/// One key.
#[derive(Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What its value must look like.
    pub kind: ValueKind,
    /// Where it may stand.
    pub levels: &'static [Level],
    /// Its value where nothing sets it.
    pub default: &'static str,
    /// What it does.
    pub help: &'static str,
}

const ALL_LEVELS: &[Level] = &[Level::Root, Level::Workspace, Level::Service];
const ROOT_AND_WORKSPACE: &[Level] = &[Level::Root, Level::Workspace];
const HOUR_MS: u64 = 3_600_000;

/// The keys of `[defaults]`, workspaces and services.
pub const KEYS: &[Key] = &[
    Key {
        name: "weight",
        kind: ValueKind::Number(1, 1000),
        levels: ROOT_AND_WORKSPACE,
        default: "1",
        help: "share of the unpromised capacity against other workspaces",
    },
    Key {
        name: "guarantee",
        kind: ValueKind::Shapes,
        levels: &[Level::Workspace],
        default: "",
        help: "shapes that can always be claimed, such as `2x8 rack, 4x1`",
    },
    Key {
        name: "queue_limit",
        kind: ValueKind::Number(1, 100_000),
        levels: ROOT_AND_WORKSPACE,
        default: "1000",
        help: "the most jobs of a workspace that may wait",
    },
    Key {
        name: "queue_wait",
        kind: ValueKind::Duration(100, 720 * HOUR_MS),
        levels: ALL_LEVELS,
        default: "24h",
        help: "the longest that a job may wait before it starts",
    },
    Key {
        name: "call_wait",
        kind: ValueKind::Duration(0, 60_000),
        levels: ALL_LEVELS,
        default: "30s",
        help: "the longest that a submission may hold its connection",
    },
    Key {
        name: "attempts",
        kind: ValueKind::Number(1, 10),
        levels: ALL_LEVELS,
        default: "3",
        help: "the most attempts of a repeatable job",
    },
    Key {
        name: "reclaim_window",
        kind: ValueKind::Duration(1000, HOUR_MS),
        levels: ALL_LEVELS,
        default: "10s",
        help: "the longest that return of borrowed capacity may take",
    },
    Key {
        name: "long_after",
        kind: ValueKind::Duration(100, 720 * HOUR_MS),
        levels: ALL_LEVELS,
        default: "60s",
        help: "work whose learned run time is longer than this is long",
    },
    Key {
        name: "long_share",
        kind: ValueKind::Number(1, 100),
        levels: &[Level::Root],
        default: "75",
        help: "percent of all accelerators that long work may fill",
    },
];

/// The keys of `[token/NAME]`.
pub const TOKEN_KEYS: &[Key] = &[
    Key {
        name: "digest",
        kind: ValueKind::Digest,
        levels: &[],
        default: "",
        help: "SHA-256 of the token in hex",
    },
    Key {
        name: "role",
        kind: ValueKind::OneOf(&["caller", "operator"]),
        levels: &[],
        default: "caller",
        help: "what the bearer may do",
    },
    Key {
        name: "workspace",
        kind: ValueKind::Name,
        levels: &[],
        default: "",
        help: "the workspace of a caller's token",
    },
];

/// The reference of all keys as Markdown tables.
#[must_use]
pub fn reference() -> String {
    let mut out = String::from("| key | default | what it does |\n");
    out.push_str("| --- | --- | --- |\n");
    for key in KEYS.iter().chain(TOKEN_KEYS) {
        let default = if key.default.is_empty() {
            "–"
        } else {
            key.default
        };
        out.push_str("| `");
        out.push_str(key.name);
        out.push_str("` | ");
        out.push_str(default);
        out.push_str(" | ");
        out.push_str(key.help);
        out.push_str(" |\n");
    }
    out
}
