//! Bindings: they tie the idempotency key of a request to the agent that owns it.
//!
//! Text form: `HEX(BODY).HEX(KEY-ID TAG_LEN)`; a request's idempotency key is
//! `BINDING.NONCE`. The body is opaque to callers.

use std::fmt::Write as _;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::key::Ring;
use crate::process::ledger;

/// How long a binding may be used for new requests and repeats, in milliseconds.
///
/// The ledger keeps every answer for as long, so its memory grows with this time.
pub const LIFETIME_MS: u64 = 3_600_000;

/// Bytes of the tag that the text carries: 128 of 256 bits.
const TAG_LEN: usize = 16;

/// Longest nonce that a caller may choose, in bytes.
const MAX_NONCE_LEN: usize = 64;

/// The owner of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Binding {
    /// The agent's process.
    pub node: node::Id,
    /// Where the agent receives envelopes.
    pub agent: SocketAddrV4,
    /// When the binding ends, in the agent's own time.
    pub expiry: Millis,
    /// Random, so that equal nonces of two callers are different keys.
    pub serial: u64,
}

/// An idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key<'a> {
    /// The owner.
    pub binding: Binding,
    /// Chosen by the caller, distinct for each request.
    pub nonce: &'a str,
}

/// Why an idempotency key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Not of the form `BINDING.NONCE`.
    Form,
    /// Signed by no known key.
    Signature,
}

impl Binding {
    /// Writes and signs the binding; `None` without keys.
    pub fn encode(&self, ring: &Ring) -> Option<String> {
        let body = postcard::to_allocvec(self).ok()?;
        let (id, tag) = ring.sign(&body)?;
        let mut text = String::with_capacity(2 * (body.len() + TAG_LEN + 1) + 1);
        push_hex(&mut text, &body);
        text.push('.');
        push_hex(&mut text, &[id]);
        push_hex(&mut text, &tag.as_ref()[..TAG_LEN]);
        Some(text)
    }
}

impl<'a> Key<'a> {
    /// Reads and verifies an idempotency key.
    ///
    /// # Errors
    /// If it is malformed or was not signed by the fleet.
    pub fn decode(text: &'a str, ring: &Ring) -> Result<Self, Fault> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().filter(|part| !part.is_empty()).ok_or(Fault::Form);
        let body = from_hex(part()?).ok_or(Fault::Form)?;
        let signature = from_hex(part()?).ok_or(Fault::Form)?;
        let nonce = part()?;
        if signature.len() != TAG_LEN + 1 || nonce.len() > MAX_NONCE_LEN {
            return Err(Fault::Form);
        }
        if !ring.verify(signature[0], &body, &signature[1..]) {
            return Err(Fault::Signature);
        }
        let binding = postcard::from_bytes(&body).map_err(|_| Fault::Form)?;
        Ok(Self { binding, nonce })
    }
}

impl From<&Key<'_>> for ledger::Key {
    fn from(key: &Key<'_>) -> Self {
        let mut nonce = key.binding.serial.to_be_bytes().to_vec();
        nonce.extend_from_slice(key.nonce.as_bytes());
        Self::new(key.binding.node, key.binding.expiry, &nonce)
    }
}

/// Appends bytes as hexadecimal digits.
fn push_hex(text: &mut String, bytes: &[u8]) {
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
}

/// Reads hexadecimal digits.
fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(text, 16).ok()
    };
    digits.chunks(2).map(byte).collect()
}
