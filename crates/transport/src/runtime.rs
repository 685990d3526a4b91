//! The thread that runs the asynchronous runtime with all sockets.

use std::{
    future::Future,
    io,
    sync::mpsc,
    thread::{self, JoinHandle},
};

use crossbeam::channel::{Sender, TrySendError};
use tokio::{runtime::Handle, sync::Notify};

/// The time after which [`push`] retries on a full channel.
const FULL_RETRY_INTERVAL: std::time::Duration =
    std::time::Duration::from_millis(1);

/// A running runtime thread. Tasks are spawned onto it with its
/// [`handle`](Self::handle).
pub struct Runtime {
    handle: Handle,
    stop: std::sync::Arc<Notify>,
    thread: JoinHandle<()>,
}

impl Runtime {
    /// Starts the runtime on a new thread called `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its I/O driver can't be created.
    pub fn start(name: &str) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let stop = std::sync::Arc::new(Notify::new());
        let stop_signal = stop.clone();
        let thread =
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || {
                    let result = tokio::runtime::Builder::new_current_thread()
                        .enable_io()
                        .enable_time()
                        .build();
                    match result {
                        Ok(runtime) => {
                            let _ = tx.send(Ok(runtime.handle().clone()));
                            runtime.block_on(stop_signal.notified());
                        }
                        Err(e) => {
                            let _ = tx.send(Err(e));
                        }
                    }
                })?;
        let handle = rx.recv().map_err(|_| {
            io::Error::other("runtime thread ended during startup")
        })??;
        Ok(Self {
            handle,
            stop,
            thread,
        })
    }

    /// Returns a handle that spawns tasks onto the thread.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Stops the thread and waits for it to end. All tasks are dropped, and
    /// their sockets closed.
    pub fn stop(self) {
        self.stop.notify_one();
        let _ = self.thread.join();
    }
}

/// Sends an item from a task to a bounded channel. While the channel is full,
/// the task waits and reads nothing more from its socket, so that the sender
/// at the other end is held back too. Returns `false` if the receiver of the
/// channel was dropped.
pub(crate) async fn push<T>(channel: &Sender<T>, item: T) -> bool {
    let mut item = item;
    loop {
        match channel.try_send(item) {
            Ok(()) => return true,
            Err(TrySendError::Disconnected(_)) => return false,
            Err(TrySendError::Full(returned)) => item = returned,
        }
        tokio::time::sleep(FULL_RETRY_INTERVAL).await;
    }
}

/// Waits for a future for at most `limit`; returns `None` on a timeout.
pub(crate) async fn with_timeout<T>(
    limit: std::time::Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}
