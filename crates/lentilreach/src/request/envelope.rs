//! Envelopes: authenticated datagrams between balancers and agents.
//!
//! Layout: version (1), key identifier (1), nonce (12), header (`postcard`), payload,
//! AES-128-GCM tag (16) over everything before it. The payload is an encrypted QUIC datagram,
//! so it is authenticated but not encrypted again.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ring::aead::{AES_128_GCM, Aad, LessSafeKey, Nonce, Tag, UnboundKey};
use serde::{Deserialize, Serialize};

use crate::id::{node, service};
use crate::request::route::Candidates;

/// Version of envelopes whose payload is only authenticated.
const AUTHENTICATED_VERSION: u8 = 1;

/// Version of messages that are encrypted as a whole.
const ENCRYPTED_VERSION: u8 = 2;

/// Length of the fields before the header, in bytes.
const PREFIX_LEN: usize = 14;

/// Length of the tag, in bytes.
const TAG_LEN: usize = 16;

/// Value of [`Forward::position`] in a datagram to the home agent of its flow, before any
/// candidate.
pub const HOME: u8 = u8::MAX;

/// Header of an envelope.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Header {
    /// From a balancer to an agent, or from an agent to another one when a flow is handed on.
    Forward(Forward),
    /// From an agent to a balancer, for a caller.
    Return(Return),
    /// From an agent to the home agent of a flow that it has admitted.
    Admitted(Admitted),
}

/// Notification that an agent has admitted a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Admitted {
    /// The caller.
    pub caller: SocketAddr,
    /// Hash of the first destination connection ID.
    pub id: u64,
    /// The envelope address of the agent.
    pub agent: SocketAddrV4,
}

/// A caller's datagram on its way to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// The service that the datagram is for.
    pub service: service::Id,
    /// The service address that the caller uses.
    pub address: SocketAddr,
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The balancer that received the datagram.
    pub balancer: SocketAddr,
    /// The mean number of open flows of the service's members as last reported, in tenths; set
    /// only in a datagram that opens a flow. Agents receive no load reports of other agents.
    pub mean: Option<u32>,
    /// The home agent, which tracks the flow while it opens; set only in a datagram that opens
    /// a flow.
    pub home: Option<SocketAddrV4>,
    /// The candidate with the fewest open flows among those that declined, and its number of
    /// flows.
    pub fewest_open: Option<(SocketAddrV4, u32)>,
    /// Whether a candidate handed the datagram back. From then on there are two candidates,
    /// and an agent hands the flow on only if it cannot admit it, which rules out a loop.
    pub handed_back: bool,
    /// Index of the receiving agent in `candidates`, or [`HOME`].
    pub position: u8,
    /// The candidates for an opening flow; empty in other datagrams.
    pub candidates: Vec<SocketAddrV4>,
}

impl Forward {
    /// The header for the next candidate, if one remains.
    ///
    /// The position only increases, so a datagram visits each candidate at most once.
    pub fn next(&self) -> Option<(SocketAddrV4, Self)> {
        let position = if self.position == HOME { 0 } else { self.position + 1 };
        let agent = *self.candidates.get(usize::from(position))?;
        Some((agent, Self { position, ..self.clone() }))
    }

    /// Number of candidates after the current one.
    pub fn remaining(&self) -> usize {
        self.candidates.len().saturating_sub(usize::from(self.position) + 1)
    }

    /// The header for a new list of candidates, starting with the first.
    pub fn redirect(&self, candidates: Vec<SocketAddrV4>) -> Self {
        Self { candidates, fewest_open: None, position: 0, ..self.clone() }
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
    /// The service address that the caller uses.
    pub address: SocketAddr,
    /// The address of the caller.
    pub caller: SocketAddr,
}

/// Why an envelope is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Shorter than the fixed fields and the tag.
    Short,
    /// Unsupported version.
    Version,
    /// No key with this identifier.
    UnknownKey,
    /// The tag does not match.
    Tag,
    /// The header cannot be decoded.
    Header,
}

impl Fault {
    /// The metric label of the fault.
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

/// A key for envelopes or gossip messages.
pub struct Key {
    /// Identifies the key; part of every sealed message.
    pub id: u8,
    /// The cipher.
    pub(crate) cipher: LessSafeKey,
}

impl Key {
    /// Creates a key from 16 secret bytes.
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

/// Seals (authenticates or encrypts) and opens envelopes.
#[derive(Debug)]
pub struct Sealer {
    /// Sorted by identifier, without duplicates.
    keys: Vec<Key>,
    /// Index in `keys` of the key used for sealing.
    current: usize,
    /// First four bytes of every nonce, different for each process with high probability.
    nonce_prefix: [u8; 4],
    /// Last eight bytes of the next nonce. Starts at a value derived from the process
    /// identifier, so that two incarnations do not reuse a nonce under one key.
    counter: Arc<AtomicU64>,
}

impl Sealer {
    /// Creates a sealer for a process; `current` is the identifier of the key used for
    /// sealing.
    pub fn new(node: node::Id, mut keys: Vec<Key>, current: u8) -> Self {
        keys.sort_by_key(|key| key.id);
        keys.dedup_by_key(|key| key.id);
        let current = keys.iter().position(|key| key.id == current).unwrap_or(0);
        let nonce_prefix = ((node.0 >> 32) as u32).to_be_bytes();
        let counter = Arc::new(AtomicU64::new(node.0 << 32));
        Self { keys, current, nonce_prefix, counter }
    }

    /// Continues the nonce counter of the sealer that this one replaces.
    ///
    /// Both sealers may be in use for a short time and share keys, and AES-GCM is broken if a
    /// nonce is used twice under one key.
    pub fn replace(&mut self, old: &Self) {
        self.counter = old.counter.clone();
    }

    /// Writes an envelope into `out`, replacing its contents.
    ///
    /// Returns `false` if there is no key or the header cannot be encoded.
    pub fn seal(&self, header: &Header, payload: &[u8], out: &mut Vec<u8>) -> bool {
        let Some(key) = self.keys.get(self.current) else { return false };
        let nonce = self.nonce();
        out.clear();
        out.extend_from_slice(&[AUTHENTICATED_VERSION, key.id]);
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

    /// Verifies an envelope and splits it into header and payload.
    ///
    /// # Errors
    /// If it was not sealed with one of the keys or cannot be decoded.
    pub fn open<'a>(&self, envelope: &'a [u8]) -> Result<(Header, &'a [u8]), Fault> {
        if envelope.len() < PREFIX_LEN + TAG_LEN {
            return Err(Fault::Short);
        }
        if envelope[0] != AUTHENTICATED_VERSION {
            return Err(Fault::Version);
        }
        let key = self.find(envelope[1]).ok_or(Fault::UnknownKey)?;
        let (body, tag) = envelope.split_at(envelope.len() - TAG_LEN);
        let mut nonce = [0; 12];
        nonce.copy_from_slice(&body[2..PREFIX_LEN]);
        let nonce = Nonce::assume_unique_for_key(nonce);
        let tag = Tag::try_from(tag).map_err(|_| Fault::Tag)?;
        key.cipher
            .open_in_place_separate_tag(nonce, Aad::from(body), tag, &mut [], 0..)
            .map_err(|_| Fault::Tag)?;
        postcard::take_from_bytes(&body[PREFIX_LEN..]).map_err(|_| Fault::Header)
    }

    /// Writes an encrypted message into `out`, replacing its contents. Only holders of the
    /// fleet's keys can read it.
    ///
    /// Returns `false` if there is no key.
    pub fn seal_encrypted(&self, message: &[u8], out: &mut Vec<u8>) -> bool {
        let Some(key) = self.keys.get(self.current) else { return false };
        let nonce = self.nonce();
        out.clear();
        out.extend_from_slice(&[ENCRYPTED_VERSION, key.id]);
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

    /// Decrypts a message written by [`Self::seal_encrypted`].
    ///
    /// # Errors
    /// If it was not sealed with one of the keys.
    pub fn open_encrypted(&self, envelope: &[u8]) -> Result<Vec<u8>, Fault> {
        if envelope.len() < PREFIX_LEN + TAG_LEN {
            return Err(Fault::Short);
        }
        if envelope[0] != ENCRYPTED_VERSION {
            return Err(Fault::Version);
        }
        let key = self.find(envelope[1]).ok_or(Fault::UnknownKey)?;
        let mut nonce = [0; 12];
        nonce.copy_from_slice(&envelope[2..PREFIX_LEN]);
        let nonce = Nonce::assume_unique_for_key(nonce);
        let mut body = envelope[PREFIX_LEN..].to_vec();
        let aad = Aad::from(&envelope[..2]);
        let plaintext = key.cipher.open_in_place(nonce, aad, &mut body);
        plaintext.map(|plaintext| plaintext.to_vec()).map_err(|_| Fault::Tag)
    }

    /// Whether an envelope must be opened with [`Self::open_encrypted`].
    pub fn is_encrypted(envelope: &[u8]) -> bool {
        envelope.first() == Some(&ENCRYPTED_VERSION)
    }

    /// Returns a nonce that this sealer has not used before.
    fn nonce(&self) -> [u8; 12] {
        let mut nonce = [0; 12];
        nonce[..4].copy_from_slice(&self.nonce_prefix);
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        nonce[4..].copy_from_slice(&count.to_be_bytes());
        nonce
    }

    /// Finds a key by its identifier.
    fn find(&self, id: u8) -> Option<&Key> {
        self.keys.binary_search_by_key(&id, |key| key.id).ok().map(|i| &self.keys[i])
    }
}
