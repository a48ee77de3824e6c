//! An agent's view of the flows that its backend server holds.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

/// A flow of the backend server as its agent tracks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// The stage of its life cycle.
    pub stage: Stage,
    /// When the opening segment was delivered; `None` if another process of the agent did
    /// that.
    pub offered_at: Option<Millis>,
    /// Sequence number of the opening segment; `None` if another process of the agent
    /// delivered it. Tells a retransmission from the opening of another flow between the
    /// same addresses.
    pub opening_sequence: Option<u32>,
    /// The first sequence number of the backend server, if the agent has seen it.
    pub first_sequence: Option<u32>,
    /// The last sequence number that the caller acknowledged.
    pub acknowledged: u32,
    /// The home nodes that the flow was announced to.
    pub homes: [Option<Home>; 2],
    /// Generation of the roster for which the home nodes were last informed.
    pub announced_generation: Option<u64>,
    /// Sequence number after the last byte of the caller that was delivered; `None`
    /// until there is one. Tells requests from retransmissions.
    pub requested_to: Option<u32>,
}

/// The stages of a flow's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening segment waits until the backend server has room for it.
    Held,
    /// The opening segment was delivered.
    Offered,
    /// The backend server accepted the flow, but the caller may have chosen another one.
    Accepted,
    /// The caller acknowledged the acceptance by this backend server.
    Open,
    /// One of the endpoints has closed or reset the flow.
    Closing,
    /// The flow ended together with its backend server.
    Lost,
}

impl State {
    /// Creates a flow of which only the stage is known.
    pub fn new(stage: Stage) -> Self {
        Self {
            stage,
            offered_at: None,
            opening_sequence: None,
            first_sequence: None,
            acknowledged: 0,
            homes: [None; 2],
            announced_generation: None,
            requested_to: None,
        }
    }

    /// Creates a flow whose opening segment was just delivered.
    pub fn offered(now: Millis, opening_sequence: u32) -> Self {
        Self {
            offered_at: Some(now),
            opening_sequence: Some(opening_sequence),
            ..Self::new(Stage::Offered)
        }
    }

    /// Whether an opening segment is a retransmission of the one that opened this flow.
    /// Before the caller has chosen a backend server, it may be one although this process
    /// hasn't seen the first.
    pub fn is_opened_by(&self, sequence: u32) -> bool {
        match self.opening_sequence {
            Some(known) => known == sequence,
            None => matches!(self.stage, Stage::Offered | Stage::Accepted),
        }
    }

    /// Whether an acknowledgement of the caller is plausible for this flow.
    ///
    /// If the caller opened the flow at another backend server, its acknowledgements
    /// refer to an unrelated range of sequence numbers.
    pub fn accepts_ack(&self, ack: u32) -> bool {
        let max = if self.stage == Stage::Accepted {
            INITIAL_WINDOW_BYTES
        } else {
            MAX_SENT_BYTES
        };
        self.first_sequence
            .is_none_or(|first_sequence| ack.wrapping_sub(first_sequence) <= max)
    }

    /// Records that a segment with data was delivered to the backend server. Returns
    /// whether the data is new.
    pub fn record_request(&mut self, sequence: u32, length: u16) -> bool {
        let is_new = self.is_new_data(sequence, length);
        if is_new {
            self.requested_to = Some(sequence.wrapping_add(u32::from(length)));
        }
        is_new
    }

    /// Whether a segment has data that was not delivered to the backend server yet.
    pub fn is_new_data(&self, sequence: u32, length: u16) -> bool {
        let end = sequence.wrapping_add(u32::from(length));
        // Compares sequence numbers modulo 2^32.
        length > 0
            && self.requested_to.is_none_or(|known| end.wrapping_sub(known) as i32 > 0)
    }

    /// Whether the caller has chosen this backend server and may still send segments.
    pub fn is_established(&self) -> bool {
        matches!(self.stage, Stage::Open | Stage::Closing)
    }

    /// Whether the flow counts towards the load.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Accepted | Stage::Open)
    }
}

/// A home node that a flow was announced to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Home {
    /// Address at which it receives messages.
    pub address: SocketAddrV4,
    /// Its incarnation. After a restart it has to be informed again.
    pub incarnation: u64,
}

/// Maximum number of bytes that a backend server sends before the first acknowledgement:
/// the 16 packets that may be in flight.
const INITIAL_WINDOW_BYTES: u32 = 16 * 1_200;

/// Maximum number of bytes that a backend server sends in one flow, for
/// [`State::accepts_ack`]: 60 s at 1 MB/s. An unrelated random sequence number lies in
/// this range with a probability of 1.5%.
const MAX_SENT_BYTES: u32 = 60_000_000;
