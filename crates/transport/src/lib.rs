//! Sockets: streams between figrill's own processes, HTTP towards callers,
//! and the clients of the platform's store and of an upstream.
//!
//! One thread runs the runtime that `h2` and `hyper` need; bounded rings
//! join it to the threads that decide. Nothing else is asynchronous.
//!
//! ```no_run
//! use figrill_transport::runtime::Runtime;
//!
//! let runtime = Runtime::start("net").unwrap();
//! runtime.stop();
//! ```

pub mod auth;
pub mod client;
pub mod http;
pub mod peer;
pub mod runtime;
pub mod upstream_client;

mod stream;
