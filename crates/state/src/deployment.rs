//! The settings file of a process that runs on a platform, with the sections
//! `[process]`, `[platform]`, `[limits]` (see [`limits`]) and `[features]` (see
//! [`features`]). On such a platform, all accepted jobs and their progress are
//! recorded in the platform's store.

use crate::{
    features::{self, Features},
    ini_file::{self, Entry, Problem, Problems, nearest},
    limits::{self, Limits},
};

/// A key of the file.
#[derive(Debug)]
pub struct Key {
    /// The section that the key belongs to.
    pub section: &'static str,
    /// The key's name.
    pub name: &'static str,
    /// The default value; `None` if the key must be set.
    pub default: Option<&'static str>,
    /// Whether the value must be an IP address and a port. It may be empty if
    /// that is the default.
    pub is_address: bool,
    /// A short description for operators.
    pub help: &'static str,
}

const fn key(
    section: &'static str,
    name: &'static str,
    default: Option<&'static str>,
    is_address: bool,
    help: &'static str,
) -> Key {
    Key {
        section,
        name,
        default,
        is_address,
        help,
    }
}

/// All keys of the sections `[process]` and `[platform]`.
pub const KEYS: &[Key] = &[
    key(
        "process",
        "name",
        None,
        false,
        "name of the process, unique in the system",
    ),
    key(
        "process",
        "peer",
        None,
        true,
        "address that other figrill processes connect to",
    ),
    key(
        "process",
        "advertise",
        Some(""),
        true,
        "address advertised to other processes, if not `peer`",
    ),
    key(
        "process",
        "metrics",
        Some(""),
        true,
        "address that serves metrics; not served if empty",
    ),
    key(
        "process",
        "log_level",
        Some("info"),
        false,
        "off, error, warn, info or debug",
    ),
    key(
        "platform",
        "store",
        None,
        true,
        "address of the platform's store",
    ),
    key(
        "platform",
        "callers",
        Some(""),
        true,
        "entry: address for callers",
    ),
    key(
        "platform",
        "readiness",
        Some(""),
        true,
        "entry: address for the load balancer's health checks",
    ),
    key(
        "platform",
        "upstream",
        Some(""),
        true,
        "agent: address at which its upstream registers",
    ),
];

/// The settings of one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The process's name.
    pub name: String,
    /// The address that other figrill processes connect to.
    pub peer: String,
    /// The address that is advertised to other processes; `peer` unless the
    /// file sets another.
    pub advertise: String,
    /// The address that serves metrics; empty if they are not served.
    pub metrics: String,
    /// The log level: off, error, warn, info or debug.
    pub log_level: String,
    /// The address of the platform's store.
    pub store: String,
    /// The address for callers; empty for an agent.
    pub callers: String,
    /// The address for the load balancer's health checks; empty for an agent.
    pub readiness: String,
    /// The address at which the upstream registers; empty for an entry.
    pub upstream: String,
    /// The time limits of the deployment.
    pub limits: Limits,
    /// The features that the deployment switches on.
    pub features: Features,
    /// The optional settings that count as absent, because the platform has
    /// not filled in their placeholders.
    pub unfilled: Vec<Problem>,
}

/// Returns whether the text of a settings file has a `[platform]` section,
/// which only this kind of file has.
#[must_use]
pub fn is_deployment(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[platform]")
}

impl Deployment {
    /// Parses the text of a settings file. `file` is the file name to report
    /// in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems with their lines.
    pub fn parse(text: &str, file: &str) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let mut found: Vec<(&'static Key, String)> = Vec::new();
        let mut limits = Limits::default();
        let mut features = Features::default();
        let mut unfilled = Vec::new();
        for section in ini_file::parse(text, file)? {
            for entry in &section.entries {
                if is_placeholder(&entry.value)
                    && is_optional(&section.path, &entry.key)
                {
                    let text = format!(
                        "{}: the placeholder {} was not filled in, so the \
                         setting counts as absent",
                        entry.key, entry.value
                    );
                    unfilled.push(Problem {
                        file: file.to_owned(),
                        line: entry.line,
                        text,
                    });
                    continue;
                }
                let result = match section.path.as_str() {
                    limits::SECTION => set_limit(&mut limits, entry),
                    features::SECTION => set_feature(&mut features, entry),
                    path => check_entry(path, entry)
                        .map(|key| found.push((key, entry.value.clone()))),
                };
                if let Err(text) = result {
                    problems.push(Problem {
                        file: file.to_owned(),
                        line: entry.line,
                        text,
                    });
                }
            }
        }
        if let Err(text) = limits.check() {
            let file = file.to_owned();
            problems.push(Problem {
                file,
                line: 0,
                text,
            });
        }
        let mut value_of = |name: &str| -> String {
            let key = KEYS.iter().find(|k| k.name == name);
            let written = found.iter().rev().find(|(k, _)| k.name == name);
            let default = key.and_then(|k| k.default);
            let value = written.map(|(_, v)| v.clone());
            value
                .or_else(|| default.map(str::to_owned))
                .unwrap_or_else(|| {
                    problems.push(Problem {
                        file: file.to_owned(),
                        line: 0,
                        text: format!(
                            "[{}] needs {name}",
                            key.map_or("", |k| k.section)
                        ),
                    });
                    String::new()
                })
        };
        let peer = value_of("peer");
        let advertise = Some(value_of("advertise")).filter(|a| !a.is_empty());
        let deployment = Self {
            name: value_of("name"),
            advertise: advertise.unwrap_or_else(|| peer.clone()),
            peer,
            metrics: value_of("metrics"),
            log_level: value_of("log_level"),
            store: value_of("store"),
            callers: value_of("callers"),
            readiness: value_of("readiness"),
            upstream: value_of("upstream"),
            limits,
            features,
            unfilled,
        };
        if problems.is_empty() {
            Ok(deployment)
        } else {
            Err(problems.into())
        }
    }
}

/// Returns whether a value is a placeholder of a template that was not filled
/// in. A platform may know fewer names than the template does.
fn is_placeholder(value: &str) -> bool {
    value.starts_with("{{") && value.ends_with("}}")
}

/// Returns whether a setting is known and may be absent.
fn is_optional(section: &str, name: &str) -> bool {
    match section {
        limits::SECTION => limits::names().any(|n| n == name),
        features::SECTION => features::names().any(|n| n == name),
        _ => KEYS
            .iter()
            .find(|k| k.section == section && k.name == name)
            .is_some_and(|k| k.default.is_some()),
    }
}

/// Sets a limit from its entry.
///
/// # Errors
///
/// Returns a message that says what is wrong.
fn set_limit(limits: &mut Limits, entry: &Entry) -> Result<(), String> {
    limits
        .set(&entry.key, &entry.value)
        .map_err(|text| with_hint(text, entry, limits::names()))
}

/// Switches a feature on or off from its entry.
///
/// # Errors
///
/// Returns a message that says what is wrong.
fn set_feature(features: &mut Features, entry: &Entry) -> Result<(), String> {
    features
        .set(&entry.key, &entry.value)
        .map_err(|text| with_hint(text, entry, features::names()))
}

/// Adds the nearest of the known names to the message about an entry whose name
/// is not one of them.
fn with_hint(
    text: String,
    entry: &Entry,
    names: impl Iterator<Item = &'static str>,
) -> String {
    let names: Vec<_> = names.collect();
    if names.contains(&entry.key.as_str()) {
        return text;
    }
    match nearest(&entry.key, names) {
        Some(name) => format!("{text}; did you mean {name}?"),
        None => text,
    }
}

/// Checks an entry and returns its declaration.
///
/// # Errors
///
/// Returns a message that says what is wrong.
fn check_entry(section: &str, entry: &Entry) -> Result<&'static Key, String> {
    let found = KEYS
        .iter()
        .find(|k| k.section == section && k.name == entry.key);
    let Some(key) = found else {
        let names = KEYS.iter().map(|k| k.name);
        let hint = nearest(&entry.key, names)
            .map_or(String::new(), |n| format!("; did you mean {n}?"));
        return Err(format!("no key {} in [{section}]{hint}", entry.key));
    };
    if is_placeholder(&entry.value) {
        let value = &entry.value;
        return Err(format!("{}: {value} was not filled in", key.name));
    }
    let unset = entry.value.is_empty() && key.default == Some("");
    let valid = entry.value.parse::<std::net::SocketAddr>().is_ok();
    if key.is_address && !valid && !unset {
        return Err(format!("{}: write IP:PORT", key.name));
    }
    Ok(key)
}
