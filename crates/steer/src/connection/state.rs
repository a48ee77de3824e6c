//! The flows that the backend server beside an agent holds.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

/// A flow of the backend server, as its agent has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// How far it has come.
    pub stage: Stage,
    /// When its opening segment was delivered, if this process did that.
    pub offered_at: Option<Millis>,
    /// The backend server's first sequence number, if the agent saw it.
    pub first_sequence: Option<u32>,
    /// The last number that the caller acknowledged.
    pub acknowledged: u32,
    /// The nodes that were told where the flow is.
    pub homes: [Option<Home>; 2],
    /// Generation of the roster for which they were told.
    pub announced_generation: Option<u64>,
    /// When the flow's last request segment was delivered and not yet answered.
    pub request_since: Option<Millis>,
}

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening segment is kept until the backend server bears it.
    Held,
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

impl State {
    /// A flow at its start.
    pub fn new(stage: Stage) -> Self {
        Self {
            stage,
            offered_at: None,
            first_sequence: None,
            acknowledged: 0,
            homes: [None; 2],
            announced_generation: None,
            request_since: None,
        }
    }

    /// A flow whose opening segment is delivered.
    pub fn offered_at(now: Millis) -> Self {
        Self { offered_at: Some(now), ..Self::new(Stage::Offered) }
    }

    /// Whether an acknowledgement of the caller can belong to this flow.
    ///
    /// A caller that opened the flow elsewhere acknowledges unrelated numbers.
    pub fn accepts_ack(&self, ack: u32) -> bool {
        let most = if self.stage == Stage::Accepted {
            INITIAL_WINDOW_BYTES
        } else {
            MAX_SENT_BYTES
        };
        self.first_sequence
            .is_none_or(|first_sequence| ack.wrapping_sub(first_sequence) <= most)
    }

    /// Whether a request waits for its answer.
    pub fn is_awaiting_answer(&self, now: Millis) -> bool {
        self.request_since.is_some_and(|since| now.since(since) < REQUEST_TIMEOUT_MS)
    }

    /// Whether the caller has chosen this backend server and may still send segments.
    pub fn is_established(&self) -> bool {
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
    pub incarnation: u64,
}

/// Bytes that a backend server sends before the caller's first acknowledgement at most: the
/// 16 packets that may be in flight.
const INITIAL_WINDOW_BYTES: u32 = 16 * 1_200;

/// Bytes that a backend server sends in one flow at most, for [`State::accepts_ack`]: 60 s at
/// 1 MB/s. Random numbers of another backend server lie within with probability 1.5%.
const MAX_SENT_BYTES: u32 = 60_000_000;

/// A request without an answer for this long is not counted as running any more, in
/// milliseconds. Callers give up before.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
