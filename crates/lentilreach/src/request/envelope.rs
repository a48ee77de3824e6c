//! Datagrams between balancers and agents: a header, the caller's datagram, a tag.
//!
//! Layout: version (1), key identifier (1), nonce (12), header (`postcard`), payload,
//! AES-128-GCM tag (16) over all that comes before. The payload is QUIC and already
//! encrypted, so it is authenticated only.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ring::aead::{AES_128_GCM, Aad, LessSafeKey, Nonce, Tag, UnboundKey};
use serde::{Deserialize, Serialize};

use crate::id::{node, service};
use crate::request::route::Candidates;

/// Version of the layout whose payload is authenticated only.
const VERSION: u8 = 1;

/// Version of the layout of a message that is encrypted whole.
const SECRET_VERSION: u8 = 2;

/// Bytes before the header.
const PREFIX: usize = 14;

/// Bytes of the tag.
const TAG: usize = 16;

/// Position of a datagram that goes to the home of its flow, before the first candidate.
pub const HOME: u8 = u8::MAX;

/// Header of an envelope.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Header {
    /// From a balancer to an agent, or between agents when a flow is handed on.
    Forward(Forward),
    /// From an agent to a balancer, for the caller.
    Return(Return),
    /// From an agent to the home of a flow: it has taken the flow.
    Taken(Taken),
}

/// A flow that an agent has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Taken {
    /// The caller.
    pub caller: SocketAddr,
    /// Hash of the first connection ID.
    pub id: u64,
    /// The agent.
    pub agent: SocketAddrV4,
}

/// A caller's datagram on its way to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// The service addressed.
    pub service: service::Id,
    /// Where the caller reaches the service.
    pub address: SocketAddr,
    /// Who sent the datagram.
    pub caller: SocketAddr,
    /// The balancer that received it.
    pub balancer: SocketAddr,
    /// The reported mean of open flows of the service's members, in tenths; only in a
    /// datagram that opens a flow. Agents do not hear of each other in the exchange.
    pub mean: Option<u32>,
    /// The agent that keeps track of the opening flow; none unless the datagram opens one.
    pub home: Option<SocketAddrV4>,
    /// The candidate with the fewest open flows among those that declined, and their number.
    pub fewest: Option<(SocketAddrV4, u32)>,
    /// Whether a candidate handed the datagram back. From then on `candidates` holds two
    /// agents and only obstacles are a reason to hand it on, so there is no loop.
    pub returned: bool,
    /// Index of the receiving agent in `candidates`, or [`HOME`].
    pub position: u8,
    /// Empty unless the datagram opens a flow.
    pub candidates: Vec<SocketAddrV4>,
}

impl Forward {
    /// The same datagram for the next candidate, if one is left.
    ///
    /// The position only grows, so a datagram visits each candidate at most once.
    pub fn next(&self) -> Option<(SocketAddrV4, Self)> {
        let position = if self.position == HOME { 0 } else { self.position + 1 };
        let agent = *self.candidates.get(usize::from(position))?;
        Some((agent, Self { position, ..self.clone() }))
    }

    /// Number of candidates after this one.
    pub fn remaining(&self) -> usize {
        self.candidates.len().saturating_sub(usize::from(self.position) + 1)
    }

    /// The same datagram for other candidates, as a list of its own.
    pub fn redirect(&self, candidates: Vec<SocketAddrV4>) -> Self {
        Self { candidates, fewest: None, position: 0, ..self.clone() }
    }
}

impl From<&Candidates> for Vec<SocketAddrV4> {
    fn from(candidates: &Candidates) -> Self {
        candidates.as_slice().to_vec()
    }
}

/// A datagram for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Return {
    /// The service address that the caller knows.
    pub address: SocketAddr,
    /// Who it is for.
    pub caller: SocketAddr,
}

/// Why an envelope is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Too short for prefix and tag.
    Short,
    /// Another version of the layout.
    Version,
    /// No key with this identifier.
    UnknownKey,
    /// The tag does not match.
    Tag,
    /// The header does not parse.
    Header,
}

impl Fault {
    /// The label of the fault in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Version => "version",
            Self::UnknownKey => "unknown_key",
            Self::Tag => "tag",
            Self::Header => "header",
        }
    }
}

/// A key that seals envelopes or messages of the exchange.
pub struct Key {
    /// Identifies the key in what it has sealed.
    pub id: u8,
    /// The cipher.
    pub(crate) cipher: LessSafeKey,
}

impl Key {
    /// A key from 16 secret bytes.
    pub fn new(id: u8, secret: &[u8; 16]) -> Self {
        let key = UnboundKey::new(&AES_128_GCM, secret);
        let key = key.expect("an AES-128 key has 16 bytes");
        Self { id, cipher: LessSafeKey::new(key) }
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Seals and opens envelopes.
#[derive(Debug)]
pub struct Sealer {
    /// Sorted by identifier, without duplicates.
    keys: Vec<Key>,
    /// Index in `keys` of the key for new envelopes.
    current: usize,
    /// First four bytes of every nonce, distinct for each process with high probability.
    node: [u8; 4],
    /// Last eight bytes of the next nonce. Starts at the process's identifier, so that two
    /// incarnations do not repeat a nonce under one key.
    counter: Arc<AtomicU64>,
}

impl Sealer {
    /// A sealer for a process; `current` is the identifier of the key for new envelopes.
    pub fn new(node: node::Id, mut keys: Vec<Key>, current: u8) -> Self {
        keys.sort_by_key(|key| key.id);
        keys.dedup_by_key(|key| key.id);
        let current = keys.iter().position(|key| key.id == current).unwrap_or(0);
        let prefix = ((node.0 >> 32) as u32).to_be_bytes();
        let counter = Arc::new(AtomicU64::new(node.0 << 32));
        Self { keys, current, node: prefix, counter }
    }

    /// Takes over the nonces of the sealer that this one replaces.
    ///
    /// Both may be in use for a moment and have keys in common. AES-GCM is broken if a nonce
    /// is used twice under one key.
    pub fn replace(&mut self, old: &Self) {
        self.counter = old.counter.clone();
    }

    /// Writes an envelope into `out`, replacing what it held.
    ///
    /// Returns whether there was a key to do so.
    pub fn seal(&self, header: &Header, payload: &[u8], out: &mut Vec<u8>) -> bool {
        let Some(key) = self.keys.get(self.current) else { return false };
        let nonce = self.nonce();
        out.clear();
        out.extend_from_slice(&[VERSION, key.id]);
        out.extend_from_slice(&nonce);
        let Ok(header_at_end) = postcard::to_extend(header, std::mem::take(out)) else {
            return false;
        };
        *out = header_at_end;
        out.extend_from_slice(payload);
        let nonce = Nonce::assume_unique_for_key(nonce);
        let aad = Aad::from(out.as_slice());
        let Ok(tag) = key.cipher.seal_in_place_separate_tag(nonce, aad, &mut []) else {
            return false;
        };
        out.extend_from_slice(tag.as_ref());
        true
    }

    /// Checks an envelope and splits it into header and payload.
    ///
    /// # Errors
    /// If it was not sealed with one of the keys or does not parse.
    pub fn open<'a>(&self, envelope: &'a [u8]) -> Result<(Header, &'a [u8]), Fault> {
        if envelope.len() < PREFIX + TAG {
            return Err(Fault::Short);
        }
        if envelope[0] != VERSION {
            return Err(Fault::Version);
        }
        let key = self.find(envelope[1]).ok_or(Fault::UnknownKey)?;
        let (body, tag) = envelope.split_at(envelope.len() - TAG);
        let mut nonce = [0; 12];
        nonce.copy_from_slice(&body[2..PREFIX]);
        let nonce = Nonce::assume_unique_for_key(nonce);
        let tag = Tag::try_from(tag).map_err(|_| Fault::Tag)?;
        key.cipher
            .open_in_place_separate_tag(nonce, Aad::from(body), tag, &mut [], 0..)
            .map_err(|_| Fault::Tag)?;
        postcard::take_from_bytes(&body[PREFIX..]).map_err(|_| Fault::Header)
    }

    /// Writes a message that only the fleet can read, replacing what `out` held.
    ///
    /// Returns whether there was a key to do so.
    pub fn seal_secret(&self, message: &[u8], out: &mut Vec<u8>) -> bool {
        let Some(key) = self.keys.get(self.current) else { return false };
        let nonce = self.nonce();
        out.clear();
        out.extend_from_slice(&[SECRET_VERSION, key.id]);
        out.extend_from_slice(&nonce);
        let mut body = message.to_vec();
        let nonce = Nonce::assume_unique_for_key(nonce);
        let aad = Aad::from(&out[..2]);
        let Ok(tag) = key.cipher.seal_in_place_separate_tag(nonce, aad, &mut body) else {
            return false;
        };
        out.extend_from_slice(&body);
        out.extend_from_slice(tag.as_ref());
        true
    }

    /// Reads a message written by [`Self::seal_secret`].
    ///
    /// # Errors
    /// If it was not sealed with one of the keys.
    pub fn open_secret(&self, envelope: &[u8]) -> Result<Vec<u8>, Fault> {
        if envelope.len() < PREFIX + TAG {
            return Err(Fault::Short);
        }
        if envelope[0] != SECRET_VERSION {
            return Err(Fault::Version);
        }
        let key = self.find(envelope[1]).ok_or(Fault::UnknownKey)?;
        let mut nonce = [0; 12];
        nonce.copy_from_slice(&envelope[2..PREFIX]);
        let nonce = Nonce::assume_unique_for_key(nonce);
        let mut body = envelope[PREFIX..].to_vec();
        let aad = Aad::from(&envelope[..2]);
        let plain = key.cipher.open_in_place(nonce, aad, &mut body);
        plain.map(|plain| plain.to_vec()).map_err(|_| Fault::Tag)
    }

    /// Whether an envelope is to be read by [`Self::open_secret`].
    pub fn is_secret(envelope: &[u8]) -> bool {
        envelope.first() == Some(&SECRET_VERSION)
    }

    /// A nonce that this sealer has not used.
    fn nonce(&self) -> [u8; 12] {
        let mut nonce = [0; 12];
        nonce[..4].copy_from_slice(&self.node);
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        nonce[4..].copy_from_slice(&count.to_be_bytes());
        nonce
    }

    /// Finds a key by its identifier.
    fn find(&self, id: u8) -> Option<&Key> {
        self.keys.binary_search_by_key(&id, |key| key.id).ok().map(|i| &self.keys[i])
    }
}
