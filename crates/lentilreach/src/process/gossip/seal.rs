//! Seals gossip messages with the fleet's key and rejects replays.
//!
//! Layout: layout version (1), key identifier (1), sender (8), sequence number (4), sealed
//! message, AES-128-GCM tag (16). Sender and sequence number are the nonce, so a nonce is not
//! repeated as long as incarnations draw different identifiers.

use ring::aead::{Aad, Nonce};

use crate::id::node;
pub use crate::request::envelope::Key;

/// Version of the layout.
const VERSION: u8 = 1;

/// Bytes before the sealed message.
const PREFIX: usize = 14;

/// Bytes of the authentication tag.
const TAG: usize = 16;

/// Length of the replay window in sequence numbers: how much a message may be late.
const WINDOW: u32 = 128;

/// Senders whose replay windows are kept. Above the number of nodes, restarts included.
const MAX_SENDERS: usize = 16_384;

/// Seals and opens messages of one process.
#[derive(Debug)]
pub struct Sealer {
    /// The identifier of this process.
    me: node::Id,
    /// Sorted by identifier, without duplicates.
    keys: Vec<Key>,
    /// The identifier of the key for new messages.
    current: u8,
    /// The next sequence number; `None` once all are used.
    next: Option<u32>,
    /// Sorted by sender, without duplicates; at most [`MAX_SENDERS`].
    senders: Vec<Sender>,
    /// Number of opened messages, used to find the sender that was silent longest.
    opened: u64,
}

impl Sealer {
    /// A sealer for a process; `current` is the identifier of the key for new messages.
    pub fn new(me: node::Id, keys: Vec<Key>, current: u8) -> Self {
        let mut sealer = Self {
            me,
            keys: Vec::new(),
            current,
            next: Some(0),
            senders: Vec::new(),
            opened: 0,
        };
        sealer.rotate(keys, current);
        sealer
    }

    /// Replaces the keys. Sequence numbers and replay windows continue.
    pub fn rotate(&mut self, mut keys: Vec<Key>, current: u8) {
        keys.sort_by_key(|key| key.id);
        keys.dedup_by_key(|key| key.id);
        self.keys = keys;
        self.current = current;
    }

    /// The identifier of the key for new messages.
    pub fn current(&self) -> u8 {
        self.current
    }

    /// Seals a message with the given key into `out`, replacing its content.
    ///
    /// # Errors
    /// If there is no such key, or all sequence numbers are used.
    pub fn seal(
        &mut self,
        key: u8,
        message: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<(), Fault> {
        let sequence = self.next.ok_or(Fault::Exhausted)?;
        let key = find(&self.keys, key).ok_or(Fault::UnknownKey)?;
        self.next = sequence.checked_add(1);
        out.clear();
        out.extend_from_slice(&[VERSION, key.id]);
        out.extend_from_slice(&self.me.0.to_be_bytes());
        out.extend_from_slice(&sequence.to_be_bytes());
        out.extend_from_slice(message);
        let (prefix, body) = out.split_at_mut(PREFIX);
        let nonce = nonce(prefix);
        let tag = key
            .cipher
            .seal_in_place_separate_tag(nonce, Aad::from(&*prefix), body)
            .map_err(|_| Fault::Tag)?;
        out.extend_from_slice(tag.as_ref());
        Ok(())
    }

    /// Opens a datagram in place.
    ///
    /// # Errors
    /// If it was not sealed with one of the keys, or was received before.
    pub fn open<'a>(&mut self, datagram: &'a mut [u8]) -> Result<Opened<'a>, Fault> {
        if datagram.len() < PREFIX + TAG {
            return Err(Fault::Short);
        }
        let (prefix, body) = datagram.split_at_mut(PREFIX);
        if prefix[0] != VERSION {
            return Err(Fault::Version);
        }
        let key = find(&self.keys, prefix[1]).ok_or(Fault::UnknownKey)?;
        let nonce = nonce(prefix);
        let message = key
            .cipher
            .open_in_place(nonce, Aad::from(&*prefix), body)
            .map_err(|_| Fault::Tag)?;
        let (sender, sequence) = origin(prefix);
        if !self.accept(sender, sequence) {
            return Err(Fault::Replay);
        }
        Ok(Opened { sender, key: prefix[1], message })
    }

    /// Records a sequence number; returns whether it was new.
    fn accept(&mut self, id: node::Id, sequence: u32) -> bool {
        self.opened += 1;
        let found = self.senders.binary_search_by_key(&id, |sender| sender.id);
        let index = match found {
            Ok(index) => index,
            Err(index) if self.senders.len() < MAX_SENDERS => {
                self.senders.insert(index, Sender::new(id, sequence));
                index
            }
            Err(_) => self.replace(id, sequence),
        };
        let sender = &mut self.senders[index];
        sender.last_opened = self.opened;
        sender.accept(sequence)
    }

    /// Replaces the sender that was silent longest; returns the index of the new one.
    fn replace(&mut self, id: node::Id, sequence: u32) -> usize {
        let oldest =
            self.senders.iter().enumerate().min_by_key(|(_, sender)| sender.last_opened);
        if let Some((index, _)) = oldest {
            self.senders.remove(index);
        }
        let index = self.senders.partition_point(|sender| sender.id < id);
        self.senders.insert(index, Sender::new(id, sequence));
        index
    }
}

/// A verified and decrypted message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The process that sealed it.
    pub sender: node::Id,
    /// The identifier of the key that it was sealed with.
    pub key: u8,
    /// The message.
    pub message: &'a [u8],
}

/// Why a message was not sealed or opened.
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
    /// The sequence number was received before or is too old.
    Replay,
    /// All sequence numbers of this process are used; it must be restarted.
    Exhausted,
}

impl Fault {
    /// The label of the fault in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Version => "version",
            Self::UnknownKey => "unknown_key",
            Self::Tag => "tag",
            Self::Replay => "replay",
            Self::Exhausted => "exhausted",
        }
    }
}

/// The replay window of one incarnation of a sender.
#[derive(Debug)]
struct Sender {
    /// The incarnation.
    id: node::Id,
    /// The highest sequence number received.
    highest: u32,
    /// Bit `n` is set if `highest - n` was received.
    seen: u128,
    /// The value of [`Sealer::opened`] when a message last arrived.
    last_opened: u64,
}

impl Sender {
    /// Creates an empty replay window; `first` is the sequence number that is recorded next.
    fn new(id: node::Id, first: u32) -> Self {
        Self { id, highest: first, seen: 0, last_opened: 0 }
    }

    /// Records a sequence number; returns whether it was new.
    fn accept(&mut self, sequence: u32) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let late = self.highest - sequence;
        if late >= WINDOW {
            return false;
        }
        let bit = 1 << late;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}

/// Finds a key by its identifier.
fn find(keys: &[Key], id: u8) -> Option<&Key> {
    keys.binary_search_by_key(&id, |key| key.id).ok().map(|index| &keys[index])
}

/// The nonce: sender and sequence number.
fn nonce(prefix: &[u8]) -> Nonce {
    let mut nonce = [0; 12];
    nonce.copy_from_slice(&prefix[2..PREFIX]);
    Nonce::assume_unique_for_key(nonce)
}

/// Sender and sequence number of a datagram.
fn origin(prefix: &[u8]) -> (node::Id, u32) {
    let mut id = [0; 8];
    id.copy_from_slice(&prefix[2..10]);
    let mut sequence = [0; 4];
    sequence.copy_from_slice(&prefix[10..PREFIX]);
    (node::Id(u64::from_be_bytes(id)), u32::from_be_bytes(sequence))
}
