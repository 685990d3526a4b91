//! The declarations of all commands and flags with their help, and the parser
//! of the command line.
//!
//! Parsing uses only these declarations and yields [`RawArgs`], whose values
//! are strings; [`args`](crate::args) converts them to typed arguments.

use std::{collections::BTreeMap, fmt::Write};

use figrill_state::{boot, ini_file::nearest};
use lexopt::{Arg, Parser, ValueExt};

use crate::exit;

/// The declaration of a command.
#[derive(Debug)]
pub struct Command {
    /// The words of the command's name.
    pub path: &'static [&'static str],
    /// The names of the operands, which are all required.
    pub operands: &'static [&'static str],
    /// The names of the flags that the command accepts.
    pub flags: &'static [&'static str],
    /// A one-line description.
    pub help: &'static str,
    /// An example invocation.
    pub example: &'static str,
}

/// The declaration of a flag.
#[derive(Debug)]
pub struct Flag {
    /// The name without dashes.
    pub name: &'static str,
    /// The placeholder of the value in help texts; empty if the flag takes no
    /// value.
    pub value: &'static str,
    /// A one-line description.
    pub help: &'static str,
}

/// The flags of commands that call an entry and take no other flags.
const CLIENT_FLAGS: &[&str] = &["entry", "token-file", "json"];

/// All commands.
pub const COMMANDS: &[Command] = &[
    Command {
        path: &["dev"],
        operands: &[],
        flags: &["job", "workers", "json", "log-level"],
        help: "run all roles in one process, and one job on them",
        example: "figrill dev --job examples/rounds.json",
    },
    Command {
        path: &["entry"],
        operands: &[],
        flags: &["settings", "set"],
        help: "run an entry, which serves callers behind the load balancer",
        example: "figrill entry --settings entry.ini",
    },
    Command {
        path: &["agent"],
        operands: &[],
        flags: &["settings", "set"],
        help: "run the agent of a worker",
        example: "figrill agent --settings agent.ini",
    },
    Command {
        path: &["check"],
        operands: &["FILE"],
        flags: &["against", "accelerators", "json"],
        help: "check a configuration of the users' platform",
        example: "figrill check new.json --against current.json",
    },
    Command {
        path: &["settings", "check"],
        operands: &["FILE"],
        flags: &["json"],
        help: "validate a settings file without applying it",
        example: "figrill settings check site.ini",
    },
    Command {
        path: &["settings", "show"],
        operands: &[],
        flags: &["effective", "file", "entry", "token-file", "json"],
        help: "show the settings, or the effective values at a path",
        example: "figrill settings show --effective workspace/logu-loki",
    },
    Command {
        path: &["settings", "apply"],
        operands: &["FILE"],
        flags: &["base", "entry", "token-file", "json"],
        help: "apply new settings to the whole system",
        example: "figrill settings apply site.ini --base 4",
    },
    Command {
        path: &["settings", "history"],
        operands: &[],
        flags: CLIENT_FLAGS,
        help: "list the history of settings changes",
        example: "figrill settings history",
    },
    Command {
        path: &["settings", "digest"],
        operands: &["FILE"],
        flags: &[],
        help: "print the digest of the token in a file",
        example: "figrill settings digest operator.token",
    },
    Command {
        path: &["settings", "reference"],
        operands: &[],
        flags: &[],
        help: "print the reference of all settings keys",
        example: "figrill settings reference",
    },
    Command {
        path: &["job", "submit"],
        operands: &["FILE"],
        flags: &["wait", "entry", "token-file", "json"],
        help: "submit a job and wait for its outcome",
        example: "figrill job submit examples/rounds.json --wait 60",
    },
    Command {
        path: &["job", "wait"],
        operands: &["JOB"],
        flags: &["wait", "entry", "token-file", "json"],
        help: "wait for the outcome of a job",
        example: "figrill job wait 0123456789abcdef0123456789abcdef",
    },
    Command {
        path: &["job", "show"],
        operands: &["JOB"],
        flags: CLIENT_FLAGS,
        help: "show the current state of a job",
        example: "figrill job show 0123456789abcdef0123456789abcdef",
    },
    Command {
        path: &["job", "cancel"],
        operands: &["JOB"],
        flags: CLIENT_FLAGS,
        help: "cancel a job",
        example: "figrill job cancel 0123456789abcdef0123456789abcdef",
    },
    Command {
        path: &["status"],
        operands: &[],
        flags: CLIENT_FLAGS,
        help: "show the status of an entry, its coordinator and the cell",
        example: "figrill status --entry http://10.0.0.1:7070",
    },
    Command {
        path: &["drain"],
        operands: &[],
        flags: CLIENT_FLAGS,
        help: "drain a process: it accepts no new work and then exits",
        example: "figrill drain --entry http://10.0.0.1:7070",
    },
    Command {
        path: &["timeline"],
        operands: &[],
        flags: &["job", "format", "out", "entry", "token-file"],
        help: "merge the events of all processes into one timeline",
        example: "figrill timeline --format html --out timeline.html",
    },
];

/// All flags.
pub const FLAGS: &[Flag] = &[
    Flag {
        name: "settings",
        value: "FILE",
        help: "settings file of the process",
    },
    Flag {
        name: "set",
        value: "KEY=VALUE",
        help: "override one key of the settings file; may be repeated",
    },
    Flag {
        name: "job",
        value: "FILE|JOB",
        help: "file with the job (dev), or id of the job (timeline)",
    },
    Flag {
        name: "workers",
        value: "N",
        help: "number of workers to run, 1 to 16 [default: 3]",
    },
    Flag {
        name: "log-level",
        value: "LEVEL",
        help: "log level: off, error, warn, info or debug [default: off]",
    },
    Flag {
        name: "entry",
        value: "URL",
        help: "HTTP address of an entry [default: $FIGRILL_ENTRY or \
               http://127.0.0.1:7070]",
    },
    Flag {
        name: "token-file",
        value: "FILE",
        help: "file with the bearer token [default: $FIGRILL_TOKEN]",
    },
    Flag {
        name: "against",
        value: "FILE",
        help: "list what differs from the configuration in force",
    },
    Flag {
        name: "accelerators",
        value: "N",
        help: "accelerators of all workers, which guarantees may not exceed",
    },
    Flag {
        name: "base",
        value: "REVISION",
        help: "revision that the change is based on [default: the \
               current one]",
    },
    Flag {
        name: "effective",
        value: "PATH",
        help: "show each effective value at this path and its origin",
    },
    Flag {
        name: "file",
        value: "FILE",
        help: "read the settings from a file instead of the entry",
    },
    Flag {
        name: "wait",
        value: "SECONDS",
        help: "maximum time to wait for the outcome [default: 600]",
    },
    Flag {
        name: "format",
        value: "FORMAT",
        help: "output format: text, json or html [default: text]",
    },
    Flag {
        name: "out",
        value: "FILE",
        help: "write to a file instead of the standard output",
    },
    Flag {
        name: "json",
        value: "",
        help: "print JSON",
    },
];

/// The arguments of a command as strings.
#[derive(Debug)]
pub struct RawArgs {
    /// The command.
    pub command: &'static Command,
    /// The operands, as many as the command declares.
    pub operands: Vec<String>,
    /// The names of the given flags with their values, in the order given.
    pub flags: Vec<(&'static str, String)>,
}

/// The action that a command line requests.
#[derive(Debug)]
pub enum Action {
    /// Run a command.
    Run(RawArgs),
    /// Print this text: help or the version.
    Print(String),
}

/// Parses a command line.
///
/// # Errors
///
/// Returns a message for the user. It suggests the nearest known name in place
/// of an unknown command or flag.
pub fn parse(mut parser: Parser) -> Result<Action, String> {
    let mut words: Vec<String> = Vec::new();
    let mut flags = Vec::new();
    let mut help = false;
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => help = true,
            Arg::Short('V') | Arg::Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Action::Print(format!("figrill {version}")));
            }
            Arg::Long(name) => {
                let flag = find_flag(name)?;
                let value = if flag.value.is_empty() {
                    String::new()
                } else {
                    let value = parser.value().map_err(|e| e.to_string())?;
                    value.string().map_err(|e| e.to_string())?
                };
                flags.push((flag.name, value));
            }
            Arg::Short(letter) => {
                return Err(format!("no flag -{letter}; see --help"));
            }
            Arg::Value(value) => {
                words.push(value.string().map_err(|e| e.to_string())?);
            }
        }
    }
    if words.is_empty() {
        return Ok(Action::Print(overview()));
    }
    if help && !is_command(&words) {
        return Ok(Action::Print(overview()));
    }
    let command = find_command(&words)?;
    if help {
        return Ok(Action::Print(command_help(command)));
    }
    let operands = words.split_off(command.path.len());
    if operands.len() != command.operands.len() {
        return Err(format!(
            "{} takes {} operands: {}",
            command.path.join(" "),
            command.operands.len(),
            usage(command)
        ));
    }
    let unknown = flags.iter().find(|(f, _)| !command.flags.contains(f));
    if let Some((flag, _)) = unknown {
        let name = command.path.join(" ");
        return Err(format!("{name} has no flag --{flag}; see --help"));
    }
    Ok(Action::Run(RawArgs {
        command,
        operands,
        flags,
    }))
}

fn find_flag(name: &str) -> Result<&'static Flag, String> {
    let found = FLAGS.iter().find(|f| f.name == name);
    found.ok_or_else(|| {
        let hint = nearest(name, FLAGS.iter().map(|f| f.name))
            .map_or(String::new(), |n| format!("; did you mean --{n}?"));
        format!("no flag --{name}{hint}")
    })
}

fn is_command(words: &[String]) -> bool {
    COMMANDS.iter().any(|c| starts_with(words, c.path))
}

/// Returns whether `words` begins with the words of a command's path.
fn starts_with(words: &[String], path: &[&str]) -> bool {
    words.len() >= path.len() && words.iter().zip(path).all(|(a, b)| a == b)
}

fn find_command(words: &[String]) -> Result<&'static Command, String> {
    let found = COMMANDS.iter().find(|c| starts_with(words, c.path));
    found.ok_or_else(|| {
        let typed = words[..words.len().min(2)].join(" ");
        let paths: Vec<String> =
            COMMANDS.iter().map(|c| c.path.join(" ")).collect();
        let hint = nearest(&typed, paths.iter().map(String::as_str))
            .or_else(|| nearest(&words[0], paths.iter().map(String::as_str)))
            .map_or(String::new(), |n| format!("; did you mean {n}?"));
        format!("no command {typed}{hint}")
    })
}

/// Returns the usage line of a command.
fn usage(command: &Command) -> String {
    let mut out = format!("figrill {}", command.path.join(" "));
    for operand in command.operands {
        let _ = write!(out, " {operand}");
    }
    if !command.flags.is_empty() {
        out.push_str(" [FLAGS]");
    }
    out
}

/// Returns the help that lists all commands and exit codes.
fn overview() -> String {
    let mut out = String::from(
        "figrill schedules multi-accelerator jobs under workspace \
         guarantees.\n\nUSAGE: figrill COMMAND [FLAGS]\n\nCOMMANDS\n",
    );
    for command in COMMANDS {
        let path = command.path.join(" ");
        let _ = writeln!(out, "  {path:<20} {}", command.help);
    }
    out.push_str("\nRun figrill COMMAND --help for details.\n\nEXIT CODES\n");
    for (exit, help) in exit::EXIT_CODES {
        let _ = writeln!(out, "  {}  {help}", *exit as u8);
    }
    out
}

/// Returns the help of one command.
fn command_help(command: &Command) -> String {
    let mut out = format!("{}\n\nUSAGE: {}\n", command.help, usage(command));
    if !command.flags.is_empty() {
        out.push_str("\nFLAGS\n");
    }
    for flag in FLAGS.iter().filter(|f| command.flags.contains(&f.name)) {
        let name = format!("--{} {}", flag.name, flag.value);
        let _ = writeln!(out, "  {name:<24} {}", flag.help);
    }
    if command.flags.contains(&"set") {
        out.push_str("\nKEYS of [process] in the settings file\n");
        for key in boot::KEYS {
            let (name, help) = (key.name, key.help);
            let default = key.default;
            let _ = writeln!(out, "  {name:<18} {help} [default: {default}]");
        }
    }
    let _ = writeln!(out, "\nEXAMPLE\n  {}", command.example);
    out
}

impl RawArgs {
    /// Returns the value of a flag. If the flag is repeated, the last one
    /// wins.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<&str> {
        let found = self.flags.iter().rev().find(|(f, _)| *f == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns all values of a repeatable flag whose values have the form
    /// `KEY=VALUE`. If a key is repeated, its last value wins.
    ///
    /// # Errors
    ///
    /// Returns a message if a value has no equals sign.
    pub fn pairs(&self, name: &str) -> Result<Vec<(String, String)>, String> {
        let all = self.flags.iter().filter(|(f, _)| *f == name);
        let mut pairs = BTreeMap::new();
        for (_, pair) in all {
            let (key, value) = pair
                .split_once('=')
                .ok_or_else(|| format!("--{name} {pair}: write KEY=VALUE"))?;
            pairs.insert(key.to_owned(), value.to_owned());
        }
        Ok(pairs.into_iter().collect())
    }
}
