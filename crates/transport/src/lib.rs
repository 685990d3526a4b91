//! Network I/O: the streams between figrill's processes, the HTTP server for
//! callers, operators and upstreams, and the HTTP clients of the platform's
//! store and of an upstream.
//!
//! All asynchronous code is in this crate. The streams and the server run on
//! one thread, with the runtime that `h2` and `hyper` need, and exchange
//! events with the synchronous rest of the process over bounded channels. The
//! clients block the calling thread.
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
