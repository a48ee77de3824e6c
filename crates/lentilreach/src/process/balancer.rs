//! The body of the balancer daemon: receives, routes, forwards, returns.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use smol::Task;

use crate::process::counter::Balancer as Metrics;
use crate::process::entry::{Arrival, Entry};
use crate::process::link::{Link, MAX_DATAGRAM};
use crate::process::pool::Pool;
use crate::process::tables::Tables;
use crate::request::envelope::{Forward, Header};
use crate::request::packet::{self, Packet};
use crate::request::route::{Reason, Verdict, route};

/// Tasks for each direction. More than one keeps a second worker busy while the first
/// sends; beyond two they only contend for the socket.
const TASKS: usize = 2;

/// A running balancer. Stops when dropped.
#[derive(Debug)]
pub struct Balancer {
    /// The tasks that move datagrams.
    _tasks: Vec<Task<()>>,
}

impl Balancer {
    /// Starts to move datagrams between callers and agents.
    ///
    /// `link` receives envelopes from agents; its address is named in every envelope.
    pub fn start<E: Entry, L: Link>(
        pool: &Pool,
        tables: Arc<Tables>,
        entry: E,
        link: L,
    ) -> Self {
        let worker = Worker { tables, entry, link, metrics: Metrics::new() };
        let mut tasks = Vec::new();
        for _ in 0..TASKS {
            tasks.push(pool.spawn(worker.clone().forward_all()));
            tasks.push(pool.spawn(worker.clone().return_all()));
        }
        Self { _tasks: tasks }
    }
}

/// What a task of the balancer works with.
#[derive(Debug, Clone)]
struct Worker<E, L> {
    /// View and keys.
    tables: Arc<Tables>,
    /// The side of callers.
    entry: E,
    /// The side of agents.
    link: L,
    /// Counters.
    metrics: Metrics,
}

impl<E: Entry, L: Link> Worker<E, L> {
    /// Moves datagrams from callers to agents until the entry fails.
    async fn forward_all(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        loop {
            match self.entry.receive(&mut buffer).await {
                Ok(Some(arrival)) => self.forward(&buffer, arrival, &mut out),
                Ok(None) => self.metrics.dropped(Reason::NotQuic),
                Err(error) if is_passing(&error) => {}
                Err(error) => return log::error!("step=receive peer=fabric {error}"),
            }
        }
    }

    /// Routes one datagram and sends it on.
    fn forward(&self, buffer: &[u8], arrival: Arrival, out: &mut Vec<u8>) {
        self.metrics.received();
        let datagram = &buffer[arrival.start..arrival.end];
        let packet = match Packet::parse(arrival.caller, arrival.service, datagram) {
            Ok(packet) => packet,
            Err(packet::Fault::Short) => return self.metrics.dropped(Reason::Short),
            Err(packet::Fault::NotQuic) => return self.metrics.dropped(Reason::NotQuic),
        };
        let keys = self.tables.keys();
        let verdict =
            route(&self.tables.view(), &keys.tokens, &packet, fastrand::u64(..));
        let (service, agent, candidates) = match verdict {
            Verdict::Forward { service, agent } => (service, agent, Vec::new()),
            Verdict::Offer { service, candidates } => {
                (service, candidates.as_slice()[0], Vec::from(&candidates))
            }
            Verdict::Drop(reason) => return self.metrics.dropped(reason),
        };
        let header = Header::Forward(Forward {
            service,
            address: arrival.service,
            caller: arrival.caller,
            balancer: self.link.local(),
            position: 0,
            candidates,
        });
        if keys.sealer.seal(&header, datagram, out)
            && self.link.send(SocketAddr::V4(agent), out).is_ok()
        {
            self.metrics.forwarded();
        }
    }

    /// Moves datagrams from agents to callers until the link fails.
    async fn return_all(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match self.link.receive(&mut buffer).await {
                Ok((len, _)) => self.give_back(&buffer[..len]),
                Err(error) if is_passing(&error) => {}
                Err(error) => return log::error!("step=receive peer=agent {error}"),
            }
        }
    }

    /// Checks one envelope and sends its datagram to the caller.
    fn give_back(&self, envelope: &[u8]) {
        match self.tables.keys().sealer.open(envelope) {
            Ok((Header::Return(to), datagram)) => {
                if self.entry.send(to.address, to.caller, datagram).is_ok() {
                    self.metrics.returned();
                }
            }
            Ok(_) => self.metrics.rejected("kind"),
            Err(fault) => self.metrics.rejected(fault.as_str()),
        }
    }
}

/// Whether a receive error concerns one datagram and not the socket.
///
/// A closed port at a peer shows up as "connection refused" on the next receive.
pub fn is_passing(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}
