//! The decisions of figrill as state machines without I/O: the time and
//! every input are passed in, and actions come out. The real processes and
//! the benches drive the same code.
//!
//! ```
//! use std::time::Duration;
//! use figrill_coordination::adoption::Adoption;
//!
//! let mut adoption = Adoption::new();
//! assert!(adoption.offer(3));
//! assert!(!adoption.offer(2));
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
