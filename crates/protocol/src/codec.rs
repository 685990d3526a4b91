//! The encoding of frames.
//!
//! A frame is a header of four bytes, which holds the length of the payload
//! in big-endian order, followed by the payload: the message in `bincode`.

use bincode::config::{Configuration, LittleEndian, Varint};
use displaydoc::Display;

use crate::{message::Frame, wire};

/// The maximum length of a frame's payload in bytes. The largest messages are
/// the inputs and the answers of a whole gang, which fit into it.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The length of a frame's header in bytes.
pub const HEADER_BYTES: usize = 4;

/// An error while encoding or decoding a frame.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CodecError {
    /// frame of {0} bytes exceeds the limit
    TooLarge(usize),
    /// malformed message: {0}
    Malformed(String),
}

impl std::error::Error for CodecError {}

const CONFIG: Configuration<LittleEndian, Varint, bincode::config::NoLimit> =
    bincode::config::standard();

/// Encodes a frame, including its header.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if the payload is longer than
/// [`MAX_FRAME_BYTES`], and [`CodecError::Malformed`] if the message cannot be
/// encoded.
pub fn encode(frame: Frame) -> Result<Vec<u8>, CodecError> {
    let wire = wire::Frame::from(frame);
    let mut buf = vec![0; HEADER_BYTES];
    bincode::encode_into_std_write(&wire, &mut buf, CONFIG)
        .map_err(|e| CodecError::Malformed(e.to_string()))?;
    let length = buf.len() - HEADER_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    let header = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
    buf[..HEADER_BYTES].copy_from_slice(&header);
    Ok(buf)
}

/// Returns the length of the payload that a header announces, in bytes.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if it exceeds [`MAX_FRAME_BYTES`].
pub fn payload_length(
    header: [u8; HEADER_BYTES],
) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    Ok(length)
}

/// Decodes one complete frame, including its header.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if the header announces more than
/// [`MAX_FRAME_BYTES`], and [`CodecError::Malformed`] if `buf` is not exactly
/// one frame or the message is not valid.
pub fn decode(buf: &[u8]) -> Result<Frame, CodecError> {
    let malformed = |e: String| CodecError::Malformed(e);
    let (header, body) = buf
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or_else(|| malformed("incomplete header".to_owned()))?;
    if payload_length(*header)? != body.len() {
        return Err(malformed("length differs from the header".to_owned()));
    }
    let config = CONFIG.with_limit::<MAX_FRAME_BYTES>();
    let (wire, read): (wire::Frame, usize) =
        bincode::decode_from_slice(body, config)
            .map_err(|e| malformed(e.to_string()))?;
    if read != body.len() {
        return Err(malformed("trailing bytes after the message".to_owned()));
    }
    Frame::try_from(wire).map_err(|e| malformed(e.to_string()))
}
