//! INI files with the line of each section and key, so that an error can
//! name its place.

use std::fmt;

use displaydoc::Display;
use ini::{Ini, ParseOption};

/// A problem at a place of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file, as the user named it.
    pub file: String,
    /// The line, from 1; 0 if the problem has no line.
    pub line: usize,
    /// What is wrong and what to do.
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

/// All problems of one file, in the order of their lines.
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

/// One `key = value` with its line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key as written.
    pub key: String,
    /// The value without surrounding blanks.
    pub value: String,
    /// The line of the key.
    pub line: usize,
}

/// One section with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// The path between the brackets; empty before the first section.
    pub path: String,
    /// The line of the section's head.
    pub line: usize,
    /// Its keys in order.
    pub entries: Vec<Entry>,
}

/// Reads `text`, naming it `file` in problems.
///
/// The `ini` library does the reading, but it drops lines; they are found
/// again by walking the text beside its result.
///
/// # Errors
///
/// All problems with their lines: bad syntax, a section or a key that
/// stands twice.
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

enum IniLine {
    Section { path: String, line: usize },
    Key { key: String, line: usize },
}

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

/// The name in `known` that `word` was most likely meant to be.
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
