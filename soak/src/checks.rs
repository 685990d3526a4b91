//! What must hold when the faults are over, and what must never have
//! happened.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::{
    client::{Client, job},
    site::Site,
};

use crate::{
    callers::{Desk, Word},
    faults::Leaving,
};

/// Each entry serves again within this.
const SERVES_WITHIN: Duration = Duration::from_secs(15);

/// All that was accepted has ended within this.
const ENDS_WITHIN: Duration = Duration::from_secs(45);

/// An upstream that leaves gets no new work after this, in milliseconds.
const DRAIN_MS: u64 = 2000;

/// How long a job may have no state while entries come back.
const AGAIN: Duration = Duration::from_millis(150);

/// Whether each entry serves a new job in time.
pub fn serves_again(site: &Site, broken: &mut Vec<String>) {
    for (i, member) in site.entries.iter().enumerate() {
        let id = 0xAAAA_0000 + i as u64;
        let begun = Instant::now();
        let work = job(1, 1, 50, false);
        let served = wait(SERVES_WITHIN, || {
            let client = &site.client;
            client.submit(member.address, id, &work).status == 200
                && client.state(member.address, id) == "done"
        });
        if !served {
            let took = begun.elapsed();
            broken.push(format!("{} does not serve: {took:?}", member.name));
        }
    }
}

/// Whether all that was accepted ends, and every entry says the same of it.
pub fn all_end(site: &Site, desk: &Desk) {
    let open: Vec<u64> = {
        let records = desk.records();
        let accepted = records
            .jobs
            .iter()
            .filter(|(_, told)| told.has(Word::Accepted));
        accepted.map(|(id, _)| *id).collect()
    };
    let begun = Instant::now();
    for id in open {
        let left = ENDS_WITHIN.saturating_sub(begun.elapsed());
        let ended = wait(left.max(AGAIN * 4), || {
            ask_all(&site.client, &desk.entries, desk, id)
        });
        if !ended {
            let text = format!("{id:x}: accepted, and does not end");
            desk.records().broken.push(text);
        }
    }
}

/// Asks each entry for a job's state; whether all say that it has ended.
fn ask_all(
    client: &Client,
    entries: &[SocketAddr],
    desk: &Desk,
    id: u64,
) -> bool {
    let mut ended = true;
    for entry in entries {
        let state = client.state(*entry, id);
        ended &= ["done", "failed", "canceled"].contains(&state.as_str());
        desk.records().see(id, &state);
    }
    ended
}

fn wait(limit: Duration, look: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    loop {
        if look() {
            return true;
        }
        if begun.elapsed() >= limit {
            return false;
        }
        thread::sleep(AGAIN);
    }
}

/// What the upstreams saw against what callers were told.
pub fn upstreams_saw(site: &Site, desk: &Desk, leaving: &[Leaving]) {
    let pool = site.workers.pool();
    let mut records = desk.records();
    for violation in &pool.violations {
        records.broken.push(format!("upstreams: {}", violation.0));
    }
    let refused: Vec<String> = records
        .jobs
        .iter()
        .filter(|(_, t)| {
            let open = t.has(Word::Open) || t.has(Word::Accepted);
            t.has(Word::Refused) && !open
        })
        .map(|(id, _)| format!("{id:016x}."))
        .collect();
    for line in pool.trace.iter().filter(|l| l.contains(" start ")) {
        if refused.iter().any(|id| line.contains(id)) {
            records
                .broken
                .push(format!("called not run, and ran: {line}"));
        }
        let at: u64 = line
            .split(' ')
            .next()
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let late = |l: &&Leaving| {
            line.ends_with(&l.agent)
                && at > l.from_ms + DRAIN_MS
                && at < l.to_ms
        };
        if let Some(left) = leaving.iter().find(late) {
            let text = format!("work for one that leaves: {line} {left:?}");
            records.broken.push(text);
        }
    }
}
