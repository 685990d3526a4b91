//! Test doubles for the systems that figrill depends on, and a harness that
//! runs real figrill processes against them.
//!
//! Only tests, benchmarks and manual trials use this crate.
//!
//! ```no_run
//! use figrill_standin::site::{Plan, Site};
//!
//! let site = Site::start(&Plan::new("figrill", "standin")).unwrap();
//! assert_eq!(site.entries.len(), 1);
//! ```

pub mod address;
pub mod caller;
pub mod platform;
pub mod process;
pub mod program;
pub mod proxy;
pub mod site;
pub mod upstream;

mod web;
