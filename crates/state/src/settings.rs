//! The operators' settings: an INI file whose sections form a tree. The name
//! of a section is its path in the tree. A section inherits the values of the
//! sections above it, except for those that it sets itself.
//!
//! ```
//! use figrill_state::settings::Tree;
//!
//! let text = "[defaults]\nqueue_wait = 5m\n[workspace/acme]\n";
//! let tree = Tree::parse(text, "site.ini").unwrap();
//! let policy = tree.policy("acme", "any").unwrap();
//! assert_eq!(policy.queue_wait.as_secs(), 300);
//! ```

use std::{collections::BTreeMap, time::Duration};

use crate::{
    drain::Drains,
    ini_file::{self, Entry, Problem, Problems, Section, nearest},
    job::Shape,
};

pub mod schema;
pub mod value;

use schema::{KEYS, Key, Level, TOKEN_KEYS};

/// The settings of one service of a workspace, after inheritance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// The workspace's share of the capacity outside guarantees, relative to
    /// the weights of other workspaces.
    pub weight: u32,
    /// The maximum number of waiting jobs of the workspace.
    pub queue_limit: u32,
    /// The maximum time that a job may wait before it starts.
    pub queue_wait: Duration,
    /// The maximum time that a submission may keep its connection open.
    pub call_wait: Duration,
    /// The maximum number of attempts of a repeatable job.
    pub attempts: u32,
    /// The maximum time that returning borrowed capacity may take.
    pub reclaim_window: Duration,
    /// Jobs whose learned run time exceeds this count as long.
    pub long_after: Duration,
}

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The workspace's share of the capacity outside guarantees.
    pub weight: u32,
    /// The shapes that the workspace can always claim.
    pub guarantee: Vec<Shape>,
}

/// What the bearer of a token may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The bearer may submit, wait for and cancel jobs of one workspace.
    Caller,
    /// The bearer may do what a caller may in all workspaces, and change the
    /// settings.
    Operator,
}

/// A bearer token, identified by its digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// The name in the section `[token/NAME]`.
    pub name: String,
    /// The SHA-256 digest of the token in hex.
    pub digest: String,
    /// What the token allows.
    pub role: Role,
    /// The workspace that a caller's token belongs to.
    pub workspace: Option<String>,
}

/// A validated settings tree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tree {
    /// The entries of each section by path, without the `token` sections.
    sections: BTreeMap<String, Vec<Entry>>,
    workspaces: BTreeMap<String, Workspace>,
    tokens: Vec<Token>,
    /// The policies of each workspace by name.
    policies: BTreeMap<String, Policies>,
}

/// The policies of a workspace by service. The empty name holds the policy of
/// all services without a section of their own.
type Policies = BTreeMap<String, Policy>;

/// The effective value of a key and where it is set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedValue {
    /// The key.
    pub key: &'static str,
    /// The effective value.
    pub value: String,
    /// The section and line that set the value, or `built in` for a default.
    pub origin: String,
}

/// The path of the section that all workspaces inherit from.
const ROOT: &str = "defaults";

impl Tree {
    /// Parses and validates a settings file. `file` is the file name to report
    /// in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its line. For an unknown name, the
    /// problem suggests the closest known one.
    pub fn parse(text: &str, file: &str) -> Result<Self, Problems> {
        let sections = ini_file::parse(text, file)?;
        let mut checker = Checker {
            file,
            problems: Vec::new(),
        };
        let mut tree = Self::default();
        for section in &sections {
            checker.check_section(section, &mut tree);
        }
        checker.check_references(&sections, &tree);
        if checker.problems.is_empty() {
            tree.policies = tree.resolve_policies();
            Ok(tree)
        } else {
            checker.problems.sort_by_key(|p| p.line);
            Err(checker.problems.into())
        }
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Returns all workspaces in order of name.
    pub fn workspaces(&self) -> impl Iterator<Item = (&str, &Workspace)> {
        self.workspaces.iter().map(|(name, w)| (name.as_str(), w))
    }

    /// Returns all tokens in file order.
    #[must_use]
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Returns the percentage of all accelerators that long jobs may occupy.
    #[must_use]
    pub fn long_share(&self) -> u32 {
        value::number(&self.lookup(&[ROOT.to_owned()], "long_share").0)
    }

    /// Returns the failure domains on whose workers nothing more is started.
    #[must_use]
    pub fn drained_domains(&self) -> Drains {
        let text = self.lookup(&[ROOT.to_owned()], "drained_domains").0;
        value::names(&text).collect()
    }

    /// Returns the policy of a service after inheritance; `None` if the
    /// workspace is not in the tree. A service without a section of its own
    /// has its workspace's policy.
    #[must_use]
    pub fn policy(&self, workspace: &str, service: &str) -> Option<&Policy> {
        let policies = self.policies.get(workspace)?;
        policies.get(service).or_else(|| policies.get(""))
    }

    fn resolve_policies(&self) -> BTreeMap<String, Policies> {
        let services_of = |workspace: &str| {
            let service_prefix = format!("workspace/{workspace}/service/");
            let services = self
                .sections
                .keys()
                .filter_map(|path| path.strip_prefix(&service_prefix));
            std::iter::once("")
                .chain(services)
                .map(|s| (s.to_owned(), self.resolve_policy(workspace, s)))
                .collect()
        };
        let names = self.workspaces.keys();
        names
            .map(|name| (name.clone(), services_of(name)))
            .collect()
    }

    fn resolve_policy(&self, workspace: &str, service: &str) -> Policy {
        let chain = inheritance_chain(workspace, service);
        let value_of = |key| self.lookup(&chain, key).0;
        Policy {
            weight: value::number(&value_of("weight")),
            queue_limit: value::number(&value_of("queue_limit")),
            queue_wait: value::duration_or_zero(&value_of("queue_wait")),
            call_wait: value::duration_or_zero(&value_of("call_wait")),
            attempts: value::number(&value_of("attempts")),
            reclaim_window: value::duration_or_zero(&value_of(
                "reclaim_window",
            )),
            long_after: value::duration_or_zero(&value_of("long_after")),
        }
    }

    /// Returns the effective values at a path such as
    /// `workspace/acme/service/x` and where each is set. The path may also be
    /// `defaults`. Returns `None` if the path names neither that nor a
    /// workspace of the tree.
    #[must_use]
    pub fn resolved_values(&self, path: &str) -> Option<Vec<ResolvedValue>> {
        let mut segments = path.split('/');
        let chain = match (segments.next(), segments.next()) {
            (Some(ROOT), None) => vec![ROOT.to_owned()],
            (Some("workspace"), Some(name)) => {
                self.workspaces.get(name)?;
                let service = segments.nth(1).unwrap_or_default();
                inheritance_chain(name, service)
            }
            _ => return None,
        };
        let rows = KEYS.iter().map(|key| {
            let (value, origin) = self.lookup(&chain, key.name);
            ResolvedValue {
                key: key.name,
                value,
                origin,
            }
        });
        Some(rows.collect())
    }

    /// Returns the effective value of a key and its origin: the first section
    /// of `chain` that sets the key, or the default.
    fn lookup(&self, chain: &[String], key: &str) -> (String, String) {
        for path in chain {
            let entries = self.sections.get(path);
            let found =
                entries.and_then(|list| list.iter().find(|e| e.key == key));
            if let Some(entry) = found {
                let origin = format!("[{path}] line {}", entry.line);
                return (entry.value.clone(), origin);
            }
        }
        let default = KEYS.iter().find(|k| k.name == key);
        let value = default.map_or("", |k| k.default).to_owned();
        (value, "built in".to_owned())
    }
}

/// Returns the paths of the sections that a service takes its values from,
/// most specific first.
fn inheritance_chain(workspace: &str, service: &str) -> Vec<String> {
    vec![
        format!("workspace/{workspace}/service/{service}"),
        format!("workspace/{workspace}"),
        ROOT.to_owned(),
    ]
}

/// Collects the problems of a settings file.
struct Checker<'a> {
    file: &'a str,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn add_problem(&mut self, line: usize, text: String) {
        let file = self.file.to_owned();
        self.problems.push(Problem { file, line, text });
    }

    /// Checks a section and adds it to `tree`.
    fn check_section(&mut self, section: &Section, tree: &mut Tree) {
        let segments: Vec<&str> = section.path.split('/').collect();
        match segments.as_slice() {
            [ROOT] => {
                self.check_level(section, Level::Root, tree);
            }
            ["workspace", name] if is_name(name) => {
                self.check_level(section, Level::Workspace, tree);
                add_workspace(section, name, tree);
            }
            ["workspace", name, "service", service]
                if is_name(name) && is_name(service) =>
            {
                self.check_level(section, Level::Service, tree);
            }
            ["token", name] if is_name(name) => {
                self.check_token(section, name, tree);
            }
            _ => {
                let first = segments.first().copied().unwrap_or_default();
                let known = [ROOT, "workspace", "token"];
                let hint = nearest(first, known)
                    .map_or(String::new(), |n| format!("; did you mean {n}?"));
                self.add_problem(
                    section.line,
                    format!(
                        "[{}] is no section: use [defaults], \
                         [workspace/NAME], [workspace/NAME/service/NAME] or \
                         [token/NAME]{hint}",
                        section.path
                    ),
                );
            }
        }
    }

    /// Checks a section whose keys are inherited and adds it to `tree`.
    fn check_level(
        &mut self,
        section: &Section,
        level: Level,
        tree: &mut Tree,
    ) {
        for entry in &section.entries {
            if let Some(key) = self.find_key(entry, KEYS, &section.path) {
                self.check_value(entry, key, level);
            }
        }
        tree.sections
            .insert(section.path.clone(), section.entries.clone());
    }

    /// Returns the declaration of an entry's key; reports a problem if there
    /// is none.
    fn find_key<'k>(
        &mut self,
        entry: &Entry,
        keys: &'k [Key],
        path: &str,
    ) -> Option<&'k Key> {
        let found = keys.iter().find(|k| k.name == entry.key);
        if found.is_none() {
            let names = keys.iter().map(|k| k.name);
            let hint = nearest(&entry.key, names)
                .map_or(String::new(), |n| format!("; did you mean {n}?"));
            let text = format!("no key {} in [{path}]{hint}", entry.key);
            self.add_problem(entry.line, text);
        }
        found
    }

    fn check_value(&mut self, entry: &Entry, key: &Key, level: Level) {
        if !key.levels.contains(&level) {
            let text = format!("{} can't be set at this level", key.name);
            self.add_problem(entry.line, text);
            return;
        }
        if let Err(reason) = key.kind.check(&entry.value) {
            let text = format!("{} = {}: {reason}", key.name, entry.value);
            self.add_problem(entry.line, text);
        }
    }

    /// Checks a `token` section and adds the token to `tree`.
    fn check_token(&mut self, section: &Section, name: &str, tree: &mut Tree) {
        for entry in &section.entries {
            if let Some(key) = self.find_key(entry, TOKEN_KEYS, &section.path)
                && let Err(reason) = key.kind.check(&entry.value)
            {
                self.add_problem(
                    entry.line,
                    format!("{}: {reason}", key.name),
                );
            }
        }
        let find = |key: &str| {
            let found = section.entries.iter().find(|e| e.key == key);
            found.map(|e| e.value.clone())
        };
        let Some(digest) = find("digest") else {
            let text = format!("[{}] needs a digest", section.path);
            self.add_problem(section.line, text);
            return;
        };
        let role = match find("role").as_deref() {
            Some("operator") => Role::Operator,
            _ => Role::Caller,
        };
        let workspace = find("workspace");
        if role == Role::Caller && workspace.is_none() {
            let text = format!(
                "[{}] needs a workspace, or role = operator",
                section.path
            );
            self.add_problem(section.line, text);
        }
        tree.tokens.push(Token {
            name: name.to_owned(),
            digest,
            role,
            workspace,
        });
    }

    /// Reports services and tokens that refer to a workspace without a
    /// section. This runs after all sections are read, since a section may
    /// refer to a later one.
    fn check_references(&mut self, sections: &[Section], tree: &Tree) {
        let names: Vec<&str> =
            tree.workspaces.keys().map(String::as_str).collect();
        for section in sections {
            let segments: Vec<&str> = section.path.split('/').collect();
            let reference = match segments.as_slice() {
                ["workspace", name, "service", _] => {
                    Some((*name, section.line))
                }
                ["token", _] => section
                    .entries
                    .iter()
                    .find(|e| e.key == "workspace")
                    .map(|e| (e.value.as_str(), e.line)),
                _ => None,
            };
            let Some((name, line)) = reference else {
                continue;
            };
            if names.contains(&name) {
                continue;
            }
            let hint = nearest(name, names.iter().copied())
                .map_or(String::new(), |n| format!("; did you mean {n}?"));
            let text = format!("no section [workspace/{name}]{hint}");
            self.add_problem(line, text);
        }
    }
}

/// Adds a workspace whose section is in `tree` already. An invalid guarantee
/// has been reported by then and counts as empty.
fn add_workspace(section: &Section, name: &str, tree: &mut Tree) {
    let find = |key| section.entries.iter().find(|e| e.key == key);
    let shapes = find("guarantee").map(|e| value::shapes(&e.value));
    let guarantee = shapes.and_then(Result::ok).unwrap_or_default();
    let weight = tree.lookup(&inheritance_chain(name, ""), "weight").0;
    let workspace = Workspace {
        weight: value::number(&weight),
        guarantee,
    };
    tree.workspaces.insert(name.to_owned(), workspace);
}

/// Returns whether `name` has 1 to 64 characters, all of them ASCII letters,
/// digits, `-`, `_` or `.`.
fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 64
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
