//! Stand-ins for the users' platform: its store, its upstreams and its
//! callers, written from the published protocol, and a site of real figrill
//! processes among them.

pub mod client;
pub mod site;
pub mod store;
pub mod workers;
