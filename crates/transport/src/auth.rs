//! How the processes of one system know one another: each proves that it
//! has the shared secret by signing the other's nonce. The secret itself
//! never travels.

use figrill_protocol::message::{NONCE_BYTES, Nonce, Peer};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

/// Which side of a stream signs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The one that dialled.
    Dial,
    /// The one that accepted.
    Accept,
}

/// The secret that all processes of a system share.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// A secret from the contents of its file; white space around it does
    /// not count. `None` if it is shorter than 16 bytes.
    #[must_use]
    pub fn from_file(contents: &str) -> Option<Self> {
        let text = contents.trim();
        (text.len() >= 16).then(|| Self(text.as_bytes().to_vec()))
    }

    /// Signs the other side's nonce.
    #[must_use]
    pub fn sign(&self, side: Side, nonce: &Nonce, peer: &Peer) -> Vec<u8> {
        self.mac(side, nonce, peer).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` signs `nonce` for `peer`, in constant time.
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

    fn mac(&self, side: Side, nonce: &Nonce, peer: &Peer) -> Hmac<Sha256> {
        // Any length of key is valid for this kind of signature.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .expect("a key of any length is valid");
        mac.update(match side {
            Side::Dial => b"figrill dial",
            Side::Accept => b"figrill accept",
        });
        mac.update(nonce);
        mac.update(&peer.incarnation.to_be_bytes());
        for text in [&peer.name, &peer.peer, &peer.http] {
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
        mac
    }
}

/// A fresh nonce.
#[must_use]
pub fn nonce() -> Nonce {
    let mut buf = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut buf);
    buf
}
