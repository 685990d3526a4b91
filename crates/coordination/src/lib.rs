//! The coordination and scheduling logic of figrill as state machines without
//! I/O: the time and every input are passed in, and actions come out. The
//! processes, the simulated tests and the benchmarks drive the same code.
//!
//! In the mode in which agents own the state of their workers, [`entry`],
//! [`term`], [`coordinator`] and [`agent`] are the state machines and
//! [`message`] holds what they exchange. In the mode in which all scheduling
//! state is kept in the platform's store, [`scheduler`], [`entries`],
//! [`store_path`], [`orders`], [`open_calls`], [`registration`], [`fencing`] and [`campaign`]
//! take their place, and [`retry_after`] says when refused callers return, by
//! the [`outages`] of the store. [`learn`] estimates run times for both, and
//! [`adoption`] tracks the revision of the settings that a process has in
//! force.
//!
//! ```
//! use std::time::Duration;
//! use figrill_coordination::adoption::AdoptedRevision;
//!
//! let mut adopted = AdoptedRevision::new();
//! assert!(adopted.advance(3));
//! assert!(!adopted.advance(2));
//! ```

pub mod adoption;
pub mod agent;
pub mod campaign;
pub mod coordinator;
pub mod entries;
pub mod entry;
pub mod fencing;
pub mod learn;
pub mod message;
pub mod open_calls;
pub mod orders;
pub mod outages;
pub mod registration;
pub mod retry_after;
pub mod scheduler;
pub mod store_path;
pub mod term;
