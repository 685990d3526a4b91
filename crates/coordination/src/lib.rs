//! The decisions of figrill as state machines without I/O: the time and
//! every input are passed in, and actions come out. The real processes and
//! the benches drive the same code.
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
pub mod coordinator;
pub mod entries;
pub mod entry;
pub mod learn;
pub mod message;
pub mod scheduler;
pub mod term;
