//! The types that are encoded on the wire.
//!
//! They mirror the types of the other crates and are kept apart from them, so
//! that the types used in memory can change without a change of the wire
//! format. Only these types derive the traits of `bincode`, which encodes
//! fields and variants by position: the order of fields and variants here is
//! part of the protocol.
//!
//! A wire type has the name of the type that it mirrors. In the conversions,
//! `v` is the value in memory and `w` is its wire form.

use std::time::Duration;

use bincode::{Decode, Encode};
use displaydoc::Display;
use figrill_coordination::message;
use figrill_state::{error, job};

mod agent;
mod dispatch;
mod entry;
mod frame;
mod gang;
mod job_wire;
mod state;

pub use frame::Frame;

/// a value in the message is out of range
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct WireError;

impl std::error::Error for WireError {}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Converts all elements from their wire types; fails at the first that is
/// invalid.
fn try_convert_all<W, T: TryFrom<W, Error = WireError>>(
    list: Vec<W>,
) -> Result<Vec<T>, WireError> {
    list.into_iter().map(T::try_from).collect()
}

#[derive(Encode, Decode)]
pub struct JobId(u128);

impl From<job::JobId> for JobId {
    fn from(v: job::JobId) -> Self {
        Self(v.0)
    }
}

impl TryFrom<JobId> for job::JobId {
    type Error = WireError;

    fn try_from(w: JobId) -> Result<Self, WireError> {
        Ok(Self(w.0))
    }
}

#[derive(Encode, Decode)]
pub struct Attempt(u64);

impl From<job::Attempt> for Attempt {
    fn from(v: job::Attempt) -> Self {
        Self(v.0)
    }
}

impl TryFrom<Attempt> for job::Attempt {
    type Error = WireError;

    fn try_from(w: Attempt) -> Result<Self, WireError> {
        Ok(Self(w.0))
    }
}

/// An [`error::Kind`], encoded as its index in [`error::Kind::ALL`]. The
/// receiver rejects an index that is out of range.
#[derive(Encode, Decode)]
pub struct Kind(u8);

impl From<error::Kind> for Kind {
    fn from(v: error::Kind) -> Self {
        let index = error::Kind::ALL.iter().position(|k| *k == v);
        Self(index.and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX))
    }
}

impl TryFrom<Kind> for error::Kind {
    type Error = WireError;

    fn try_from(w: Kind) -> Result<Self, WireError> {
        Self::ALL.get(usize::from(w.0)).copied().ok_or(WireError)
    }
}

/// An attempt, the description of its job, and its outcome.
#[derive(Encode, Decode)]
pub struct OutcomeReport(agent::Run, agent::JobHeader, agent::RunOutcome);

impl From<(message::Run, message::JobHeader, message::RunOutcome)>
    for OutcomeReport
{
    fn from(
        v: (message::Run, message::JobHeader, message::RunOutcome),
    ) -> Self {
        Self(v.0.into(), v.1.into(), v.2.into())
    }
}

impl TryFrom<OutcomeReport>
    for (message::Run, message::JobHeader, message::RunOutcome)
{
    type Error = WireError;

    fn try_from(w: OutcomeReport) -> Result<Self, WireError> {
        Ok((w.0.try_into()?, w.1.try_into()?, w.2.try_into()?))
    }
}
