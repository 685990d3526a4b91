//! Numbered events and the time line that they make.
//!
//! Each process keeps its latest events in a bounded ring, stamped with
//! hybrid logical time: the wall clock, or one more than the latest stamp
//! seen from any process, whichever is larger. So an event that was caused
//! by a message always sorts after the event that sent it, even where the
//! machines' clocks disagree.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::clock::Clock;

/// The most events that a process keeps.
pub const MAX_RING_EVENTS: usize = 16_384;

macro_rules! catalogue {
    ($($name:ident $number:literal $level:ident $help:literal,)*) => {
        /// What can happen, by number.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Code {
            $(#[doc = $help] $name,)*
        }

        impl Code {
            /// All codes in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number that logs and the catalogue use.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The name that logs and the catalogue use.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// What it means.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }

            /// How it is logged.
            #[must_use]
            pub const fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)* }
            }
        }
    };
}

catalogue! {
    ProcessStarted 1001 Info "a process listens and serves",
    ProcessDraining 1002 Info "a process takes no new work and finishes what it has",
    ProcessStopped 1003 Info "a process has finished and ends",
    ProcessReloaded 1004 Info "a process has read its settings again",
    PeerUp 1101 Info "a stream to another process is open and authenticated",
    PeerDown 1102 Warn "a stream to another process ended or fell silent",
    PeerRefused 1103 Warn "another process failed to authenticate",
    RingFull 1104 Warn "a ring between threads or to a peer was full",
    StoreFailed 1201 Warn "the platform's store did not answer a call",
    StoreBack 1202 Info "the platform's store answers again",
    StoreByEntry 1203 Warn "the store turns this entry away; its calls go through another one, if one reaches it",
    StoreDirect 1204 Info "the store answers this entry itself again",
    TermGranted 1301 Info "this process coordinates the cell under a new term",
    TermLost 1302 Warn "this process coordinates the cell no longer",
    TermFenced 1303 Warn "an agent refused a message of an older term",
    TermProvisional 1304 Warn "with the store down, this process coordinates without a granted term",
    SettingsAdopted 1401 Info "a higher revision of the settings is in force here",
    SettingsRefused 1402 Warn "a change of the settings was refused",
    WorkerUp 1501 Info "an agent reports its worker to the coordinator",
    WorkerDown 1502 Warn "the coordinator lost a worker's agent",
    UpstreamUp 1503 Info "an upstream announced itself to the agent beside it",
    UpstreamGone 1504 Warn "an upstream left or fell silent",
    WorkerQuarantined 1505 Warn "a worker fails much more than its peers and gets no work",
    WorkerProbed 1506 Info "a quarantined worker is tried again",
    JobAccepted 2001 Debug "an entry accepted a job",
    JobRefused 2002 Info "an entry or the coordinator refused a job; it was not run",
    JobQueued 2003 Debug "the coordinator queued a job",
    JobPlaced 2004 Debug "the coordinator chose workers and asks them to hold",
    JobRequeued 2005 Info "an attempt ended without an outcome for the caller; another follows",
    JobEnded 2006 Debug "the coordinator has a job's outcome",
    JobAnswered 2007 Debug "an entry answered a caller with an outcome",
    JobCancelled 2008 Info "a caller cancelled a job",
    JobAdopted 2009 Info "a new coordinator found a running job in an agent's report",
    KeyConflict 2010 Warn "a caller's key came with another body",
    StaleAnswer 2011 Info "the answer of an older attempt was dropped",
    ReclaimStarted 2012 Info "borrowed capacity is being returned to its workspace",
    WriteUnsettled 2013 Info "the store did not answer for a job, and a write of it may land yet",
    GrantHeld 3001 Debug "an agent holds capacity for a gang",
    GrantRefused 3002 Debug "an agent refused to hold capacity",
    GrantReleased 3003 Debug "an agent released a hold",
    GrantLapsed 3004 Info "a hold or a promise lapsed before its start",
    GangReady 3101 Debug "a member told the lead that it is ready",
    GangCommitted 3102 Debug "a member acknowledged the commit",
    GangStarted 3103 Debug "the lead decided that the gang starts",
    GangAborted 3104 Info "the lead gave the gang up before any part ran",
    PartStarted 3105 Debug "a part was started on its upstream",
    PartEnded 3106 Debug "a part ended on its upstream",
    PartStopped 3107 Info "a part was stopped",
    GangFailed 3108 Info "a part was lost or failed; the lead stops the rest",
    GangDone 3109 Debug "the lead has the whole answer",
    RunLeaseLapsed 3110 Warn "a member heard nothing of its lead and stops its part",
}

/// Hybrid logical time: milliseconds since the Unix epoch and a counter.
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
    /// Orders events of the same millisecond.
    pub count: u32,
}

/// One event as it was recorded.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub at: Stamp,
    /// The process that recorded it.
    pub process: String,
    /// Its number in the catalogue.
    pub number: u16,
    /// Its name in the catalogue.
    pub name: String,
    /// The job, if it is about one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub job: String,
    /// More, as `key=value` words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// Something that happened, before it is stamped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewEvent {
    /// What.
    pub code: Code,
    /// The job, if it is about one.
    pub job: Option<crate::job::JobId>,
    /// More, as `key=value` words.
    pub detail: String,
}

impl NewEvent {
    /// A note without a job.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            job: None,
            detail: detail.into(),
        }
    }

    /// A note about a job.
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
    last: Stamp,
    events: VecDeque<Event>,
}

/// A process's ring of events; clones share it.
#[derive(Clone)]
pub struct Timeline {
    process: Arc<str>,
    clock: Arc<dyn Clock>,
    ring: Arc<Mutex<Ring>>,
}

impl Timeline {
    /// An empty ring for the process of this name.
    #[must_use]
    pub fn new(process: &str, clock: Arc<dyn Clock>) -> Self {
        let ring = Ring {
            last: Stamp::default(),
            events: VecDeque::new(),
        };
        Self {
            process: process.into(),
            clock,
            ring: Arc::new(Mutex::new(ring)),
        }
    }

    /// Records and logs an event.
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

    /// The next stamp, for an event or a message that leaves.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let ms = millis(since.unwrap_or_default());
        let mut ring = self.lock();
        let last = ring.last;
        ring.last = if ms > last.ms {
            Stamp { ms, count: 0 }
        } else {
            Stamp {
                ms: last.ms,
                count: last.count + 1,
            }
        };
        ring.last
    }

    /// Takes note of the stamp on a message that came.
    pub fn observe(&self, seen: Stamp) {
        let mut ring = self.lock();
        ring.last = ring.last.max(seen);
    }

    /// The events kept, oldest first, of one job or of all.
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
