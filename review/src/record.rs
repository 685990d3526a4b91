//! The record of a case: what was sent, answered and run, with the time in
//! milliseconds since the start of the case.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// What an upstream saw of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunChange {
    /// The run began.
    Started,
    /// The run ended in this way.
    Ended(&'static str),
    /// A caller of the upstream acknowledged that it has stored the end.
    EndAcknowledged,
}

/// A change of a run, as seen by its upstream.
#[derive(Clone, Debug)]
pub struct RunEvent {
    /// When it was seen, in milliseconds since the start of the case.
    pub at_ms: u64,
    /// The task, as named on the wire.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// The name of the upstream's VM.
    pub worker: String,
    /// What was seen.
    pub change: RunChange,
}

/// A record that is written to a file line by line. Clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    file: File,
    runs: Vec<RunEvent>,
}

impl Record {
    /// Creates the record's file, and replaces an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            inner: Arc::new(Mutex::new(Inner {
                file: File::create(path)?,
                runs: Vec::new(),
            })),
        })
    }

    /// Returns the time since the start of the case, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        // A line that cannot be written does not change what is judged.
        let _ = writeln!(self.lock().file, "{now:>7} {text}");
    }

    /// Records what an upstream saw of a run.
    pub fn run(&self, worker: &str, task: &str, run: u32, change: RunChange) {
        let at_ms = self.now_ms();
        let mut inner = self.lock();
        let _ = writeln!(
            inner.file,
            "{at_ms:>7} {worker}: {task} run {run} {change:?}"
        );
        inner.runs.push(RunEvent {
            at_ms,
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            change,
        });
    }

    /// Returns all changes of runs so far, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<RunEvent> {
        self.lock().runs.clone()
    }

    /// Returns when the first task of a job began, if any has.
    #[must_use]
    pub fn first_start(&self, job: &str) -> Option<u64> {
        let inner = self.lock();
        let mut starts = inner.runs.iter().filter(|e| {
            e.change == RunChange::Started && e.task.starts_with(job)
        });
        starts.next().map(|e| e.at_ms)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns each breach of the rule TWICE: two runs of a task at the same time,
/// or a start after a run ended `done` whose end is acknowledged then or
/// later. All upstreams of the events must have been up all the time.
#[must_use]
pub fn doubled_runs(events: &[RunEvent]) -> Vec<String> {
    let mut breaches = Vec::new();
    for (i, start) in events.iter().enumerate() {
        if start.change != RunChange::Started {
            continue;
        }
        let earlier = events[..i].iter().filter(|e| e.task == start.task);
        let mut active: Vec<&RunEvent> = Vec::new();
        for event in earlier {
            match event.change {
                RunChange::Started => active.push(event),
                RunChange::Ended(how) => {
                    active.retain(|a| !is_same_run(a, event));
                    let acknowledged = events.iter().find(|e| {
                        e.change == RunChange::EndAcknowledged
                            && is_same_run(e, event)
                    });
                    if how == "done"
                        && let Some(acknowledged) = acknowledged
                    {
                        breaches.push(format!(
                            "{} run {} began at {} ms on {} although run {} \
                             had ended done at {} ms on {}, which was \
                             acknowledged at {} ms",
                            start.task,
                            start.run,
                            start.at_ms,
                            start.worker,
                            event.run,
                            event.at_ms,
                            event.worker,
                            acknowledged.at_ms,
                        ));
                    }
                }
                RunChange::EndAcknowledged => {}
            }
        }
        for other in active {
            breaches.push(format!(
                "{} run {} began at {} ms on {} while run {} was running on \
                 {} since {} ms, until {}",
                start.task,
                start.run,
                start.at_ms,
                start.worker,
                other.run,
                other.worker,
                other.at_ms,
                end_of(events, other),
            ));
        }
    }
    breaches
}

fn is_same_run(a: &RunEvent, b: &RunEvent) -> bool {
    a.task == b.task && a.run == b.run && a.worker == b.worker
}

/// Describes the end of a run.
fn end_of(events: &[RunEvent], run: &RunEvent) -> String {
    let end = events.iter().find_map(|e| match e.change {
        RunChange::Ended(how) if is_same_run(e, run) => Some((e.at_ms, how)),
        _ => None,
    });
    end.map_or_else(
        || "the end of the case".to_owned(),
        |(at, how)| format!("{at} ms ({how})"),
    )
}
