//! Child processes of a test. Signals are sent only to processes that the test
//! itself started.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process. It is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    /// The name of the process in logs and messages.
    pub name: String,
    child: Child,
    ended: bool,
}

/// Calls `poll` until it returns a value, and returns that value.
///
/// # Panics
///
/// Panics if there is none within `limit`; the message names `what`.
pub fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut poll: impl FnMut() -> Option<T>,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            start.elapsed() < limit,
            "timed out after {limit:?} waiting for {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

impl Process {
    /// Starts a program. Its standard error is appended to `NAME.log` in
    /// `dir`; its standard output is a pipe.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the program cannot be
    /// started.
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

    /// Starts a program that logs to its standard output. Both output streams
    /// are appended to `NAME.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the program cannot be
    /// started.
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

    /// Returns the first line that the process prints, or an empty line if it
    /// prints none.
    ///
    /// # Errors
    ///
    /// Returns an error if the standard output is not a pipe, was read before
    /// or cannot be read.
    pub fn first_line(&mut self) -> io::Result<String> {
        let stdout = self.child.stdout.take();
        let stdout = stdout.ok_or_else(|| {
            io::Error::other("standard output is not available")
        })?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }

    /// Returns the process ID.
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

    /// Kills the process (`SIGKILL`), as when its VM fails.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
        self.ended = true;
    }

    /// Pauses the process (`SIGSTOP`).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process run again (`SIGCONT`).
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully (`SIGTERM`).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process to reload its settings file (`SIGHUP`).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until the process has exited. Returns its exit code, or `None` if
    /// a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let child = &mut self.child;
        let what = format!("{} to exit", self.name);
        let status =
            wait_for(&what, limit, || child.try_wait().ok().flatten());
        self.ended = true;
        status.code()
    }

    /// Returns whether the process is still running.
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
