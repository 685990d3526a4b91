//! The entry process: answers callers, and campaigns to be the coordinator.

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
    EntryConfig,
    callers::{CallerService, refused::RefusalPolicy},
    catalog::{self, SharedCatalog},
    drains::SharedDrains,
    lead::{CoordinatorHandle, Operators},
    mesh::{self, Mesh, relay::RelayedKv},
    serve,
};
use crate::{
    config::StartError,
    metrics::{Journal, Metrics},
};

/// The number of threads that answer callers. They block only on store calls
/// and queries to other entries, which are short, so a few threads serve many
/// callers.
const CALLER_THREADS: usize = 12;

/// The part of the deployment's shutdown grace that a stopping entry leaves
/// for its exit. In the rest it finishes the requests that it has read.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// The interval at which a stopping entry checks for open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time for which a stopping entry still accepts connections while it
/// reports that it is not ready. The load balancer stops sending requests to
/// it only after two checks.
const LAME_DUCK_PERIOD: Duration = Duration::from_millis(2200);

/// A running entry.
pub struct FleetEntry {
    runtime: Runtime,
    server: Server,
    draining: Arc<AtomicBool>,
    in_flight: Arc<AtomicUsize>,
    coordinator: CoordinatorHandle,
    mesh: Mesh,
    config: EntryConfig,
    journal: Journal,
}

impl FleetEntry {
    /// Starts an entry, which then runs on its own threads.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if an address can't be listened on or a thread
    /// can't be started.
    pub fn start(config: &EntryConfig) -> Result<Self, StartError> {
        let settings = &config.deployment;
        let runtime = Runtime::start("net").map_err(StartError::Thread)?;
        let journal = Journal {
            timeline: Timeline::new(&settings.name, config.clock.clone()),
            metrics: Metrics::new(),
        };
        let peers = peer::bind(&settings.peer)
            .map_err(|e| StartError::Listen(settings.peer.clone(), e))?;
        let (server, calls) = serve::listen(&runtime, &settings.callers)?;
        let shared_catalog = Arc::new(SharedCatalog::default());
        let draining = Arc::new(AtomicBool::new(false));
        let (mesh, coordinator_inputs) =
            mesh::start(config, runtime.handle(), peers, &journal)?;
        let (ready_catalog, ready_mesh) =
            (shared_catalog.clone(), mesh.clone());
        serve::readiness(
            &runtime,
            &settings.readiness,
            move || {
                ready_catalog.get().is_some()
                    && (ready_catalog
                        .last_read_succeeded
                        .load(Ordering::Relaxed)
                        || ready_mesh.can_write())
                    && ready_mesh.is_registered()
            },
            draining.clone(),
        )?;
        serve::metrics(&runtime, &settings.metrics, &journal)?;
        let direct = config.kv.clone();
        let config = &EntryConfig {
            kv: Arc::new(RelayedKv::new(direct.clone(), mesh.clone())),
            ..config.clone()
        };
        let in_flight = Arc::new(AtomicUsize::new(0));
        let service = CallerService {
            kv: config.kv.clone(),
            clock: config.clock.clone(),
            catalog: shared_catalog.clone(),
            caller_codec: config.caller_codec.clone(),
            journal: journal.clone(),
            in_flight: in_flight.clone(),
            mesh: mesh.clone(),
            refusal_policy: RefusalPolicy::new(settings.features),
        };
        for _ in 0..CALLER_THREADS {
            let (service, calls) = (service.clone(), calls.clone());
            serve::spawn("caller", move || service.run(&calls))?;
        }
        let (follow_config, follow_catalog, follow_journal) =
            (config.clone(), shared_catalog.clone(), journal.clone());
        serve::spawn("catalog", move || {
            catalog::follow(&follow_config, &follow_catalog, &follow_journal);
        })?;
        let drains = SharedDrains::start(config, direct, &journal)?;
        let coordinator = CoordinatorHandle::start(
            config,
            Operators {
                catalog: shared_catalog,
                drains,
            },
            mesh.clone(),
            coordinator_inputs,
            journal.clone(),
        )?;
        let detail =
            format!("callers={} peer={}", settings.callers, settings.peer);
        journal.record_event(Code::ProcessStarted, detail);
        Ok(Self {
            runtime,
            server,
            draining,
            in_flight,
            coordinator,
            mesh,
            config: config.clone(),
            journal,
        })
    }

    /// Returns the journal of this process.
    #[must_use]
    pub fn journal(&self) -> Journal {
        self.journal.clone()
    }

    /// Returns a function that starts draining the process and may be called
    /// from any thread.
    pub fn drain_fn(&self) -> impl Fn() + Send + use<> {
        let draining = self.draining.clone();
        move || draining.store(true, Ordering::Relaxed)
    }

    /// Waits until the process starts draining, and then until the requests
    /// that it has read are answered or the time limit for this has passed.
    pub fn join(self) {
        while !self.draining.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        let clock = &self.config.clock;
        let stopping_since = clock.now();
        let grace = self.config.deployment.limits.shutdown_grace;
        let is_in_time = || {
            let elapsed = clock.now().saturating_sub(stopping_since);
            elapsed + EXIT_MARGIN < grace
        };
        self.journal.record_event(Code::ProcessDraining, "");
        // Another entry can become the coordinator as soon as the lease is
        // released.
        self.coordinator.resign();
        thread::sleep(LAME_DUCK_PERIOD.min(grace / 2));
        self.server.stop();
        while is_in_time() && !self.is_idle() {
            thread::sleep(POLL_INTERVAL);
        }
        if self.is_idle() {
            let name = &self.config.deployment.name;
            self.mesh.leave(&*self.config.kv, name);
        }
        self.journal.record_event(Code::ProcessStopped, "");
        self.runtime.stop();
    }

    fn is_idle(&self) -> bool {
        self.server.open_connections() == 0
            && self.in_flight.load(Ordering::Relaxed) == 0
    }
}
