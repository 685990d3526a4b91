//! Test doubles for the users' platform: its store, its upstreams and its
//! callers. They are written from the platform's published protocol.
//!
//! [`site`] runs real figrill processes against them.

pub mod client;
pub mod reports;
pub mod site;
pub mod store;
pub mod workers;
