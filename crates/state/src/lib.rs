//! The data model shared by all figrill processes: jobs, settings, store
//! records and events.
//!
//! There are two kinds of deployment, each with its own model of a job. In
//! one, figrill serves its own HTTP API: see [`boot`], [`settings`],
//! [`request`], [`job`], [`record`] and [`upstream`]. In the other, it runs on
//! the users' platform and serves the platform's API: see [`deployment`],
//! [`catalog`], [`callers`], [`batch`] and [`runner`].
//!
//! The crate opens no sockets and starts no threads, so the scheduling and
//! coordination logic built on it can be tested without a network.
//!
//! ```
//! use figrill_state::settings::Tree;
//!
//! let text = "[workspace/acme]\nweight = 2\n";
//! let tree = Tree::parse(text, "site.ini").unwrap();
//! assert_eq!(tree.workspace("acme").unwrap().weight, 2);
//! ```

pub mod batch;
pub mod boot;
pub mod callers;
pub mod catalog;
pub mod clock;
pub mod deployment;
pub mod digest;
pub mod drain;
pub mod error;
pub mod event;
pub mod features;
pub mod ini_file;
pub mod job;
pub mod kv;
pub mod ledger;
pub mod limits;
pub mod record;
pub mod request;
pub mod runner;
pub mod settings;
pub mod upstream;
pub mod worker;
