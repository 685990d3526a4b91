//! The one thread that runs all sockets.

use std::{
    future::Future,
    io,
    sync::mpsc,
    thread::{self, JoinHandle},
};

use crossbeam::channel::{Sender, TrySendError};
use tokio::{runtime::Handle, sync::Notify};

/// Time between two looks at a ring that is full.
const FULL_WAIT: std::time::Duration = std::time::Duration::from_millis(1);

/// A running runtime thread; clones of its handle spawn onto it.
pub struct Runtime {
    handle: Handle,
    stop: std::sync::Arc<Notify>,
    thread: JoinHandle<()>,
}

impl Runtime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// If the thread or its poller can't be made.
    pub fn start(name: &str) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let stop = std::sync::Arc::new(Notify::new());
        let stopped = stop.clone();
        let thread =
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || {
                    let built = tokio::runtime::Builder::new_current_thread()
                        .enable_io()
                        .enable_time()
                        .build();
                    match built {
                        Ok(runtime) => {
                            let _ = tx.send(Ok(runtime.handle().clone()));
                            runtime.block_on(stopped.notified());
                        }
                        Err(e) => {
                            let _ = tx.send(Err(e));
                        }
                    }
                })?;
        let handle = rx
            .recv()
            .map_err(|_| io::Error::other("the runtime thread ended"))??;
        Ok(Self {
            handle,
            stop,
            thread,
        })
    }

    /// Spawns onto the thread.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Ends all sockets and the thread.
    pub fn stop(self) {
        self.stop.notify_one();
        let _ = self.thread.join();
    }
}

/// Puts an item into a ring from a task; while the ring is full the task
/// waits, and with it whoever sends on that socket. `false` if the ring's
/// other end is gone.
pub(crate) async fn push<T>(ring: &Sender<T>, item: T) -> bool {
    let mut item = item;
    loop {
        match ring.try_send(item) {
            Ok(()) => return true,
            Err(TrySendError::Disconnected(_)) => return false,
            Err(TrySendError::Full(back)) => item = back,
        }
        tokio::time::sleep(FULL_WAIT).await;
    }
}

/// Waits for a future for at most `limit`.
pub(crate) async fn within<T>(
    limit: std::time::Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}
