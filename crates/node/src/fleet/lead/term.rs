//! The lease of the coordinator and the term for which a process holds it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_state::{
    batch::keys,
    clock::Clock,
    kv::{Attachment, Item, Kv, KvError, LeaseId, Txn},
};

use crate::fleet::{STORE_RETRY_DELAY, STORE_TIMEOUT, serve};

/// The time to live of the coordinator's lease.
pub(super) const LEASE_TTL: Duration = Duration::from_millis(1800);

/// The interval of lease renewals, and the time limit for each of them.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// How much earlier than the store the holder treats its lease as expired, so
/// that it sends no orders when another process may already hold the lease.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// The maximum wait of a candidate for the lease to be released or to expire
/// before it reads the key again.
pub(super) const CANDIDATE_WATCH_TIMEOUT: Duration =
    Duration::from_millis(1500);

/// The state that the threads of one term share.
pub(super) struct Term {
    pub(super) kv: Arc<dyn Kv>,
    clock: Arc<dyn Clock>,
    lease: LeaseId,
    /// The fencing token.
    pub(super) token: u64,
    /// Set when the lease is lost or the process stops coordinating.
    pub(super) ended: AtomicBool,
    /// The time at which the holder treats its lease as expired, in
    /// milliseconds of the clock of this process.
    valid_until_ms: AtomicU64,
}

/// The result of an attempt to acquire the lease.
pub(super) enum Attempt {
    /// This process holds the lease.
    Acquired(Term),
    /// Another process holds it, or held it until just now. `holder` is the
    /// name of that process.
    Held {
        /// The name of the process, if its record could be read.
        holder: Option<String>,
        /// The revision of the store after which to wait for a change.
        revision: u64,
    },
}

impl Term {
    /// Acquires the lease for the process `name` if no process holds it, and
    /// none acquires it within `deferral`. `incarnation` tells this start of
    /// the process from earlier ones.
    ///
    /// A record that is attached to no lease would never end. Another writer
    /// has left it, so it is replaced.
    pub(super) fn acquire(
        kv: &Arc<dyn Kv>,
        clock: &Arc<dyn Clock>,
        name: &str,
        incarnation: u64,
        deferral: Duration,
    ) -> Result<Attempt, KvError> {
        let (mut existing, mut revision) = read_record(&**kv)?;
        if existing.is_none() && !deferral.is_zero() {
            thread::sleep(deferral);
            (existing, revision) = read_record(&**kv)?;
        }
        let holder = existing.as_ref().and_then(holder_name);
        let lacks_lease = existing
            .as_ref()
            .is_some_and(|item| item.attachment == Attachment::None);
        if holder.is_some() && !(lacks_lease && reports_leases(&**kv)?) {
            return Ok(Attempt::Held { holder, revision });
        }
        if existing.is_some() {
            log::warn!(
                "replacing the record of the coordinator: it names no process \
                 or has no lease"
            );
        }
        let sent_at = clock.now();
        let lease = kv.grant(LEASE_TTL, STORE_TIMEOUT)?;
        // The lease tells this attempt from an earlier one, whose write may
        // be applied late.
        let holder = format!("{name} {incarnation} {}", lease.0);
        let txn = Txn {
            conditions: vec![(
                keys::COORDINATOR.to_owned(),
                existing.map_or(0, |item| item.revision),
            )],
            puts: vec![(
                keys::COORDINATOR.to_owned(),
                holder.clone().into_bytes(),
                Some(lease),
            )],
            removes: Vec::new(),
        };
        let token = match kv.commit(&txn, STORE_TIMEOUT) {
            Ok(revision) => revision,
            // The write may have been applied although its answer was lost.
            // The record is then the one that this attempt wrote.
            Err(KvError::Unanswered(_) | KvError::Conflict(_)) => {
                let current = kv.get(keys::COORDINATOR, STORE_TIMEOUT)?;
                match current {
                    Some(i) if i.value == holder.as_bytes() => i.revision,
                    other => {
                        return Ok(Attempt::Held {
                            holder: other.as_ref().and_then(holder_name),
                            revision,
                        });
                    }
                }
            }
            Err(e) => return Err(e),
        };
        Ok(Attempt::Acquired(Self {
            kv: kv.clone(),
            clock: clock.clone(),
            lease,
            token,
            ended: AtomicBool::new(false),
            valid_until_ms: AtomicU64::new(lease_expiry_ms(sent_at)),
        }))
    }

    /// Starts the thread that renews the lease until the term has ended.
    pub(super) fn start_renewal(term: &Arc<Self>) -> Result<(), String> {
        let term = term.clone();
        serve::spawn("lease", move || {
            while !term.ended.load(Ordering::Relaxed) {
                let sent_at = term.clock.now();
                match term.kv.renew(term.lease, RENEWAL_INTERVAL) {
                    Ok(()) => {
                        term.valid_until_ms.store(
                            lease_expiry_ms(sent_at),
                            Ordering::Relaxed,
                        );
                        thread::sleep(RENEWAL_INTERVAL);
                    }
                    Err(KvError::LeaseNotFound) => {
                        term.ended.store(true, Ordering::Relaxed);
                    }
                    Err(e) => {
                        log::debug!(
                            "failed to renew the coordinator's lease: {e}"
                        );
                        thread::sleep(STORE_RETRY_DELAY);
                    }
                }
            }
        })
        .map_err(|e| e.to_string())
    }

    /// Returns whether this process may still send orders.
    pub(super) fn is_valid(&self) -> bool {
        let now = self.clock.now().as_millis();
        let valid_until = self.valid_until_ms.load(Ordering::Relaxed);
        !self.ended.load(Ordering::Relaxed) && now < u128::from(valid_until)
    }

    /// Returns whether the term is over for good. A term that is not valid may
    /// become so again: while the store does not answer, the lease may go on,
    /// and then no other process can have taken over.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Ends the term and releases the lease.
    pub(super) fn release(&self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Err(e) = self.kv.revoke(self.lease, STORE_TIMEOUT) {
            log::debug!("failed to release the coordinator's lease: {e}");
        }
    }
}

/// Reads the record of the lease, and the revision of the store after which to
/// wait for a change of it.
fn read_record(kv: &dyn Kv) -> Result<(Option<Item>, u64), KvError> {
    // Only a listing returns such a revision. It may also contain longer keys.
    let listing = kv.list(keys::COORDINATOR, STORE_TIMEOUT)?;
    let mut items = listing.items.into_iter();
    let record = items.find(|item| item.key == keys::COORDINATOR);
    Ok((record, listing.revision))
}

/// Returns whether the store says of keys which lease they are attached to. Each
/// entry's record is attached to one, so a store that shows none of them can't
/// be believed when it shows none for another key.
fn reports_leases(kv: &dyn Kv) -> Result<bool, KvError> {
    let entries = kv.list(keys::ENTRIES, STORE_TIMEOUT)?;
    let is_leased =
        |item: &Item| matches!(item.attachment, Attachment::Lease(_));
    Ok(entries.items.iter().any(is_leased))
}

/// Returns the name of the process that a record of the lease names. `None` if
/// it has not the form that every holder writes: a name, an incarnation and,
/// since that is written too, a lease.
fn holder_name(record: &Item) -> Option<String> {
    let text = std::str::from_utf8(&record.value).ok()?;
    let mut words = text.split(' ');
    let name = words.next().filter(|name| !name.is_empty())?;
    let numbers: Vec<u64> =
        words.map(str::parse).collect::<Result<_, _>>().ok()?;
    matches!(numbers.len(), 1 | 2).then(|| name.to_owned())
}

/// Returns the time at which the holder of a lease that was granted or renewed
/// by a call sent at `sent_at` treats it as expired, in milliseconds.
fn lease_expiry_ms(sent_at: Duration) -> u64 {
    let valid_until = sent_at + LEASE_TTL.saturating_sub(LEASE_SAFETY_MARGIN);
    u64::try_from(valid_until.as_millis()).unwrap_or(u64::MAX)
}
