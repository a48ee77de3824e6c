//! Generates connection IDs that are tokens.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use quinn::{ConnectionId, ConnectionIdGenerator};

use crate::connection::token::{LENGTH, Token};
use crate::id::{domain, node, service};
use crate::process::tables::Tables;

/// Generates the connection IDs of one agent's QUIC endpoint.
#[derive(Debug)]
pub struct Generator {
    /// Provides the token keys.
    tables: Arc<Tables>,
    /// The fields common to all tokens of the endpoint.
    origin: Origin,
    /// Makes tokens distinct. Wraps at 24 bits; quinn then skips connection IDs still in use.
    nonce: AtomicU32,
}

/// The service and agent that a token routes to.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// The service.
    pub service: service::Id,
    /// The agent's failure domain.
    pub domain: domain::Id,
    /// The envelope address of the agent.
    pub agent: SocketAddrV4,
    /// The agent's process.
    pub node: node::Id,
}

impl Generator {
    /// Creates a generator whose tokens contain the given origin.
    pub fn new(tables: Arc<Tables>, origin: Origin) -> Self {
        Self { tables, origin, nonce: AtomicU32::new(fastrand::u32(..)) }
    }
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        let token = Token {
            service: self.origin.service,
            domain: self.origin.domain,
            agent: self.origin.agent,
            incarnation: self.origin.node.incarnation(),
            nonce: self.nonce.fetch_add(1, Ordering::Relaxed) & 0x00ff_ffff,
        };
        let keys = self.tables.keys();
        // Without keys no envelope can be opened, so no connection can have reached this
        // point.
        let id = keys.tokens.encode(&token).unwrap_or([0; LENGTH]);
        ConnectionId::new(&id)
    }

    fn cid_len(&self) -> usize {
        LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
