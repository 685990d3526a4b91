//! Mutual authentication of the processes of one installation.
//!
//! Each side proves that it has the shared secret by signing the nonce of the
//! other side with it (HMAC-SHA256). The secret itself is never sent.

use figrill_protocol::message::{NONCE_BYTES, Nonce, Peer};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

/// The side of a stream that signs. It is part of the signed data, so that a
/// signature can't be reflected to the side that made it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The side that dialled.
    Dial,
    /// The side that accepted.
    Accept,
}

/// The secret that all processes of an installation share. It has at least 16
/// bytes.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Reads a secret from the contents of its file; surrounding white space
    /// is ignored. Returns `None` if it is shorter than 16 bytes.
    #[must_use]
    pub fn parse(contents: &str) -> Option<Self> {
        let text = contents.trim();
        (text.len() >= 16).then(|| Self(text.as_bytes().to_vec()))
    }

    /// Signs the other side's nonce, together with the identity of the signing
    /// process, `peer`.
    #[must_use]
    pub fn sign(&self, side: Side, nonce: &Nonce, peer: &Peer) -> Vec<u8> {
        self.mac(side, nonce, peer).finalize().into_bytes().to_vec()
    }

    /// Returns whether `proof` is the signature of `nonce` by `peer`. Takes
    /// constant time, so that it does not reveal how much of a forged
    /// signature is right.
    #[must_use]
    pub fn verify(
        &self,
        side: Side,
        nonce: &Nonce,
        peer: &Peer,
        proof: &[u8],
    ) -> bool {
        self.mac(side, nonce, peer).verify_slice(proof).is_ok()
    }

    /// Returns the MAC of a side, a nonce and all fields of a process's
    /// identity. Texts are preceded by their lengths, so that the fields can't
    /// be divided differently.
    fn mac(&self, side: Side, nonce: &Nonce, peer: &Peer) -> Hmac<Sha256> {
        // HMAC hashes or pads a key to its block size.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .expect("HMAC accepts keys of any length");
        mac.update(match side {
            Side::Dial => b"figrill dial",
            Side::Accept => b"figrill accept",
        });
        mac.update(nonce);
        mac.update(&peer.incarnation.to_be_bytes());
        for text in [&peer.name, &peer.address, &peer.http] {
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
        mac
    }
}

/// Returns a new random nonce.
#[must_use]
pub fn nonce() -> Nonce {
    let mut buf = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut buf);
    buf
}
