//! The settings file of a process on a platform whose store holds every
//! promise: one section, `[process]`, beside `[platform]`.

use crate::ini_file::{self, Entry, Problem, Problems, nearest};

/// A key of the file.
#[derive(Debug)]
pub struct Key {
    /// The section.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// Its value where nothing sets it; `None` if it must be set.
    pub default: Option<&'static str>,
    /// Whether it is an IP and a port.
    pub is_address: bool,
    /// What it does.
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

/// All keys.
pub const KEYS: &[Key] = &[
    key(
        "process",
        "name",
        None,
        false,
        "the process's name; one of its kind in the system",
    ),
    key(
        "process",
        "peer",
        None,
        true,
        "address for the system's own processes",
    ),
    key(
        "process",
        "advertise",
        Some(""),
        true,
        "address that other processes dial, if not `peer`",
    ),
    key(
        "process",
        "metrics",
        Some(""),
        true,
        "address of the metrics; none if empty",
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
        "entry: address for the balancer's checks",
    ),
    key(
        "platform",
        "upstream",
        Some(""),
        true,
        "agent: address where its upstream registers",
    ),
];

/// The settings of one process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Address for the system's own processes.
    pub peer: String,
    /// Address that the system's other processes dial.
    pub advertise: String,
    /// Address of the metrics; empty: none.
    pub metrics: String,
    /// How much to log.
    pub log_level: String,
    /// Address of the platform's store.
    pub store: String,
    /// Address for callers; empty for an agent.
    pub callers: String,
    /// Address for the balancer's checks; empty for an agent.
    pub readiness: String,
    /// Address where the upstream registers; empty for an entry.
    pub upstream: String,
}

/// Whether a settings file is one of these.
#[must_use]
pub fn is_deployment(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[platform]")
}

impl Deployment {
    /// Reads a settings file's text; `file` names it in problems.
    ///
    /// # Errors
    ///
    /// All problems with their lines.
    pub fn parse(text: &str, file: &str) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let mut found: Vec<(&'static Key, String)> = Vec::new();
        for section in ini_file::parse(text, file)? {
            for entry in &section.entries {
                match check_entry(&section.path, entry) {
                    Ok(key) => found.push((key, entry.value.clone())),
                    Err(text) => problems.push(Problem {
                        file: file.to_owned(),
                        line: entry.line,
                        text,
                    }),
                }
            }
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
        };
        if problems.is_empty() {
            Ok(deployment)
        } else {
            Err(problems.into())
        }
    }
}

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
    let empty = entry.value.is_empty() && key.default == Some("");
    let address = entry.value.parse::<std::net::SocketAddr>().is_ok();
    if key.is_address && !address && !empty {
        return Err(format!("{}: write IP:PORT", key.name));
    }
    Ok(key)
}
