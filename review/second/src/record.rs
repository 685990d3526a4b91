//! The record of a case: what was sent, answered and run, with the time since
//! the start of the case.

use std::{
    cell::RefCell,
    fs::File,
    io::{self, Write},
    path::Path,
    time::{Duration, Instant},
};

/// Writes the lines of `record.txt`.
pub struct Record {
    file: RefCell<File>,
    start: Instant,
}

impl Record {
    /// Creates an empty record.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: RefCell::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    /// Returns the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line. A record that can't be written does not end the case.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let _ = writeln!(self.file.borrow_mut(), "{at:9.3} {text}");
    }
}
