//! Bindings, which assign idempotency keys to the agent that owns them.
//!
//! Text form: `HEX(BODY).HEX(KEY-ID TAG)`. A request's idempotency key is `BINDING.NONCE`. The
//! body is opaque to callers.

use std::fmt::Write as _;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::key::Keyring;
use crate::process::ledger;

/// Time for which a binding may be used for new and repeated requests, in milliseconds.
///
/// The ledger keeps every response for this time, so its memory grows with it.
pub const LIFETIME_MS: u64 = 3_600_000;

/// Length of the tag in the text form, in bytes: 128 of 256 bits.
const TAG_LEN: usize = 16;

/// Maximum length of a caller's nonce, in bytes.
const MAX_NONCE_LEN: usize = 64;

/// Names the owner of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Binding {
    /// The agent's process.
    pub node: node::Id,
    /// The envelope address of the agent.
    pub agent: SocketAddrV4,
    /// When the binding expires, on the agent's clock.
    pub expiry: Millis,
    /// Random, so that equal nonces of two callers give different keys.
    pub serial: u64,
}

/// An idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key<'a> {
    /// Names the owner.
    pub binding: Binding,
    /// Chosen by the caller; unique for each request.
    pub nonce: &'a str,
}

/// Why an idempotency key is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Not of the form `BINDING.NONCE`. No agent issued it.
    Form,
    /// Not signed by a key that is known here. Another agent may know the key.
    Signature,
    /// Signed, but the body is not of the form that this version knows.
    Body,
}

impl Binding {
    /// Encodes and signs the binding; `None` if there is no key.
    pub fn encode(&self, keyring: &Keyring) -> Option<String> {
        let body = postcard::to_allocvec(self).ok()?;
        let (id, tag) = keyring.sign(&body)?;
        let mut text = String::with_capacity(2 * (body.len() + TAG_LEN + 1) + 1);
        push_hex(&mut text, &body);
        text.push('.');
        push_hex(&mut text, &[id]);
        push_hex(&mut text, &tag.as_ref()[..TAG_LEN]);
        Some(text)
    }
}

impl<'a> Key<'a> {
    /// Decodes and verifies an idempotency key.
    pub fn decode(text: &'a str, keyring: &Keyring) -> Result<Self, Fault> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().filter(|part| !part.is_empty()).ok_or(Fault::Form);
        let body = from_hex(part()?).ok_or(Fault::Form)?;
        let signature = from_hex(part()?).ok_or(Fault::Form)?;
        let nonce = part()?;
        if signature.len() != TAG_LEN + 1 || nonce.len() > MAX_NONCE_LEN {
            return Err(Fault::Form);
        }
        if !keyring.verify(signature[0], &body, &signature[1..]) {
            return Err(Fault::Signature);
        }
        let binding = postcard::from_bytes(&body).map_err(|_| Fault::Body)?;
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

/// Decodes hexadecimal digits.
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
