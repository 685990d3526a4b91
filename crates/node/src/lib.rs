//! The processes of figrill: an entry and an agent. Each consists of threads
//! around an event loop, which drives the state machines of
//! `figrill-coordination`.
//!
//! | thread | purpose |
//! | --- | --- |
//! | `net` | serves all sockets |
//! | `api` | checks requests; answers those that need no state machine |
//! | `duty` | runs the event loop |
//! | `store` | calls the platform's store |
//! | `watch` | watches the store for new settings |
//! | `part` | runs one part on the upstream; one thread for each part |
//!
//! The threads are connected by bounded queues. `docs/DESIGN.md` describes
//! what happens when one of them is full.

pub mod agent;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod metrics;

mod api;
mod peers;
mod query;
