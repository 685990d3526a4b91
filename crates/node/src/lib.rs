//! The processes of figrill: an entry and an agent. Each consists of threads
//! around an event loop, which drives the state machines of
//! `figrill-coordination`.
//!
//! | thread | purpose |
//! | --- | --- |
//! | `net` | serves all sockets |
//! | `api` | checks requests; answers those that need no state machine |
//! | `duty` | runs the event loop |
//! | `store` (several) | an entry's calls to the platform's store |
//! | `term` | an entry's store calls that concern the term |
//! | `watch` | watches the store for new settings, for an entry |
//! | `discover` | polls the store for the list of entries, for an agent |
//! | `fence` | fences a newly announced upstream, for an agent |
//! | `part` | runs one part on the upstream; one thread for each part |
//! | `stop` | stops one part on the upstream |
//!
//! The threads are connected by bounded queues. `docs/DESIGN.md` describes
//! what happens when one of them is full.
//!
//! [`fleet`] contains another entry and another agent, which keep all
//! scheduling state in the platform's store. They share only the start-up
//! helpers, the journal and the metrics with the processes above.

pub mod agent;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod metrics;

mod api;
mod peers;
mod query;
