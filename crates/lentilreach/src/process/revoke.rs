//! Revocation of idempotency keys between agents.
//!
//! An agent that receives a request with a key of another agent asks that agent to revoke the
//! key. Requests and replies are encrypted datagrams; lost ones are retried.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::ledger::{Key, Revocation, StoredResponse};
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::tables::Tables;

/// Time to wait for a reply before retrying. Several round trips between the most distant
/// failure domains.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times that a request is sent. At 1% loss in each direction, all attempts fail
/// once in 10^8 requests.
const MAX_ATTEMPTS: usize = 5;

/// Maximum size of a response passed between agents, in bytes, so that it fits in a datagram.
const MAX_RESPONSE_BYTES: usize = 900;

/// A message between agents.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Message {
    /// Asks to revoke a key and report what became of its request.
    Request {
        /// Identifies the request; repeated in the reply.
        id: u64,
        /// Address for the reply.
        reply_to: SocketAddr,
        /// Owner, expiry and hashed nonce of the key.
        key: (node::Id, Millis, [u8; 16]),
    },
    /// Reports what became of the request.
    Reply {
        /// The identifier of the revocation request.
        id: u64,
        /// The state reported by the owner.
        state: State,
    },
}

/// Wire format of a [`Revocation`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum State {
    /// It has not run and never will.
    Revoked,
    /// It is running.
    Running,
    /// It has run, with this response.
    Done { status: u16, headers: Vec<(Name, Vec<u8>)>, body: Vec<u8> },
    /// It has run, with a response too large for a datagram.
    TooLarge,
    /// It may have run.
    Unknown,
    /// The owner no longer has a record of it.
    Expired,
}

/// Status of a request as reported by the owner of its key.
#[derive(Debug, Clone)]
pub enum Status {
    /// It has not run and never will.
    Revoked,
    /// It is running.
    Running,
    /// It has run, with this response.
    Done(StoredResponse),
    /// It has run; its response is not available.
    TooLarge,
    /// It is unknown whether it has run.
    Unknown,
}

/// Asks other agents to revoke keys and replies to their requests.
#[derive(Debug)]
pub struct Revoker<L> {
    /// Sends to other agents.
    link: L,
    /// Provides the encryption keys.
    tables: Arc<Tables>,
    /// Identifier of the next request.
    next_id: AtomicU64,
    /// Pending requests, sorted by identifier.
    pending: Mutex<Vec<(u64, async_channel::Sender<State>)>>,
}

impl<L: Link> Revoker<L> {
    /// Creates a revoker over a link.
    pub fn new(link: L, tables: Arc<Tables>) -> Self {
        // A random start prevents late replies to an earlier process from matching.
        let next_id = AtomicU64::new(fastrand::u64(..) >> 1);
        Self { link, tables, next_id, pending: Mutex::default() }
    }

    /// Asks the owner of a key to revoke it.
    pub async fn revoke(&self, owner: SocketAddr, key: Key) -> Status {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.register(id, sender);
        let key = (key.owner, key.expiry, key.nonce);
        let message = Message::Request { id, reply_to: self.link.local_addr(), key };
        let mut state = None;
        for _ in 0..MAX_ATTEMPTS {
            self.send(owner, &message);
            let timeout = async {
                Timer::after(RETRY_INTERVAL).await;
                None
            };
            state = future::or(async { receiver.recv().await.ok() }, timeout).await;
            if state.is_some() {
                break;
            }
        }
        self.unregister(id);
        state.map_or(Status::Unknown, Status::from)
    }

    /// Handles a message; `decide` revokes a key of this agent. Returns whether the message is
    /// valid.
    pub fn receive(
        &self,
        envelope: &[u8],
        decide: impl FnOnce(&Key) -> Revocation,
    ) -> bool {
        let Ok(plaintext) = self.tables.keys().sealer.open_encrypted(envelope) else {
            return false;
        };
        match postcard::from_bytes(&plaintext) {
            Ok(Message::Request { id, reply_to, key }) => {
                let (owner, expiry, nonce) = key;
                let state = State::from(decide(&Key { owner, expiry, nonce }));
                self.send(reply_to, &Message::Reply { id, state });
                true
            }
            Ok(Message::Reply { id, state }) => {
                self.deliver(id, state);
                true
            }
            Err(_) => false,
        }
    }

    /// Sends a message. Lost messages are retried by the requesting agent.
    fn send(&self, to: SocketAddr, message: &Message) {
        let Ok(plaintext) = postcard::to_allocvec(message) else { return };
        let mut out = Vec::with_capacity(plaintext.len() + 64);
        if self.tables.keys().sealer.seal_encrypted(&plaintext, &mut out) {
            let _ = self.link.send(to, &out);
        }
    }

    /// Registers a pending request.
    fn register(&self, id: u64, sender: async_channel::Sender<State>) {
        let mut pending = self.pending.lock();
        let at = pending.partition_point(|(other, _)| *other < id);
        pending.insert(at, (id, sender));
    }

    /// Delivers a reply to the task that waits for it.
    fn deliver(&self, id: u64, state: State) {
        let pending = self.pending.lock();
        if let Ok(at) = pending.binary_search_by_key(&id, |(other, _)| *other) {
            let _ = pending[at].1.try_send(state);
        }
    }

    /// Removes a pending request.
    fn unregister(&self, id: u64) {
        let mut pending = self.pending.lock();
        if let Ok(at) = pending.binary_search_by_key(&id, |(other, _)| *other) {
            pending.remove(at);
        }
    }
}

impl From<Revocation> for State {
    fn from(revocation: Revocation) -> Self {
        match revocation {
            Revocation::Revoked => Self::Revoked,
            Revocation::Running => Self::Running,
            Revocation::Done(response) => Self::from(response.as_ref()),
            Revocation::Unknown => Self::Unknown,
            Revocation::Expired => Self::Expired,
        }
    }
}

impl From<&StoredResponse> for State {
    fn from(response: &StoredResponse) -> Self {
        if response.size() > MAX_RESPONSE_BYTES {
            return Self::TooLarge;
        }
        let headers = response.headers.iter();
        let headers =
            headers.map(|(name, value)| (name.clone(), value.to_vec())).collect();
        Self::Done { status: response.status, headers, body: response.body.to_vec() }
    }
}

impl From<State> for Status {
    fn from(state: State) -> Self {
        match state {
            State::Revoked => Self::Revoked,
            State::Running => Self::Running,
            State::Done { status, headers, body } => {
                let headers =
                    headers.into_iter().map(|(name, value)| (name, value.into()));
                let headers = headers.collect();
                Self::Done(StoredResponse { status, headers, body: body.into() })
            }
            State::TooLarge => Self::TooLarge,
            State::Unknown | State::Expired => Self::Unknown,
        }
    }
}
