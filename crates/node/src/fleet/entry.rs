//! An entry: answers callers, and may coordinate.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_state::event::{Code, Timeline};
use figrill_transport::{http::Server, peer, runtime::Runtime};

use super::{
    EntryParts,
    callers::CallerService,
    catalog::{self, Shared},
    lead::Lead,
    mesh::{self, Mesh, relay::RelayedKv},
    serve,
};
use crate::{
    config::StartError,
    metrics::{Journal, Metrics},
};

/// Callers that are answered at the same time. Each waits for the store at
/// most, so a few serve many.
const CALLER_THREADS: usize = 12;

/// How long a stopping entry goes on for callers that it has read.
const DRAIN: Duration = Duration::from_millis(4500);

/// Time between two looks at what is left.
const LOOK: Duration = Duration::from_millis(20);

/// How long an entry that stops still takes new connections: the balancer
/// needs two checks to notice.
const NOTICE: Duration = Duration::from_millis(2200);

/// A running entry.
pub struct FleetEntry {
    runtime: Runtime,
    server: Server,
    draining: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    lead: Lead,
    mesh: Mesh,
    parts: EntryParts,
    journal: Journal,
}

impl FleetEntry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Any [`StartError`].
    pub fn start(parts: &EntryParts) -> Result<Self, StartError> {
        let settings = &parts.deployment;
        let runtime = Runtime::start("net").map_err(StartError::Thread)?;
        let journal = Journal {
            timeline: Timeline::new(&settings.name, parts.clock.clone()),
            metrics: Metrics::new(),
        };
        let peers = peer::bind(&settings.peer)
            .map_err(|e| StartError::Listen(settings.peer.clone(), e))?;
        let (server, calls) = serve::listen(&runtime, &settings.callers)?;
        let shared = Arc::new(Shared::default());
        let draining = Arc::new(AtomicBool::new(false));
        let (mesh, agents) =
            mesh::start(parts, runtime.handle(), peers, &journal)?;
        let (seen, known) = (shared.clone(), mesh.clone());
        serve::readiness(
            &runtime,
            &settings.readiness,
            move || {
                seen.get().is_some()
                    && seen.store_up.load(Ordering::Relaxed)
                    && known.is_registered()
            },
            draining.clone(),
        )?;
        serve::metrics(&runtime, &settings.metrics, &journal)?;
        let parts = &EntryParts {
            kv: Arc::new(RelayedKv::new(
                parts.kv.clone(),
                mesh.clone(),
                parts.clock.clone(),
            )),
            ..parts.clone()
        };
        let open = Arc::new(AtomicUsize::new(0));
        let desk = CallerService {
            kv: parts.kv.clone(),
            clock: parts.clock.clone(),
            catalog: shared.clone(),
            callers: parts.callers.clone(),
            journal: journal.clone(),
            open: open.clone(),
            mesh: mesh.clone(),
        };
        for _ in 0..CALLER_THREADS {
            let (desk, calls) = (desk.clone(), calls.clone());
            serve::start("caller", move || desk.run(&calls))?;
        }
        let (follower, kept, said) =
            (parts.clone(), shared.clone(), journal.clone());
        serve::start("catalog", move || {
            catalog::follow(&follower, &kept, &said);
        })?;
        let lead =
            Lead::start(parts, shared, mesh.clone(), agents, journal.clone())?;
        let detail =
            format!("callers={} peer={}", settings.callers, settings.peer);
        journal.record_event(Code::ProcessStarted, detail);
        Ok(Self {
            runtime,
            server,
            draining,
            open,
            lead,
            mesh,
            parts: parts.clone(),
            journal,
        })
    }

    /// Where this process notes what happens.
    #[must_use]
    pub fn journal(&self) -> Journal {
        self.journal.clone()
    }

    /// What begins a graceful shutdown from another thread.
    pub fn drainer(&self) -> impl Fn() + Send + use<> {
        let draining = self.draining.clone();
        move || draining.store(true, Ordering::Relaxed)
    }

    /// Waits until the process is told to stop and has finished what it
    /// had read.
    pub fn join(self) {
        while !self.draining.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        self.journal.record_event(Code::ProcessDraining, "");
        // The duty goes to another entry at once.
        self.lead.resign();
        thread::sleep(NOTICE);
        self.server.stop();
        let mut waited = NOTICE;
        while waited < DRAIN && !self.is_idle() {
            thread::sleep(LOOK);
            waited += LOOK;
        }
        if self.is_idle() {
            let name = &self.parts.deployment.name;
            self.mesh.leave(&*self.parts.kv, name);
        }
        self.journal.record_event(Code::ProcessStopped, "");
        self.runtime.stop();
    }

    fn is_idle(&self) -> bool {
        self.server.open_connections() == 0
            && self.open.load(Ordering::Relaxed) == 0
    }
}
