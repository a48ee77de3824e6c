//! Questions between agents about idempotency keys.
//!
//! An agent that sees a key of another one asks it to seal the key. Question and answer
//! are encrypted datagrams; a lost one is asked again.

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
use crate::process::ledger::{Answer, Key, Sealing};
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::tables::Tables;

/// Time to wait for an answer before asking again. Several round trips between the most
/// distant failure domains.
const WAIT: Duration = Duration::from_millis(100);

/// Times that a question is asked. At 1% loss each way all are lost once in 10^8.
const TRIES: usize = 5;

/// Largest answer that is passed on between agents, in bytes, so that it fits a datagram.
const MAX_ANSWER: usize = 900;

/// A message between agents.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Message {
    /// Seal a key and say what became of it.
    Ask {
        /// Repeated in the answer.
        id: u64,
        /// Where the answer goes.
        reply: SocketAddr,
        /// Owner, end and hashed nonce of the key.
        key: (node::Id, Millis, [u8; 16]),
    },
    /// What became of it.
    Tell {
        /// The question's number.
        id: u64,
        /// The owner's word.
        state: State,
    },
}

/// Wire form of a [`Sealing`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum State {
    /// It has not run and never will.
    Sealed,
    /// It is running.
    Running,
    /// It has run, with this answer.
    Done { status: u16, headers: Vec<(Name, Vec<u8>)>, body: Vec<u8> },
    /// It has run, with an answer too large for a datagram.
    Large,
    /// It may have run.
    Unknown,
    /// The owner no longer holds its record.
    Expired,
}

/// What became of a key, as far as its owner says.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// It has not run and never will.
    Sealed,
    /// It is running.
    Running,
    /// It has run, with this answer.
    Done(Answer),
    /// It has run; its answer is not to be had.
    Large,
    /// Nobody can say.
    Unknown,
}

/// Asks other agents and answers them.
#[derive(Debug)]
pub struct Seals<L> {
    /// Sends to other agents.
    link: L,
    /// Has the keys.
    tables: Arc<Tables>,
    /// The number of the next question.
    next: AtomicU64,
    /// Sorted by number; open questions.
    open: Mutex<Vec<(u64, async_channel::Sender<State>)>>,
}

impl<L: Link> Seals<L> {
    /// A client over a link.
    pub fn new(link: L, tables: Arc<Tables>) -> Self {
        // A random start keeps late answers to a former process from matching.
        let next = AtomicU64::new(fastrand::u64(..) >> 1);
        Self { link, tables, next, open: Mutex::default() }
    }

    /// Asks the owner of a key to seal it.
    pub async fn ask(&self, owner: SocketAddr, key: Key) -> Verdict {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.note(id, sender);
        let key = (key.owner, key.expiry, key.nonce);
        let message = Message::Ask { id, reply: self.link.local(), key };
        let mut state = None;
        for _ in 0..TRIES {
            self.send(owner, &message);
            let timeout = async {
                Timer::after(WAIT).await;
                None
            };
            state = future::or(async { receiver.recv().await.ok() }, timeout).await;
            if state.is_some() {
                break;
            }
        }
        self.forget(id);
        state.map_or(Verdict::Unknown, Verdict::from)
    }

    /// Takes in a message; `decide` seals a key of ours.
    pub fn receive(&self, envelope: &[u8], decide: impl FnOnce(&Key) -> Sealing) -> bool {
        let Ok(plain) = self.tables.keys().sealer.open_secret(envelope) else {
            return false;
        };
        match postcard::from_bytes(&plain) {
            Ok(Message::Ask { id, reply, key }) => {
                let (owner, expiry, nonce) = key;
                let state = State::from(decide(&Key { owner, expiry, nonce }));
                self.send(reply, &Message::Tell { id, state });
                true
            }
            Ok(Message::Tell { id, state }) => {
                self.tell(id, state);
                true
            }
            Err(_) => false,
        }
    }

    /// Sends a message. Loss is made good by asking again.
    fn send(&self, to: SocketAddr, message: &Message) {
        let Ok(plain) = postcard::to_allocvec(message) else { return };
        let mut out = Vec::with_capacity(plain.len() + 64);
        if self.tables.keys().sealer.seal_secret(&plain, &mut out) {
            let _ = self.link.send(to, &out);
        }
    }

    /// Notes an open question.
    fn note(&self, id: u64, sender: async_channel::Sender<State>) {
        let mut open = self.open.lock();
        let at = open.partition_point(|(other, _)| *other < id);
        open.insert(at, (id, sender));
    }

    /// Hands an answer to the one who asked.
    fn tell(&self, id: u64, state: State) {
        let open = self.open.lock();
        if let Ok(at) = open.binary_search_by_key(&id, |(other, _)| *other) {
            let _ = open[at].1.try_send(state);
        }
    }

    /// Drops a question.
    fn forget(&self, id: u64) {
        let mut open = self.open.lock();
        if let Ok(at) = open.binary_search_by_key(&id, |(other, _)| *other) {
            open.remove(at);
        }
    }
}

impl From<Sealing> for State {
    fn from(sealing: Sealing) -> Self {
        match sealing {
            Sealing::Sealed => Self::Sealed,
            Sealing::Running => Self::Running,
            Sealing::Done(answer) => Self::from(answer.as_ref()),
            Sealing::Unknown => Self::Unknown,
            Sealing::Expired => Self::Expired,
        }
    }
}

impl From<&Answer> for State {
    fn from(answer: &Answer) -> Self {
        if answer.size() > MAX_ANSWER {
            return Self::Large;
        }
        let headers = answer.headers.iter();
        let headers =
            headers.map(|(name, value)| (name.clone(), value.to_vec())).collect();
        Self::Done { status: answer.status, headers, body: answer.body.to_vec() }
    }
}

impl From<State> for Verdict {
    fn from(state: State) -> Self {
        match state {
            State::Sealed => Self::Sealed,
            State::Running => Self::Running,
            State::Done { status, headers, body } => {
                let headers =
                    headers.into_iter().map(|(name, value)| (name, value.into()));
                let headers = headers.collect();
                Self::Done(Answer { status, headers, body: body.into() })
            }
            State::Large => Self::Large,
            State::Unknown | State::Expired => Self::Unknown,
        }
    }
}
