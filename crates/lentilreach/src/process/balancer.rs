//! The balancer: forwards datagrams from callers to agents and back.

use std::net::SocketAddr;
use std::sync::Arc;

use smol::Task;

use crate::process::ingress::{Ingress, Received};
use crate::process::link::{Link, MAX_DATAGRAM_LEN, is_transient};
use crate::process::metric::{Balancer as Metrics, Envelope};
use crate::process::pool::Pool;
use crate::process::tables::Tables;
use crate::request::envelope::{Fault, Forward, HOME, Header};
use crate::request::packet::{self, Packet};
use crate::request::route::{Reason, Verdict, route};
use crate::version::view::Service;

/// Number of tasks for each direction. With more than one, a second worker runs while the
/// first sends; more than two only contend for the socket.
const TASKS_PER_DIRECTION: usize = 2;

/// A running balancer. Stops when dropped.
#[derive(Debug)]
pub struct Balancer {
    /// The tasks that forward datagrams.
    _tasks: Vec<Task<()>>,
}

impl Balancer {
    /// Starts forwarding datagrams between callers and agents.
    ///
    /// `link` receives envelopes from agents; every envelope contains its address.
    pub fn start<I: Ingress, L: Link>(
        pool: &Pool,
        tables: Arc<Tables>,
        ingress: I,
        link: L,
    ) -> Self {
        let (metrics, envelopes) = (Metrics::new(), Envelope::new());
        let worker = Worker { tables, ingress, link, metrics, envelopes };
        let mut tasks = Vec::new();
        for _ in 0..TASKS_PER_DIRECTION {
            tasks.push(pool.spawn(worker.clone().forward_all()));
            tasks.push(pool.spawn(worker.clone().return_all()));
        }
        Self { _tasks: tasks }
    }
}

/// State of a balancer task.
#[derive(Debug, Clone)]
struct Worker<I, L> {
    /// The view and the fleet keys.
    tables: Arc<Tables>,
    /// Interface to callers.
    ingress: I,
    /// Interface to agents.
    link: L,
    /// Counts datagrams.
    metrics: Metrics,
    /// Counts rejected envelopes.
    envelopes: Envelope,
}

impl<I: Ingress, L: Link> Worker<I, L> {
    /// Forwards datagrams from callers to agents until the ingress fails.
    async fn forward_all(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
        loop {
            match self.ingress.receive(&mut buffer).await {
                Ok(Some(received)) => self.forward(&buffer, received, &mut out),
                Ok(None) => self.metrics.count_dropped(Reason::NotQuic),
                Err(error) if is_transient(&error) => {}
                Err(error) => return log::error!("step=receive peer=fabric {error}"),
            }
        }
    }

    /// Routes one datagram and forwards it.
    fn forward(&self, buffer: &[u8], received: Received, out: &mut Vec<u8>) {
        self.metrics.count_received();
        let datagram = &buffer[received.start..received.end];
        let packet = match Packet::parse(received.caller, received.service, datagram) {
            Ok(packet) => packet,
            Err(packet::Fault::Short) => {
                return self.metrics.count_dropped(Reason::Short);
            }
            Err(packet::Fault::NotQuic) => {
                return self.metrics.count_dropped(Reason::NotQuic);
            }
        };
        let keys = self.tables.keys();
        let view = self.tables.view();
        let verdict = route(&view, &keys.tokens, &packet, keys.salt());
        let (service, agent, candidates, mean) = match verdict {
            Verdict::Forward { service, agent } => (service, agent, Vec::new(), None),
            Verdict::Offer { service, home, candidates } => {
                let mean = view.service(received.service).and_then(Service::mean);
                (service, home, Vec::from(&candidates), mean)
            }
            Verdict::Drop(reason) => return self.metrics.count_dropped(reason),
        };
        let opening = !candidates.is_empty();
        let header = Header::Forward(Forward {
            service,
            address: received.service,
            caller: received.caller,
            balancer: self.link.local_addr(),
            mean,
            home: opening.then_some(agent),
            fewest_open: None,
            handed_back: false,
            position: if opening { HOME } else { 0 },
            candidates,
        });
        if !keys.sealer.seal(&header, datagram, out)
            || self.link.send(SocketAddr::V4(agent), out).is_err()
        {
            self.metrics.count_unsent();
        } else if opening {
            self.metrics.count_offered();
        } else {
            self.metrics.count_forwarded();
        }
    }

    /// Forwards datagrams from agents to callers until the link fails.
    async fn return_all(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        loop {
            match self.link.receive(&mut buffer).await {
                Ok((len, _)) => self.return_datagram(&buffer[..len]),
                Err(error) if is_transient(&error) => {}
                Err(error) => return log::error!("step=receive peer=agent {error}"),
            }
        }
    }

    /// Verifies one envelope and sends its datagram to the caller.
    fn return_datagram(&self, envelope: &[u8]) {
        match self.tables.keys().sealer.open(envelope) {
            Ok((Header::Return(to), datagram)) => {
                if self.ingress.send(to.address, to.caller, datagram).is_ok() {
                    self.metrics.count_returned();
                }
            }
            Ok(_) => self.envelopes.count_rejected(Fault::Header),
            Err(fault) => self.envelopes.count_rejected(fault),
        }
    }
}
