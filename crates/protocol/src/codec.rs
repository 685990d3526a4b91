//! Frames: a length in four bytes, then the message in `bincode`.

use bincode::config::{Configuration, LittleEndian, Varint};
use displaydoc::Display;

use crate::{message::Frame, wire};

/// The most bytes in a frame. A gang's whole request or answer fits.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Bytes in front of each message.
pub const HEAD_BYTES: usize = 4;

/// Why bytes are no frame.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CodecError {
    /// a frame of {0} bytes is over the limit
    TooLarge(usize),
    /// not a message of this protocol: {0}
    Malformed(String),
}

impl std::error::Error for CodecError {}

const CONFIG: Configuration<LittleEndian, Varint, bincode::config::NoLimit> =
    bincode::config::standard();

/// The bytes of a frame, its head included.
///
/// # Errors
///
/// [`CodecError::TooLarge`].
pub fn encode(frame: Frame) -> Result<Vec<u8>, CodecError> {
    let wire = wire::Frame::from(frame);
    let mut buf = vec![0; HEAD_BYTES];
    bincode::encode_into_std_write(&wire, &mut buf, CONFIG)
        .map_err(|e| CodecError::Malformed(e.to_string()))?;
    let length = buf.len() - HEAD_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    let head = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
    buf[..HEAD_BYTES].copy_from_slice(&head);
    Ok(buf)
}

/// The length that a frame's head announces.
///
/// # Errors
///
/// [`CodecError::TooLarge`].
pub fn length(head: [u8; HEAD_BYTES]) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    Ok(length)
}

/// Reads one whole frame, its head included.
///
/// # Errors
///
/// Any [`CodecError`].
pub fn decode(buf: &[u8]) -> Result<Frame, CodecError> {
    let malformed = |e: String| CodecError::Malformed(e);
    let (head, body) = buf
        .split_first_chunk::<HEAD_BYTES>()
        .ok_or_else(|| malformed("no head".to_owned()))?;
    if length(*head)? != body.len() {
        return Err(malformed("wrong length".to_owned()));
    }
    let config = CONFIG.with_limit::<MAX_FRAME_BYTES>();
    let (wire, read): (wire::Frame, usize) =
        bincode::decode_from_slice(body, config)
            .map_err(|e| malformed(e.to_string()))?;
    if read != body.len() {
        return Err(malformed("bytes left over".to_owned()));
    }
    Frame::try_from(wire).map_err(|e| malformed(e.to_string()))
}
