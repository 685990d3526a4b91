//! An example upstream. Its tasks plan in which order a crew visits the stops
//! of its round. [`pool`] is a separate model of upstreams for tests.
//!
//! ```
//! let input = br#"{"crew":"a","depot":{"name":"d","lat":57.0,"lon":24.0},
//!     "stops":[{"name":"p","lat":57.1,"lon":24.1}]}"#;
//! let answer = figrill_example::work::run(
//!     input,
//!     std::time::Duration::ZERO,
//!     &mut || false,
//! ).unwrap();
//! assert!(String::from_utf8(answer).unwrap().contains("\"order\":[\"p\"]"));
//! ```

pub mod pool;
pub mod rounds;
pub mod tasks;
pub mod work;
