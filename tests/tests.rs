//! Integration tests that run figrill as real processes, with test doubles of
//! the store, the upstreams and the callers.

#[macro_use]
mod macros;
mod util;

mod callers;
mod check;
mod claims;
mod command_line;
mod disruption;
mod docs;
mod domain_drains;
mod failures;
mod invalid_entries;
mod path;
mod platform;
mod platform_failures;
mod platform_relays;
mod promises;
mod settings;
mod upstream_ends;
mod upstream_former_incarnation;
mod upstream_identity;
mod upstream_overlaps;
