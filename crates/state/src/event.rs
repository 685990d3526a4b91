//! Numbered events and the timeline of a process.
//!
//! Each process keeps its latest events in a bounded ring. Events are stamped
//! with hybrid logical time: the wall clock or the successor of the latest
//! timestamp seen from any process, whichever is larger. An event that was
//! caused by a message therefore always sorts after the event that sent the
//! message, even if the clocks of the machines disagree.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::clock::Clock;

/// The maximum number of events that a process keeps in memory.
pub const MAX_RING_EVENTS: usize = 16_384;

macro_rules! catalogue {
    ($($name:ident $number:literal $level:ident $help:literal,)*) => {
        /// The kinds of events in the catalogue.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Code {
            $(#[doc = $help] $name,)*
        }

        impl Code {
            /// All codes in catalogue order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number used in logs and in the catalogue.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name used in logs and in the catalogue.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns the description in the catalogue.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub const fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)* }
            }
        }
    };
}

catalogue! {
    ProcessStarted 1001 Info "a process has started and accepts connections",
    ProcessDraining 1002 Info "a process accepts no new work and finishes what it has",
    ProcessStopped 1003 Info "a process has finished its work and exits",
    ProcessReloaded 1004 Info "a process has reloaded its settings",
    PeerUp 1101 Info "a stream to another process is open and authenticated",
    PeerDown 1102 Warn "a stream to another process closed or timed out",
    PeerRefused 1103 Warn "another process failed to authenticate",
    RingFull 1104 Warn "a ring buffer between threads or to a peer was full",
    StoreFailed 1201 Warn "the platform's store did not answer a call",
    StoreBack 1202 Info "the platform's store answers again",
    StoreByEntry 1203 Warn "this entry cannot use the store directly; its calls are relayed by another entry, if one can",
    StoreDirect 1204 Info "this entry can use the store directly again",
    EntryRefused 1205 Warn "an item of the store is not a record of figrill and is ignored; another writer left it",
    CommitRejected 1206 Error "the store does not accept a transaction of the coordinator; its parts are written one by one",
    TermGranted 1301 Info "this process coordinates the cell under a new term",
    TermLost 1302 Warn "this process no longer coordinates the cell",
    TermFenced 1303 Warn "an agent refused a message of an older term",
    TermProvisional 1304 Warn "with the store down, this process coordinates without a granted term",
    TermPaused 1305 Warn "the coordinator sends no orders because its lease may have expired",
    TermResumed 1306 Info "the coordinator's lease was renewed in time, so it sends orders again",
    SettingsAdopted 1401 Info "this process adopted a higher revision of the settings",
    SettingsRefused 1402 Warn "a change of the settings was refused",
    WorkerUp 1501 Info "an agent reported its worker to the coordinator",
    WorkerDown 1502 Warn "the coordinator lost contact with a worker's agent",
    UpstreamUp 1503 Info "an upstream announced itself to its agent",
    UpstreamGone 1504 Warn "an upstream left or timed out",
    WorkerQuarantined 1505 Warn "a worker fails far more often than its peers and is given no work",
    WorkerProbed 1506 Info "a quarantined worker is given work again as a probe",
    UpstreamReplaced 1507 Warn "another incarnation took the place of an agent's upstream",
    HeartbeatRefused 1508 Warn "an agent refused a heartbeat, which changed nothing",
    EndsIncomplete 1509 Warn "an upstream has more ended runs than it lists at a time, so runs that it does not list are not given up",
    EndsComplete 1510 Info "an upstream lists all its ended runs again",
    UpstreamFenced 1511 Info "an agent raised the fencing token of its upstream, which now refuses calls that were meant for a former incarnation, or an acknowledgement that it did not answer",
    WorkerRestored 1512 Info "a worker that was suspect is given normal load again",
    SuspicionIgnored 1513 Warn "more than a third of the workers are suspect, so the cause is probably not the workers and suspicions are ignored",
    WorkerSpeed 1515 Debug "the learnt speed of a worker has moved",
    WorkerSlowed 1516 Info "the runs on a worker have suddenly become several times slower",
    WorkerSpeedRestored 1517 Info "a worker that had suddenly become slow no longer counts as such",
    AcknowledgementsHeld 1518 Warn "an upstream did not answer a start, so its agent acknowledges no ends of runs while the start may still be executed",
    DrainStarted 1601 Info "the coordinator starts nothing more on the workers of a failure domain, as an operator requested",
    DrainEnded 1602 Info "the coordinator starts work on the workers of a failure domain again",
    DrainRefused 1603 Warn "a request to drain a failure domain has no valid name and is ignored",
    StartsWithheld 1604 Warn "the coordinator starts nothing until the requests to drain failure domains are read again",
    StartsResumed 1605 Info "the requests to drain failure domains were read again, so the coordinator starts work",
    AllDomainsDrained 1606 Warn "all workers are in drained failure domains, so nothing is started",
    JobAccepted 2001 Debug "an entry accepted a job",
    JobRefused 2002 Info "an entry or the coordinator refused a job; it was not run",
    JobQueued 2003 Debug "the coordinator queued a job",
    JobPlaced 2004 Debug "the coordinator chose workers and asks their agents to reserve capacity",
    JobRequeued 2005 Info "an attempt ended without an outcome for the caller; another follows",
    JobEnded 2006 Debug "the coordinator has a job's outcome",
    JobAnswered 2007 Debug "an entry answered a caller with an outcome",
    JobCancelled 2008 Info "a caller cancelled a job",
    JobAdopted 2009 Info "a new coordinator found a running job in an agent's report",
    KeyConflict 2010 Warn "a caller reused a key with a different body",
    StaleAnswer 2011 Info "the answer of an older attempt was dropped",
    ReclaimStarted 2012 Info "borrowed capacity is being returned to its workspace",
    WriteUnsettled 2013 Info "the store did not answer a write for a job, which may still take effect",
    JobStarted 2014 Debug "the first task of a job has started, so the job is no longer queued",
    RecordRejected 2015 Error "the store does not accept a record of a job; it is written without checkpoints, or the job ends, and all others go on",
    PreemptionDeclined 2016 Debug "waiting work would gain too little by preempting runs, so it waits for capacity that becomes free",
    JobMoved 2017 Info "the queue of a job belongs to another service, which runs what has not started of the job",
    JobWaits 2018 Debug "a task of a job would fit on free capacity and waits for the given reason",
    JobBlocked 2019 Info "a task or gang gets capacity neither when runs end nor by stopping those that it may stop",
    JobOversized 2020 Warn "a task of a job needs more than any worker of its service has offered, so the job may never run",
    GrantHeld 3001 Debug "an agent reserved capacity for a gang",
    GrantRefused 3002 Debug "an agent refused to reserve capacity",
    GrantReleased 3003 Debug "an agent released a reservation",
    GrantLapsed 3004 Info "a reservation or a commitment lapsed before its start",
    GangReady 3101 Debug "a member reported to the lead that it is ready",
    GangCommitted 3102 Debug "a member acknowledged the commit",
    GangStarted 3103 Debug "the lead decided that the gang starts",
    GangAborted 3104 Info "the lead aborted the gang before any part ran",
    PartStarted 3105 Debug "a part was started on its upstream",
    PartEnded 3106 Debug "a part ended on its upstream",
    PartStopped 3107 Info "a part was stopped",
    GangFailed 3108 Info "a part was lost or failed; the lead stops the rest",
    GangDone 3109 Debug "the lead has the complete answer",
    RunLeaseLapsed 3110 Warn "a member lost contact with its lead and stops its part",
    PartUnsettled 3111 Info "the upstream of a part has ended, but the next incarnation may still begin it, so its task waits",
}

/// A timestamp in hybrid logical time.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub ms: u64,
    /// A counter that orders events with the same `ms`.
    pub count: u32,
}

/// A recorded event.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When the event happened.
    pub at: Stamp,
    /// The name of the process that recorded the event.
    pub process: String,
    /// The event's number in the catalogue.
    pub number: u16,
    /// The event's name in the catalogue.
    pub name: String,
    /// The job that the event is about; empty if there is none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub job: String,
    /// Details as space-separated `key=value` pairs.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// An event that is yet to be recorded: it has no timestamp or process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewEvent {
    /// The kind of event.
    pub code: Code,
    /// The job that the event is about, if any.
    pub job: Option<crate::job::JobId>,
    /// Details as space-separated `key=value` pairs.
    pub detail: String,
}

impl NewEvent {
    /// Returns an event that is not about a job.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            job: None,
            detail: detail.into(),
        }
    }

    /// Returns an event about a job.
    pub fn for_job(
        code: Code,
        job: crate::job::JobId,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            code,
            job: Some(job),
            detail: detail.into(),
        }
    }
}

struct Ring {
    /// The latest timestamp that was issued or observed.
    last_stamp: Stamp,
    /// The latest events, oldest first.
    events: VecDeque<Event>,
}

/// The ring of the latest events of a process. Clones share the ring.
#[derive(Clone)]
pub struct Timeline {
    process: Arc<str>,
    clock: Arc<dyn Clock>,
    ring: Arc<Mutex<Ring>>,
}

impl Timeline {
    /// Returns an empty timeline for the process with this name.
    #[must_use]
    pub fn new(process: &str, clock: Arc<dyn Clock>) -> Self {
        let ring = Ring {
            last_stamp: Stamp::default(),
            events: VecDeque::new(),
        };
        Self {
            process: process.into(),
            clock,
            ring: Arc::new(Mutex::new(ring)),
        }
    }

    /// Logs an event, stamps it and adds it to the ring. A full ring drops its
    /// oldest event.
    pub fn record(&self, event: &NewEvent) {
        let job = event.job.map(|j| j.to_string()).unwrap_or_default();
        log::log!(
            event.code.level(),
            "E{} {} process={} job={job} {}",
            event.code.number(),
            event.code.name(),
            self.process,
            event.detail
        );
        let at = self.stamp();
        let event = Event {
            at,
            process: self.process.to_string(),
            number: event.code.number(),
            name: event.code.name().to_owned(),
            job,
            detail: event.detail.clone(),
        };
        let mut ring = self.lock();
        if ring.events.len() == MAX_RING_EVENTS {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// Returns the next timestamp, for an event or an outgoing message.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let since_epoch =
            self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let ms = millis(since_epoch.unwrap_or_default());
        let mut ring = self.lock();
        let last = ring.last_stamp;
        ring.last_stamp = if ms > last.ms {
            Stamp { ms, count: 0 }
        } else {
            Stamp {
                ms: last.ms,
                count: last.count + 1,
            }
        };
        ring.last_stamp
    }

    /// Advances the logical clock to at least the timestamp of a received
    /// message, so that all later timestamps of this process are higher.
    pub fn observe(&self, seen: Stamp) {
        let mut ring = self.lock();
        ring.last_stamp = ring.last_stamp.max(seen);
    }

    /// Returns the events in the ring, oldest first: those about the given
    /// job, or all.
    #[must_use]
    pub fn events(&self, job: Option<&str>) -> Vec<Event> {
        let ring = self.lock();
        let wanted = |e: &&Event| job.is_none_or(|j| e.job == j);
        ring.events.iter().filter(wanted).cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
