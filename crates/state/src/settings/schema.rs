//! The schema of the settings tree: the kind, permitted levels, default and
//! help text of each key. Validation and the operators' reference are both
//! derived from these tables.

use super::value;

/// A level of the tree at which a key may be set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// The section `[defaults]`.
    Root,
    /// A section `[workspace/NAME]`.
    Workspace,
    /// A section `[workspace/NAME/service/NAME]`.
    Service,
}

/// The format of a value.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// A whole number between both bounds, inclusive.
    Number(u32, u32),
    /// A duration with a unit, between both bounds in milliseconds,
    /// inclusive.
    Duration(u64, u64),
    /// A list of shapes such as `2x8 rack, 4x1`.
    Shapes,
    /// A SHA-256 digest as 64 hexadecimal digits.
    Digest,
    /// One of these values.
    OneOf(&'static [&'static str]),
    /// A name, which must not be empty.
    Name,
    /// A list of names separated by commas, which may be empty.
    Names,
}

impl ValueKind {
    /// Validates a value.
    ///
    /// # Errors
    ///
    /// Returns a message that says what to write instead.
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
            Self::Names => Ok(()),
        }
    }
}

/// The declaration of a key.
#[derive(Debug)]
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The format of its value.
    pub kind: ValueKind,
    /// The levels at which the key may be set. Empty for the keys of a token,
    /// which do not inherit.
    pub levels: &'static [Level],
    /// The value if no level sets one.
    pub default: &'static str,
    /// A short description for the operators' reference.
    pub help: &'static str,
}

const ALL_LEVELS: &[Level] = &[Level::Root, Level::Workspace, Level::Service];
const ROOT_AND_WORKSPACE: &[Level] = &[Level::Root, Level::Workspace];
const HOUR_MS: u64 = 3_600_000;

/// The keys of the sections `[defaults]`, `[workspace/NAME]` and
/// `[workspace/NAME/service/NAME]`.
pub const KEYS: &[Key] = &[
    Key {
        name: "weight",
        kind: ValueKind::Number(1, 1000),
        levels: ROOT_AND_WORKSPACE,
        default: "1",
        help: "share of the capacity outside guarantees, relative to other workspaces",
    },
    Key {
        name: "guarantee",
        kind: ValueKind::Shapes,
        levels: &[Level::Workspace],
        default: "",
        help: "shapes that the workspace can always claim, such as `2x8 rack, 4x1`",
    },
    Key {
        name: "queue_limit",
        kind: ValueKind::Number(1, 100_000),
        levels: ROOT_AND_WORKSPACE,
        default: "1000",
        help: "maximum number of waiting jobs of a workspace",
    },
    Key {
        name: "queue_wait",
        kind: ValueKind::Duration(100, 720 * HOUR_MS),
        levels: ALL_LEVELS,
        default: "24h",
        help: "maximum time that a job may wait before it starts",
    },
    Key {
        name: "call_wait",
        kind: ValueKind::Duration(0, 60_000),
        levels: ALL_LEVELS,
        default: "30s",
        help: "maximum time that a submission may keep its connection open",
    },
    Key {
        name: "attempts",
        kind: ValueKind::Number(1, 10),
        levels: ALL_LEVELS,
        default: "3",
        help: "maximum number of attempts of a repeatable job",
    },
    Key {
        name: "reclaim_window",
        kind: ValueKind::Duration(1000, HOUR_MS),
        levels: ALL_LEVELS,
        default: "10s",
        help: "maximum time that returning borrowed capacity may take",
    },
    Key {
        name: "long_after",
        kind: ValueKind::Duration(100, 720 * HOUR_MS),
        levels: ALL_LEVELS,
        default: "60s",
        help: "jobs whose learned run time exceeds this count as long",
    },
    Key {
        name: "long_share",
        kind: ValueKind::Number(1, 100),
        levels: &[Level::Root],
        default: "75",
        help: "percentage of all accelerators that long jobs may occupy",
    },
    Key {
        name: "drained_domains",
        kind: ValueKind::Names,
        levels: &[Level::Root],
        default: "",
        help: "failure domains on whose workers nothing more is started, such as `domain-1, domain-2`",
    },
];

/// The keys of a section `[token/NAME]`.
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
        help: "workspace that a caller's token belongs to",
    },
];

/// Returns the reference of all keys as a Markdown table.
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
