//! The flows that the backend server beside an agent holds.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

/// A flow of the backend server, as its agent has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// How far it has come.
    pub stage: Stage,
    /// When its opening segment was delivered, if this process did that.
    pub offered: Option<Millis>,
    /// The backend server's first sequence number, if the agent saw it.
    pub first: Option<u32>,
    /// The last number that the caller acknowledged.
    pub acknowledged: u32,
    /// The nodes that were told where the flow is.
    pub homes: [Option<Home>; 2],
    /// Generation of the roster for which they were told.
    pub told: Option<u64>,
    /// When the flow's last request segment was delivered and not yet answered.
    pub waiting: Option<Millis>,
}

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening segment is kept until the backend server bears it.
    Waiting,
    /// The opening segment was delivered.
    Offered,
    /// The backend server accepted it; the caller may have chosen another one.
    Accepted,
    /// The caller has chosen this backend server.
    Open,
    /// One of its ends has closed the flow.
    Closing,
    /// It ended with its backend server.
    Lost,
}

impl Held {
    /// A flow at its start.
    pub fn new(stage: Stage) -> Self {
        Self {
            stage,
            offered: None,
            first: None,
            acknowledged: 0,
            homes: [None; 2],
            told: None,
            waiting: None,
        }
    }

    /// A flow whose opening segment is delivered.
    pub fn offered(now: Millis) -> Self {
        Self { offered: Some(now), ..Self::new(Stage::Offered) }
    }

    /// Whether an acknowledgement of the caller can belong to this flow.
    ///
    /// A caller that opened the flow elsewhere acknowledges unrelated numbers.
    pub fn matches(&self, ack: u32) -> bool {
        let most =
            if self.stage == Stage::Accepted { MAX_SENT_AT_ONCE } else { MAX_SENT };
        self.first.is_none_or(|first| ack.wrapping_sub(first) <= most)
    }

    /// Whether a request waits for its answer.
    pub fn is_waiting(&self, now: Millis) -> bool {
        self.waiting.is_some_and(|since| now.since(since) < WAITING_MS)
    }

    /// Whether the caller has chosen this backend server and may still send segments.
    pub fn is_present(&self) -> bool {
        matches!(self.stage, Stage::Open | Stage::Closing)
    }

    /// Whether the flow counts as open load.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Accepted | Stage::Open)
    }
}

/// A node that was told where a flow is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Home {
    /// Where it receives messages.
    pub address: SocketAddrV4,
    /// Its incarnation. The next one has to be told again.
    pub node: u64,
}

/// Bytes that a backend server sends before the caller's first acknowledgement at most: the
/// 16 packets that may be in flight.
const MAX_SENT_AT_ONCE: u32 = 16 * 1_200;

/// Bytes that a backend server sends in one flow at most, for [`Held::matches`]: 60 s at
/// 1 MB/s. Random numbers of another backend server lie within with probability 1.5%.
const MAX_SENT: u32 = 60_000_000;

/// A request without an answer for this long is not counted as running any more, in
/// milliseconds. Callers give up before.
const WAITING_MS: u64 = 10_000;
