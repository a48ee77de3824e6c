//! The document that holds the fleet's secrets, sealed with the fleet secret.
//!
//! Layout: version (1), nonce (12), secrets (`postcard`), AES-128-GCM tag (16).

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use ring::aead::{AES_128_GCM, Aad, LessSafeKey, Nonce, UnboundKey};
use serde::{Deserialize, Serialize};

use crate::process::key::Secret;
use crate::process::key::rotate::{self, Book, Dated};
use crate::version::config::key;

/// Version of the layout.
const VERSION: u8 = 1;

/// Bytes before the secrets.
const PREFIX: usize = 13;

/// A secret as the document holds it.
#[derive(Serialize, Deserialize)]
struct Wire {
    /// Identifies it.
    id: u8,
    /// Random bytes.
    bytes: [u8; 32],
    /// When it was added, in milliseconds since the Unix epoch.
    added_ms: u64,
}

/// Seals secrets for the store. `nonce` must be random; documents are few enough that 96
/// random bits never repeat in practice.
pub fn seal(book: &Book, fleet: &Secret, nonce: [u8; 12]) -> Bytes {
    let wire = |dated: &Dated| Wire {
        id: dated.secret.id,
        bytes: dated.secret.bytes,
        added_ms: dated.added_ms,
    };
    let wires: Vec<Wire> = book.secrets().iter().map(wire).collect();
    let mut body =
        postcard::to_stdvec(&wires).expect("numbers and bytes have an encoding");
    let tag = cipher(fleet)
        .seal_in_place_separate_tag(Nonce::assume_unique_for_key(nonce), aad(), &mut body)
        .expect("a document is far below the limit of the cipher");
    [&[VERSION][..], &nonce[..], &body[..], tag.as_ref()].concat().into()
}

/// Opens a document.
///
/// # Errors
/// If it was not sealed with this fleet secret, or does not parse.
pub fn open(document: &[u8], fleet: &Secret) -> Result<Book, Fault> {
    if document.len() < PREFIX {
        return Err(Fault::Short);
    }
    if document[0] != VERSION {
        return Err(Fault::Version(document[0]));
    }
    let mut nonce = [0; 12];
    nonce.copy_from_slice(&document[1..PREFIX]);
    let nonce = Nonce::assume_unique_for_key(nonce);
    let mut body = document[PREFIX..].to_vec();
    let plain = cipher(fleet).open_in_place(nonce, aad(), &mut body);
    let plain = plain.map_err(|_| Fault::Seal)?;
    let wires: Vec<Wire> = postcard::from_bytes(plain).map_err(|_| Fault::Content)?;
    let dated = |wire: Wire| Dated {
        secret: Secret { id: wire.id, bytes: wire.bytes },
        added_ms: wire.added_ms,
    };
    Book::new(wires.into_iter().map(dated).collect()).map_err(Fault::Book)
}

/// Binds a document to its key in the store.
fn aad() -> Aad<&'static [u8]> {
    Aad::from(key::RING.as_bytes())
}

/// The cipher of the document.
fn cipher(fleet: &Secret) -> LessSafeKey {
    let key = UnboundKey::new(&AES_128_GCM, &fleet.short("document"));
    LessSafeKey::new(key.expect("an AES-128 key has 16 bytes"))
}

/// Why a document is refused. Holds nothing of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Too short.
    Short,
    /// Another version of the layout.
    Version(u8),
    /// Sealed with another fleet secret, or damaged.
    Seal,
    /// The secrets do not parse.
    Content,
    /// The secrets are not valid together.
    Book(rotate::Fault),
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => f.write_str("the key document is too short"),
            Self::Version(version) => {
                write!(f, "the key document has the unknown version {version}")
            }
            Self::Seal => f.write_str(
                "the key document was sealed with another fleet secret; compare \
                 fleet_secret in the settings",
            ),
            Self::Content => f.write_str("the key document does not parse"),
            Self::Book(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Fault {}
