//! The messages that figrill's processes exchange, and their encoding.
//!
//! [`message`] holds the message types that the rest of the code uses, and
//! [`codec`] converts them to and from length-prefixed frames. The encoded
//! form is defined by separate, private types, so that the types used in
//! memory can change without a change of the wire format.
//!
//! ```
//! use figrill_protocol::{codec, message::{Frame, Message}};
//! use figrill_state::event::Stamp;
//!
//! let frame = Frame {
//!     stamp: Stamp::default(),
//!     message: Message::SettingsRequest,
//! };
//! let buf = codec::encode(frame.clone()).unwrap();
//! assert_eq!(codec::decode(&buf).unwrap(), frame);
//! ```

pub mod codec;
pub mod message;
mod wire;
