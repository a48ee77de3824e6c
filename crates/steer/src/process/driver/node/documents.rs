//! Passes the operators' documents from node to node.

use std::net::SocketAddrV4;

use futures_lite::future::or;
use lentilreach::process::link::Link;
use lentilreach::process::store::Range;

use super::{Newest, Node};
use crate::process::documents::share::Encoded;
use crate::process::driver::sleep;
use crate::request::message::{Chunk, Message};

/// Time within which another node must have sent its documents, in milliseconds. The rest of
/// the time within which a change must be in force remains for reading the store.
const DOCUMENTS_TIMEOUT_MS: u64 = 300;

/// The documents to send to other nodes.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// The documents.
    range: Range,
    /// Their encoded form, once a node has asked for them; no parts while they are too long.
    encoded: Option<Option<Encoded>>,
}

impl<L: Link> Node<L> {
    /// Sets the documents to send to other nodes.
    pub fn share_documents(&self, range: Range) {
        *self.shared.write() = Shared { range, encoded: None };
    }

    /// Sends the documents to a node that asked for them.
    pub fn send_documents(&self, to: SocketAddrV4) {
        let mut shared = self.shared.write();
        let Shared { range, encoded } = &mut *shared;
        let encoded = encoded.get_or_insert_with(|| Encoded::new(range));
        for chunk in encoded.iter().flat_map(Encoded::chunks) {
            self.send(to, &Message::Documents(chunk));
        }
    }

    /// Processes a part of the documents that this node has asked for.
    pub fn handle_documents(&self, chunk: &Chunk<'_>) {
        if let Some(range) = self.assembly.write().insert(chunk) {
            // If the channel is full, nobody waits for them.
            let _ = self.documents.0.try_send(range);
        }
    }

    /// Asks the node that reported the newest revision for the documents. Returns `None` if
    /// it is in another failure domain, or if the answer doesn't arrive in time.
    pub async fn fetch_documents(&self) -> Option<Range> {
        let Newest { revision: wanted, source } = *self.newest.read();
        let source = source?;
        while self.documents.1.try_recv().is_ok() {}
        self.send(source, &Message::DocumentsRequest);
        let answer = async {
            loop {
                let range = self.documents.1.recv().await.ok()?;
                if range.revision >= wanted {
                    return Some(range);
                }
            }
        };
        let timeout = async {
            sleep(DOCUMENTS_TIMEOUT_MS).await;
            None
        };
        or(answer, timeout).await
    }
}
