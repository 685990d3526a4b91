//! Processes that a test has started, and only those.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A process; it is killed when this value goes away.
#[derive(Debug)]
pub struct Process {
    /// Its name in the test.
    pub name: String,
    child: Child,
    ended: bool,
}

/// Waits until `look` finds something.
///
/// # Panics
///
/// If it does not within `limit`, naming `what`.
pub fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut look: impl FnMut() -> Option<T>,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < limit, "waited {limit:?} for {what}");
        thread::sleep(LOOK_EVERY);
    }
}

impl Process {
    /// Starts a program whose output goes to files in `dir`.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[&str],
        dir: &Path,
    ) -> io::Result<Self> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
            ended: false,
        })
    }

    /// Starts a program that logs to its standard output; both streams go
    /// to one file in `dir`.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[&str],
        dir: &Path,
    ) -> io::Result<Self> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
            ended: false,
        })
    }

    /// The first line that the process prints.
    ///
    /// # Errors
    ///
    /// If it prints none.
    pub fn first_line(&mut self) -> io::Result<String> {
        let stdout = self.child.stdout.take();
        let stdout = stdout.ok_or_else(|| io::Error::other("no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Ok(raw) = i32::try_from(self.child.id())
            && let Some(pid) = Pid::from_raw(raw)
            && !self.ended
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once, as when its VM fails.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
        self.ended = true;
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to stop.
    pub fn ask_to_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Says that its settings file has changed.
    pub fn tell_settings_changed(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until it has ended; its exit code.
    ///
    /// # Panics
    ///
    /// If it has not ended within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let child = &mut self.child;
        let what = format!("the end of {}", self.name);
        let status =
            wait_for(&what, limit, || child.try_wait().ok().flatten());
        self.ended = true;
        status.code()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            self.kill();
        }
    }
}
