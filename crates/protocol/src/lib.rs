//! What figrill's own processes send one another: wire types and their
//! frames.
//!
//! ```
//! use figrill_protocol::{codec, message::{Frame, Message}};
//! use figrill_state::event::Stamp;
//!
//! let frame = Frame { stamp: Stamp::default(), message: Message::Pull };
//! let buf = codec::encode(frame.clone()).unwrap();
//! assert_eq!(codec::decode(&buf).unwrap(), frame);
//! ```

pub mod codec;
pub mod message;
mod wire;
