//! A parser of INI files that keeps the line number of each section and key,
//! so that errors can report them.

use std::fmt;

use displaydoc::Display;
use ini::{Ini, ParseOption};

/// A problem in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file name as the user gave it.
    pub file: String,
    /// The line number, starting from 1; 0 if the problem has no line.
    pub line: usize,
    /// What is wrong and how to correct it.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.file, self.text);
        }
        write!(f, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct Problems(pub ProblemList);

impl std::error::Error for Problems {}

/// The problems of one file. Displayed one per line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProblemList(pub Vec<Problem>);

impl fmt::Display for ProblemList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl From<Vec<Problem>> for Problems {
    fn from(list: Vec<Problem>) -> Self {
        Self(ProblemList(list))
    }
}

/// A `key = value` pair and its line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key as written.
    pub key: String,
    /// The value without surrounding whitespace.
    pub value: String,
    /// The line number of the key.
    pub line: usize,
}

/// A section and its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// The text between the brackets; empty for keys before the first
    /// section header.
    pub path: String,
    /// The line number of the section header.
    pub line: usize,
    /// The keys and values in file order.
    pub entries: Vec<Entry>,
}

/// Parses `text`. `file` is the file name to report in problems.
///
/// The values come from the `ini` library, which does not report line numbers.
/// They are recovered by a second scan of the text.
///
/// # Errors
///
/// Returns all problems with their lines: either a syntax error, or all
/// sections and keys that occur twice.
pub fn parse(text: &str, file: &str) -> Result<Vec<Section>, Problems> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, option).map_err(|e| {
        vec![Problem {
            file: file.to_owned(),
            line: e.line,
            text: format!("bad syntax: {}", e.msg),
        }]
    })?;
    let lines = scan_lines(text);
    let mut problems = Vec::new();
    let mut sections: Vec<Section> = Vec::new();
    for ini_line in &lines {
        match ini_line {
            IniLine::Section { path, line } => {
                if sections.iter().any(|s| s.path == *path) {
                    problems.push(Problem {
                        file: file.to_owned(),
                        line: *line,
                        text: format!(
                            "section [{path}] stands twice; join them"
                        ),
                    });
                }
                sections.push(Section {
                    path: path.clone(),
                    line: *line,
                    entries: Vec::new(),
                });
            }
            IniLine::Key { key, line } => {
                if sections.is_empty() {
                    sections.push(Section {
                        path: String::new(),
                        line: *line,
                        entries: Vec::new(),
                    });
                }
                let Some(section) = sections.last_mut() else {
                    continue;
                };
                if section.entries.iter().any(|e| e.key == *key) {
                    problems.push(Problem {
                        file: file.to_owned(),
                        line: *line,
                        text: format!("key {key} stands twice here"),
                    });
                    continue;
                }
                let name = Some(section.path.as_str());
                let name = name.filter(|n| !n.is_empty());
                let value = ini.get_from(name, key).unwrap_or_default();
                section.entries.push(Entry {
                    key: key.clone(),
                    value: value.to_owned(),
                    line: *line,
                });
            }
        }
    }
    if problems.is_empty() {
        Ok(sections)
    } else {
        Err(problems.into())
    }
}

/// A line of an INI file that is neither blank nor a comment.
enum IniLine {
    Section { path: String, line: usize },
    Key { key: String, line: usize },
}

/// Returns the section headers and keys of an INI file with their line
/// numbers.
fn scan_lines(text: &str) -> Vec<IniLine> {
    let mut out = Vec::new();
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        let trimmed = raw.trim();
        if trimmed.is_empty() || trimmed.starts_with(['#', ';']) {
            continue;
        }
        if let Some(rest) = trimmed.strip_prefix('[') {
            let path = rest.split(']').next().unwrap_or_default().trim();
            out.push(IniLine::Section {
                path: path.to_owned(),
                line,
            });
        } else if let Some((key, _)) = trimmed.split_once(['=', ':']) {
            out.push(IniLine::Key {
                key: key.trim().to_owned(),
                line,
            });
        }
    }
    out
}

/// Returns the name in `known` that is closest to `word` by edit distance, for
/// a "did you mean" hint; `None` if none is close enough.
#[must_use]
pub fn nearest<'a>(
    word: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(word, name), name))
        .filter(|(distance, name)| *distance <= 1 + name.len() / 3)
        .min()
        .map(|(_, name)| name)
}
