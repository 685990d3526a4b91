//! SHA-256 digests of answers, request bodies and tokens, as lowercase hex.

use sha2::{Digest, Sha256};

/// Returns the digest of a byte string.
#[must_use]
pub fn of_bytes(buf: &[u8]) -> String {
    hex(&Sha256::digest(buf))
}

/// Returns the digest of a complete answer. For each part in rank order, the
/// digest covers its rank (4 bytes, little-endian), its length (8 bytes,
/// little-endian) and its bytes.
#[must_use]
pub fn of_parts<'a>(parts: impl Iterator<Item = (u32, &'a [u8])>) -> String {
    let mut hasher = Sha256::new();
    for (rank, buf) in parts {
        hasher.update(rank.to_le_bytes());
        hasher.update((buf.len() as u64).to_le_bytes());
        hasher.update(buf);
    }
    hex(&hasher.finalize())
}

/// Returns whether the digest of `token` is `expected`.
///
/// The comparison takes the same time wherever the digests differ, so its
/// duration reveals nothing about a valid digest.
#[must_use]
pub fn token_matches(token: &str, expected: &str) -> bool {
    let found = of_bytes(token.as_bytes());
    if found.len() != expected.len() {
        return false;
    }
    let differing = found
        .bytes()
        .zip(expected.bytes())
        .fold(0_u8, |acc, (a, b)| acc | (a ^ b.to_ascii_lowercase()));
    differing == 0
}

fn hex(buf: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut out = String::with_capacity(buf.len() * 2);
    for byte in buf {
        out.push(char::from(DIGITS[usize::from(byte >> 4)]));
        out.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    out
}
