//! What a case records: what was sent, answered and run.

use std::{collections::BTreeSet, fs, io, path::PathBuf, time::Instant};

use figrill_standin::platform::workers::Workers;

/// The result of a case.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken, for this reason.
    Broken(String),
}

impl Outcome {
    /// Returns the outcome of a case that looks for jobs that stand still, from
    /// the states of those that do.
    pub fn of_standing_still(states: &[String]) -> Self {
        if states.is_empty() {
            return Self::Held;
        }
        Self::Broken(format!(
            "{}: nothing runs, though under half of the GPUs are in use and \
             there is room twice over",
            states.join(", ")
        ))
    }
}

/// The record of a case.
pub struct Record {
    file: PathBuf,
    started_at: Instant,
    lines: Vec<String>,
}

/// An event at a worker, from its own list.
#[derive(Clone, Debug)]
pub struct RunEvent {
    /// The time in milliseconds.
    pub at_ms: u64,
    /// `start`, or how the run ended.
    pub what: String,
    /// The subtask.
    pub task: String,
    /// The worker's agent.
    pub agent: String,
}

impl Record {
    /// Creates an empty record that is written to `file`.
    pub fn new(file: PathBuf) -> Self {
        Self {
            file,
            started_at: Instant::now(),
            lines: Vec::new(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn note(&mut self, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        self.lines.push(format!("{at:>6} ms  {text}"));
    }

    /// Adds what the workers ran of the jobs whose ids begin with `prefix`.
    pub fn add_runs(&mut self, workers: &Workers, prefix: &str) {
        let pool = workers.pool();
        let crashed = |line: &&String| line.contains(" crashed ");
        let lines = pool
            .trace
            .iter()
            .filter(|line| line.contains(prefix) || crashed(line));
        self.lines
            .extend(lines.map(|line| format!("  worker: {line}")));
    }

    /// Adds what the workers themselves have found: a start after an end that
    /// was acknowledged to them, or more than one run at a time.
    pub fn add_findings(&mut self, workers: &Workers) {
        let pool = workers.pool();
        let findings = pool.violations.iter();
        self.lines
            .extend(findings.map(|v| format!("  workers found: {}", v.0)));
    }

    /// Writes the file.
    pub fn write(&self) -> io::Result<()> {
        fs::write(&self.file, self.lines.join("\n") + "\n")
    }
}

/// Returns the starts and ends of subtasks that the workers have listed, in
/// order.
pub fn run_events(workers: &Workers) -> Vec<RunEvent> {
    let pool = workers.pool();
    pool.trace.iter().filter_map(|l| parse(l)).collect()
}

fn parse(line: &str) -> Option<RunEvent> {
    let mut words = line.split(' ');
    let at_ms = words.next()?.parse().ok()?;
    let what = words.next()?.to_owned();
    let task = words.next()?.split('/').next()?.to_owned();
    let agent = words.next()?.to_owned();
    Some(RunEvent {
        at_ms,
        what,
        task,
        agent,
    })
}

/// Returns how the runs of a subtask break the rule TWICE, if they do: one
/// starts while another is at work, or after one has ended as done.
pub fn twice(events: &[RunEvent], task: &str) -> Option<String> {
    let mut running: BTreeSet<&str> = BTreeSet::new();
    let mut done_at = None;
    for event in events.iter().filter(|e| e.task == task) {
        if event.what != "start" {
            running.remove(event.agent.as_str());
            if event.what == "done" {
                done_at = done_at.or(Some(event.at_ms));
            }
            continue;
        }
        if let Some(at) = done_at {
            return Some(format!(
                "{task} starts at {}, {} ms after it was done",
                event.agent,
                event.at_ms - at
            ));
        }
        if let Some(agent) = running.first() {
            return Some(format!(
                "{task} starts at {} while it runs at {agent}",
                event.agent
            ));
        }
        running.insert(&event.agent);
    }
    None
}
