//! The command line: each command and each flag is declared once, with its
//! help. What is typed becomes a raw struct here; `args` makes it typed.

use std::{collections::BTreeMap, fmt::Write};

use figrill_state::{boot, ini_file::nearest};
use lexopt::{Arg, Parser, ValueExt};

use crate::exit;

/// A command.
#[derive(Debug)]
pub struct Command {
    /// Its words.
    pub path: &'static [&'static str],
    /// What it takes besides flags.
    pub operands: &'static [&'static str],
    /// The flags that it knows.
    pub flags: &'static [&'static str],
    /// What it does.
    pub help: &'static str,
    /// How it is used.
    pub example: &'static str,
}

/// A flag.
#[derive(Debug)]
pub struct Flag {
    /// Its name without dashes.
    pub name: &'static str,
    /// What its value is called; nothing if it has none.
    pub value: &'static str,
    /// What it does.
    pub help: &'static str,
}

const CLIENT: &[&str] = &["entry", "token-file", "json"];

/// All commands.
pub const COMMANDS: &[Command] = &[
    Command {
        path: &["dev"],
        operands: &[],
        flags: &["job", "workers", "json", "log-level"],
        help: "run all roles in one process and one job on them",
        example: "figrill dev --job examples/rounds.json",
    },
    Command {
        path: &["entry"],
        operands: &[],
        flags: &["settings", "set"],
        help: "run an entry, which callers reach through the balancer",
        example: "figrill entry --settings entry.ini",
    },
    Command {
        path: &["agent"],
        operands: &[],
        flags: &["settings", "set"],
        help: "run the agent beside an upstream",
        example: "figrill agent --settings agent.ini",
    },
    Command {
        path: &["settings", "check"],
        operands: &["FILE"],
        flags: &["json"],
        help: "check a file of settings without sending it",
        example: "figrill settings check site.ini",
    },
    Command {
        path: &["settings", "show"],
        operands: &[],
        flags: &["effective", "file", "entry", "token-file", "json"],
        help: "show the settings in force, or what a path inherits",
        example: "figrill settings show --effective workspace/logu-loki",
    },
    Command {
        path: &["settings", "apply"],
        operands: &["FILE"],
        flags: &["base", "entry", "token-file", "json"],
        help: "put new settings in force everywhere",
        example: "figrill settings apply site.ini --base 4",
    },
    Command {
        path: &["settings", "history"],
        operands: &[],
        flags: CLIENT,
        help: "list the changes of the settings",
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
        help: "print the reference of all keys of the settings",
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
        flags: CLIENT,
        help: "show how a job stands now",
        example: "figrill job show 0123456789abcdef0123456789abcdef",
    },
    Command {
        path: &["job", "cancel"],
        operands: &["JOB"],
        flags: CLIENT,
        help: "end a job",
        example: "figrill job cancel 0123456789abcdef0123456789abcdef",
    },
    Command {
        path: &["status"],
        operands: &[],
        flags: CLIENT,
        help: "show an entry, its coordinator and the cell",
        example: "figrill status --entry http://10.0.0.1:7070",
    },
    Command {
        path: &["drain"],
        operands: &[],
        flags: CLIENT,
        help: "ask a process to take no new work and end",
        example: "figrill drain --entry http://10.0.0.1:7070",
    },
    Command {
        path: &["timeline"],
        operands: &[],
        flags: &["job", "format", "out", "entry", "token-file"],
        help: "merge the events of all processes into one time line",
        example: "figrill timeline --format html --out timeline.html",
    },
];

/// All flags.
pub const FLAGS: &[Flag] = &[
    Flag {
        name: "settings",
        value: "FILE",
        help: "the process's settings file",
    },
    Flag {
        name: "set",
        value: "KEY=VALUE",
        help: "override one key of the settings file; may be repeated",
    },
    Flag {
        name: "job",
        value: "FILE|JOB",
        help: "the job's file (dev) or its id (timeline)",
    },
    Flag {
        name: "workers",
        value: "N",
        help: "workers to run, 1 to 16 [default: 3]",
    },
    Flag {
        name: "log-level",
        value: "LEVEL",
        help: "off, error, warn, info or debug [default: off]",
    },
    Flag {
        name: "entry",
        value: "URL",
        help: "an entry's HTTP address [default: $FIGRILL_ENTRY or \
               http://127.0.0.1:7070]",
    },
    Flag {
        name: "token-file",
        value: "FILE",
        help: "file with the bearer token [default: $FIGRILL_TOKEN]",
    },
    Flag {
        name: "base",
        value: "REVISION",
        help: "the revision that the change was made from [default: the \
               one in force]",
    },
    Flag {
        name: "effective",
        value: "PATH",
        help: "show each value in force at this path and where it is from",
    },
    Flag {
        name: "file",
        value: "FILE",
        help: "read the settings from a file, not from the entry",
    },
    Flag {
        name: "wait",
        value: "SECONDS",
        help: "how long to wait for the outcome [default: 600]",
    },
    Flag {
        name: "format",
        value: "FORMAT",
        help: "text, json or html [default: text]",
    },
    Flag {
        name: "out",
        value: "FILE",
        help: "write to a file, not to the screen",
    },
    Flag {
        name: "json",
        value: "",
        help: "print JSON for scripts",
    },
];

/// A command line as it was typed.
#[derive(Debug)]
pub struct Raw {
    /// The command.
    pub command: &'static Command,
    /// Its operands, as many as it takes.
    pub operands: Vec<String>,
    /// Its flags with their values, in order.
    pub flags: Vec<(&'static str, String)>,
}

/// What to do with a command line.
#[derive(Debug)]
pub enum Parsed {
    /// Run a command.
    Run(Raw),
    /// Print help or the version.
    Print(String),
}

/// Reads a command line.
///
/// # Errors
///
/// What is wrong, with the nearest name that is known.
pub fn parse(mut parser: Parser) -> Result<Parsed, String> {
    let mut words: Vec<String> = Vec::new();
    let mut flags = Vec::new();
    let mut help = false;
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => help = true,
            Arg::Short('V') | Arg::Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Parsed::Print(format!("figrill {version}")));
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
        return Ok(Parsed::Print(overview()));
    }
    if help && !is_command(&words) {
        return Ok(Parsed::Print(overview()));
    }
    let command = find_command(&words)?;
    if help {
        return Ok(Parsed::Print(help_of(command)));
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
    let stray = flags.iter().find(|(f, _)| !command.flags.contains(f));
    if let Some((flag, _)) = stray {
        let name = command.path.join(" ");
        return Err(format!("{name} has no flag --{flag}; see --help"));
    }
    Ok(Parsed::Run(Raw {
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

fn overview() -> String {
    let mut out = String::from(
        "figrill schedules multi-accelerator jobs under workspace \
         guarantees.\n\nUSAGE: figrill COMMAND [FLAGS]\n\nCOMMANDS\n",
    );
    for command in COMMANDS {
        let path = command.path.join(" ");
        let _ = writeln!(out, "  {path:<20} {}", command.help);
    }
    out.push_str("\nfigrill COMMAND --help says more.\n\nEXIT CODES\n");
    for (exit, help) in exit::TABLE {
        let _ = writeln!(out, "  {}  {help}", *exit as u8);
    }
    out
}

fn help_of(command: &Command) -> String {
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

impl Raw {
    /// The last value of a flag.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<&str> {
        let found = self.flags.iter().rev().find(|(f, _)| *f == name);
        found.map(|(_, value)| value.as_str())
    }

    /// All values of a flag that may be repeated, as `KEY=VALUE`.
    ///
    /// # Errors
    ///
    /// If one has no equals sign.
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
