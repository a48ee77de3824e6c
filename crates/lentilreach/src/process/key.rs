//! The key ring: the keys that every process of the fleet derives from the shared secrets.

pub mod document;
pub mod rotate;

use std::fmt::{self, Debug, Formatter};

use ring::hmac;

use crate::connection::token;
use crate::id::node;
use crate::process::gossip;
use crate::request::envelope::{self, Sealer};

/// A secret that the processes of the fleet share. Its bytes are never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    /// Identifies the keys that are derived from it, in tokens and envelopes.
    pub id: u8,
    /// Random bytes.
    pub bytes: [u8; 32],
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secret").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Secret {
    /// The identifier of the fleet secret, which every process reads from a file.
    pub const FLEET: u8 = 0;

    /// Derives the fleet secret from the content of the file named in the settings.
    pub fn fleet(file: &[u8]) -> Self {
        let key = hmac::Key::new(hmac::HMAC_SHA256, b"lentilreach fleet secret");
        let tag = hmac::sign(&key, file);
        let mut bytes = [0; 32];
        bytes.copy_from_slice(tag.as_ref());
        Self { id: Self::FLEET, bytes }
    }

    /// Derives the encryption key of the gossip exchange.
    pub fn gossip(&self) -> gossip::seal::Key {
        gossip::seal::Key::new(self.id, &self.derive_128("exchange"))
    }

    /// Derives a key of 128 bits for one purpose.
    fn derive_128(&self, purpose: &str) -> [u8; 16] {
        let mut key = [0; 16];
        key.copy_from_slice(&self.derive_256(purpose)[..16]);
        key
    }

    /// Derives a key of 256 bits for one purpose.
    fn derive_256(&self, purpose: &str) -> [u8; 32] {
        let key = hmac::Key::new(hmac::HMAC_SHA256, &self.bytes);
        let tag = hmac::sign(&key, purpose.as_bytes());
        let mut bytes = [0; 32];
        bytes.copy_from_slice(tag.as_ref());
        bytes
    }
}

/// All keys that are derived from the valid secrets.
#[derive(Debug)]
pub struct Keyring {
    /// The keys that encode and decode tokens.
    pub tokens: token::Keys,
    /// Encrypts and decrypts envelopes.
    pub sealer: Sealer,
    /// The signing keys, sorted by key identifier.
    signers: Vec<Signer>,
    /// Salt of the hash that orders the candidates of a flow; the same at all balancers and
    /// unknown to callers.
    salt: u64,
    /// The identifier of the key for new tokens, envelopes and bindings.
    current: u8,
}

/// The signing keys that are derived from one secret.
#[derive(Debug)]
struct Signer {
    /// The identifier of the secret.
    id: u8,
    /// Signs bindings.
    binding: hmac::Key,
    /// Derives stateless reset tokens.
    reset: hmac::Key,
}

impl Keyring {
    /// Derives the keys of a process. `current` is the identifier of the secret for new tokens,
    /// envelopes and bindings. The keys of the other secrets are for existing ones only.
    pub fn new(node: node::Id, secrets: &[Secret], current: u8) -> Self {
        let token = |s: &Secret| token::Key::new(s.id, &s.derive_256("token"));
        let seal = |s: &Secret| envelope::Key::new(s.id, &s.derive_128("envelope"));
        let sign = |s: &Secret| Signer {
            id: s.id,
            binding: hmac::Key::new(hmac::HMAC_SHA256, &s.derive_256("binding")),
            reset: hmac::Key::new(hmac::HMAC_SHA256, &s.derive_256("reset")),
        };
        let mut signers: Vec<Signer> = secrets.iter().map(sign).collect();
        signers.sort_by_key(|signer| signer.id);
        // The salt is derived from the oldest secret, so that a rotation does not change the
        // order of candidates immediately.
        let salt = secrets.iter().min_by_key(|secret| secret.id).map_or(0, |secret| {
            let bytes = secret.derive_256("salt");
            bytes[..8].iter().fold(0, |salt, byte| salt << 8 | u64::from(*byte))
        });
        Self {
            tokens: token::Keys::new(secrets.iter().map(token).collect(), current),
            sealer: Sealer::new(node, secrets.iter().map(seal).collect(), current),
            signers,
            salt,
            current,
        }
    }

    /// The salt of the hash that orders the candidates of a flow; see
    /// [`route`](crate::request::route::route).
    pub fn salt(&self) -> u64 {
        self.salt
    }

    /// Signs a binding with the current key and returns the identifier of the key with the tag;
    /// `None` if there is no such key.
    pub fn sign(&self, text: &[u8]) -> Option<(u8, hmac::Tag)> {
        let signer = self.signer(self.current)?;
        Some((signer.id, hmac::sign(&signer.binding, text)))
    }

    /// Whether a binding was signed with the key of this identifier.
    ///
    /// `tag` may be truncated. The comparison takes constant time, so that a tag cannot be
    /// guessed byte by byte.
    pub fn verify(&self, id: u8, text: &[u8], tag: &[u8]) -> bool {
        let Some(signer) = self.signer(id) else { return false };
        let expected = hmac::sign(&signer.binding, text);
        let Some(expected) = expected.as_ref().get(..tag.len()) else { return false };
        let differing = expected.iter().zip(tag).fold(0, |sum, (a, b)| sum | (a ^ b));
        !tag.is_empty() && differing == 0
    }

    /// The key for stateless reset tokens. It is derived from the oldest secret, so that a new
    /// incarnation can still reset flows that were opened before a rotation.
    pub fn reset(&self) -> Option<&hmac::Key> {
        self.signers.first().map(|signer| &signer.reset)
    }

    /// Finds the signing keys with an identifier.
    fn signer(&self, id: u8) -> Option<&Signer> {
        let found = self.signers.binary_search_by_key(&id, |signer| signer.id);
        found.ok().map(|i| &self.signers[i])
    }
}
