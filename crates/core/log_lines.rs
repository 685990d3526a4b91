//! Non-blocking output of log lines.
//!
//! A thread that logs must never wait for the reader of the log. Lines go
//! through a bounded queue to a writer thread, which limits their rate. Lines
//! that exceed the queue or the rate are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use figrill_state::event::Code;

/// The maximum number of lines that are queued for writing.
const LINE_QUEUE_CAPACITY: usize = 4096;

/// The maximum number of lines that are written in one [`RATE_WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 2000;

/// The period over which written lines are counted, and after which the number
/// of dropped lines is reported.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A writer for the logger that queues each complete line.
pub struct LogWriter {
    tx: Sender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = bounded(LINE_QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &counter, out))?;
        Ok(Self {
            tx,
            line: Vec::new(),
            dropped,
        })
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.ends_with(b"\n") {
            self.flush()?;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes queued lines until the [`LogWriter`] is dropped.
fn write_lines(
    rx: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    mut out: impl Write,
) {
    let mut window_start = Instant::now();
    let mut written = 0;
    loop {
        let line = match rx.recv_timeout(RATE_WINDOW) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if window_start.elapsed() >= RATE_WINDOW {
            window_start = Instant::now();
            written = 0;
            report_dropped(dropped, &mut out);
        }
        let Some(line) = line else {
            continue;
        };
        written += 1;
        if written > MAX_LINES_PER_WINDOW {
            dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        // A write fails if the reader of the log is gone. The process must
        // keep running without it.
        let _ = out.write_all(&line);
    }
}

/// Writes the number of dropped lines as a log line of its own, and resets it.
fn report_dropped(dropped: &AtomicU64, out: &mut impl Write) {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let code = Code::RingFull;
        let (number, name) = (code.number(), code.name());
        let _ = writeln!(
            out,
            "[WARN] E{number} {name} process= job= log lines left out={count}"
        );
    }
}
