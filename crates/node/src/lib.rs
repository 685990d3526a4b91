//! The processes of figrill: an entry and an agent, each made of threads
//! that drive the decisions of `figrill-coordination`.
//!
//! | thread | duty |
//! | --- | --- |
//! | `net` | all sockets |
//! | `api` | reads requests, checks tokens, answers what needs no decision |
//! | `duty` | drives the decisions |
//! | `store` | calls the platform's store |
//! | `watch` | waits for new settings |
//! | `part` | one for each part that runs on the upstream |
//!
//! They are joined by bounded rings; `docs/DESIGN.md` says what happens
//! when one is full.

pub mod agent;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod metrics;

mod api;
mod peers;
mod query;
