//! Log lines on their way out. Whoever logs never waits: lines go through a
//! bounded ring, and what does not fit is left out and counted.

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

/// Lines that may wait to be written.
const RING_LINES: usize = 4096;

/// The most lines that are written in a second.
const LINES_PER_S: u32 = 2000;

/// Time between two words on lines that were left out.
const SECOND: Duration = Duration::from_secs(1);

/// The end that log lines are written to.
pub struct Lines {
    tx: Sender<Vec<u8>>,
    line: Vec<u8>,
    left_out: Arc<AtomicU64>,
}

impl Lines {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// If there is no thread for it.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = bounded(RING_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = left_out.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&rx, &counted, out))?;
        Ok(Self {
            tx,
            line: Vec::new(),
            left_out,
        })
    }
}

impl Write for Lines {
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
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes lines until the other end of the ring is gone.
fn write_all(
    rx: &Receiver<Vec<u8>>,
    left_out: &AtomicU64,
    mut out: impl Write,
) {
    let mut since = Instant::now();
    let mut written = 0;
    loop {
        let line = match rx.recv_timeout(SECOND) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if since.elapsed() >= SECOND {
            since = Instant::now();
            written = 0;
            say_left_out(left_out, &mut out);
        }
        let Some(line) = line else {
            continue;
        };
        written += 1;
        if written > LINES_PER_S {
            left_out.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        // Nobody reads the log any more; the process goes on without.
        let _ = out.write_all(&line);
    }
}

fn say_left_out(left_out: &AtomicU64, out: &mut impl Write) {
    let count = left_out.swap(0, Ordering::Relaxed);
    if count > 0 {
        let code = Code::RingFull;
        let (number, name) = (code.number(), code.name());
        let _ = writeln!(
            out,
            "[WARN] E{number} {name} process= job= log lines left out={count}"
        );
    }
}
