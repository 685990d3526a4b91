//! The settings file of a process that does not run on the users' platform:
//! the name and location of the process and the addresses that it uses. The
//! file has one section, `[process]`, whose keys can be overridden by flags. A
//! process on the platform uses [`deployment`](crate::deployment) instead.

use crate::{
    ini_file::{self, Entry, Problem, Problems, nearest},
    worker::Place,
};

/// A key of `[process]`.
#[derive(Debug)]
pub struct BootKey {
    /// The key's name.
    pub name: &'static str,
    /// The default value.
    pub default: &'static str,
    /// A short description for operators.
    pub help: &'static str,
}

impl BootKey {
    const fn new(
        name: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            default,
            help,
        }
    }
}

/// All keys of `[process]`.
pub const KEYS: &[BootKey] = &[
    BootKey::new("name", "", "name of the process, unique in the system"),
    BootKey::new(
        "peer",
        "127.0.0.1:0",
        "address that other figrill processes connect to",
    ),
    BootKey::new(
        "peer_advertise",
        "",
        "address advertised to other processes, if not `peer`",
    ),
    BootKey::new(
        "http",
        "127.0.0.1:0",
        "HTTP address for callers, the upstream and operators",
    ),
    BootKey::new("failure_domain", "", "failure domain of the process"),
    BootKey::new("rack", "", "rack of the process"),
    BootKey::new(
        "cell",
        "main",
        "cell of workers that the process belongs to",
    ),
    BootKey::new("store", "", "base address of the platform's store"),
    BootKey::new(
        "peer_secret_file",
        "",
        "file with the secret that all processes share",
    ),
    BootKey::new(
        "entries",
        "",
        "peer addresses of entries, used if the store is down",
    ),
    BootKey::new("announce_file", "", "file to write the bound addresses to"),
    BootKey::new("log_level", "info", "off, error, warn, info or debug"),
    BootKey::new(
        "bootstrap_digest",
        "",
        "digest of the first operator's token",
    ),
    BootKey::new(
        "worker_reserve",
        "0",
        "accelerators of the worker to leave unused",
    ),
];

/// The settings of one process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BootSettings {
    /// The process's name.
    pub name: String,
    /// The address that other figrill processes connect to.
    pub peer: String,
    /// The address that is advertised to other processes, if it differs from
    /// the bound one.
    pub peer_advertise: String,
    /// The HTTP address for callers, the upstream and operators.
    pub http: String,
    /// The location of the process.
    pub place: PlaceSetting,
    /// The cell of workers that the process belongs to.
    pub cell: String,
    /// The base address of the platform's store.
    pub store: String,
    /// The file with the secret that all processes share.
    pub peer_secret_file: String,
    /// Peer addresses of entries, used while the store is unavailable.
    pub entries: Vec<String>,
    /// The file that the bound addresses are written to; none if empty.
    pub announce_file: String,
    /// The log level: off, error, warn, info or debug.
    pub log_level: String,
    /// The digest of the first operator's token.
    pub bootstrap_digest: String,
    /// The number of the worker's accelerators that are left unused.
    pub worker_reserve: u32,
}

/// The location of a process; `None` if neither a failure domain nor a rack is
/// set.
pub type PlaceSetting = Option<Place>;

impl BootSettings {
    /// Parses the text of a settings file. `flags` are pairs of key and value
    /// that override the file; if a key is repeated, its last value applies.
    /// `file` is the file name to report in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems with their lines.
    pub fn parse(
        text: &str,
        file: &str,
        flags: &[(String, String)],
    ) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let mut entries: Vec<Entry> = Vec::new();
        for section in ini_file::parse(text, file)? {
            if section.path != "process" {
                problems.push(Problem {
                    file: file.to_owned(),
                    line: section.line,
                    text: format!(
                        "no section [{}] here: use [process]",
                        section.path
                    ),
                });
            }
            entries.extend(section.entries);
        }
        for entry in &entries {
            check_key(entry, file, &mut problems);
        }
        for (key, value) in flags {
            let entry = Entry {
                key: key.clone(),
                value: value.clone(),
                line: 0,
            };
            check_key(&entry, "--set", &mut problems);
        }
        let value_of = |key: &str| -> String {
            let flag = flags.iter().rev().find(|(k, _)| k == key);
            let written = entries.iter().find(|e| e.key == key);
            let default = KEYS.iter().find(|k| k.name == key);
            flag.map(|(_, v)| v.clone())
                .or_else(|| written.map(|e| e.value.clone()))
                .unwrap_or_else(|| {
                    default.map_or("", |k| k.default).to_owned()
                })
        };
        let boot = Self {
            name: value_of("name"),
            peer: value_of("peer"),
            peer_advertise: value_of("peer_advertise"),
            http: value_of("http"),
            place: parse_place(&value_of("failure_domain"), &value_of("rack")),
            cell: value_of("cell"),
            store: value_of("store"),
            peer_secret_file: value_of("peer_secret_file"),
            entries: parse_list(&value_of("entries")),
            announce_file: value_of("announce_file"),
            log_level: value_of("log_level"),
            bootstrap_digest: value_of("bootstrap_digest"),
            worker_reserve: value_of("worker_reserve").parse().unwrap_or(0),
        };
        for (key, value) in [
            ("name", &boot.name),
            ("peer_secret_file", &boot.peer_secret_file),
        ] {
            if value.is_empty() {
                problems.push(Problem {
                    file: file.to_owned(),
                    line: 0,
                    text: format!("[process] needs {key}"),
                });
            }
        }
        if problems.is_empty() {
            Ok(boot)
        } else {
            Err(problems.into())
        }
    }
}

/// Checks the name and the value of a key and adds what is wrong to
/// `problems`.
fn check_key(entry: &Entry, file: &str, problems: &mut Vec<Problem>) {
    let mut problem = |text: String| {
        problems.push(Problem {
            file: file.to_owned(),
            line: entry.line,
            text,
        });
    };
    if !KEYS.iter().any(|k| k.name == entry.key) {
        let hint = nearest(&entry.key, KEYS.iter().map(|k| k.name))
            .map_or(String::new(), |n| format!("; did you mean {n}?"));
        problem(format!("no key {} in [process]{hint}", entry.key));
        return;
    }
    let is_address =
        matches!(entry.key.as_str(), "peer" | "http" | "peer_advertise");
    if is_address && entry.value.parse::<std::net::SocketAddr>().is_err() {
        problem(format!("{}: write IP:PORT", entry.key));
    }
    if entry.key == "worker_reserve" && entry.value.parse::<u32>().is_err() {
        problem(format!("{}: write a whole number", entry.key));
    }
}

fn parse_place(failure_domain: &str, rack: &str) -> PlaceSetting {
    if failure_domain.is_empty() && rack.is_empty() {
        return None;
    }
    Some(Place {
        failure_domain: failure_domain.to_owned(),
        rack: rack.to_owned(),
    })
}

/// Parses a comma-separated list. Empty items are left out.
fn parse_list(text: &str) -> Vec<String> {
    let items = text.split(',').map(str::trim);
    items.filter(|i| !i.is_empty()).map(str::to_owned).collect()
}
