//! The document in the store with the secrets of the fleet, encrypted with the fleet secret.
//!
//! Layout, with sizes in bytes: version (1), nonce (12), encrypted secrets (`postcard`),
//! AES-128-GCM tag (16).

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use ring::aead::{AES_128_GCM, Aad, LessSafeKey, Nonce, UnboundKey};
use serde::{Deserialize, Serialize};

use crate::process::key::Secret;
use crate::process::key::rotate::{self, DatedSecret, Secrets};
use crate::version::config::key;

/// Version of the layout.
const VERSION: u8 = 1;

/// Size of the version and the nonce, in bytes.
const HEADER_BYTES: usize = 13;

/// The encoding of a secret in the document.
#[derive(Serialize, Deserialize)]
struct WireSecret {
    /// Its identifier.
    id: u8,
    /// Random bytes.
    bytes: [u8; 32],
    /// Time at which it was added, in milliseconds since the Unix epoch.
    added_ms: u64,
}

/// Encrypts secrets for the store. `nonce` must be random. Documents are so few that 96 random
/// bits do not repeat in practice.
pub fn seal(secrets: &Secrets, fleet: &Secret, nonce: [u8; 12]) -> Bytes {
    let wire = |dated: &DatedSecret| WireSecret {
        id: dated.secret.id,
        bytes: dated.secret.bytes,
        added_ms: dated.added_ms,
    };
    let wires: Vec<WireSecret> = secrets.secrets().iter().map(wire).collect();
    let mut body =
        postcard::to_stdvec(&wires).expect("numbers and bytes can always be encoded");
    let tag = cipher(fleet)
        .seal_in_place_separate_tag(Nonce::assume_unique_for_key(nonce), aad(), &mut body)
        .expect("a document is far below the size limit of the cipher");
    [&[VERSION][..], &nonce[..], &body[..], tag.as_ref()].concat().into()
}

/// Decrypts a document.
///
/// # Errors
/// If it was not encrypted with this fleet secret, or its content is invalid.
pub fn open(document: &[u8], fleet: &Secret) -> Result<Secrets, Fault> {
    if document.len() < HEADER_BYTES {
        return Err(Fault::Short);
    }
    if document[0] != VERSION {
        return Err(Fault::Version(document[0]));
    }
    let mut nonce = [0; 12];
    nonce.copy_from_slice(&document[1..HEADER_BYTES]);
    let nonce = Nonce::assume_unique_for_key(nonce);
    let mut body = document[HEADER_BYTES..].to_vec();
    let plain = cipher(fleet).open_in_place(nonce, aad(), &mut body);
    let plain = plain.map_err(|_| Fault::Seal)?;
    let wires: Vec<WireSecret> =
        postcard::from_bytes(plain).map_err(|_| Fault::Content)?;
    let dated = |wire: WireSecret| DatedSecret {
        secret: Secret { id: wire.id, bytes: wire.bytes },
        added_ms: wire.added_ms,
    };
    Secrets::new(wires.into_iter().map(dated).collect()).map_err(Fault::Secrets)
}

/// Additional authenticated data, which binds a document to its key in the store.
fn aad() -> Aad<&'static [u8]> {
    Aad::from(key::RING.as_bytes())
}

/// The cipher of the document.
fn cipher(fleet: &Secret) -> LessSafeKey {
    let key = UnboundKey::new(&AES_128_GCM, &fleet.derive_128("document"));
    LessSafeKey::new(key.expect("an AES-128 key has 16 bytes"))
}

/// Why a document is refused. Contains no part of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The document is shorter than its header.
    Short,
    /// The version of the layout is unknown.
    Version(u8),
    /// The document was encrypted with another fleet secret, or it is damaged.
    Seal,
    /// The secrets cannot be decoded.
    Content,
    /// The list of secrets is invalid.
    Secrets(rotate::Fault),
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => f.write_str("the key document is too short"),
            Self::Version(version) => {
                write!(f, "the key document has the unknown version {version}")
            }
            Self::Seal => f.write_str(
                "the key document was encrypted with another fleet secret or is damaged; \
                 compare fleet_secret in the settings",
            ),
            Self::Content => f.write_str("the key document cannot be decoded"),
            Self::Secrets(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Fault {}
