//! A fake caller with one flow at a time, a sequence of operations, retransmission and
//! retries.

use std::net::SocketAddr;

use lentilreach::connection::token;
use lentilreach::id::node;
use lentilreach::process::clock::Millis;
use lentilreach::process::ledger;

use super::{Attempt, Body, Message, Reply, Request, Simulation, address};

/// Interval of new operations, in milliseconds.
const OPERATION_MS: u64 = 200;

/// Interval of retransmissions, in milliseconds.
const RETRANSMIT_MS: u64 = 150;

/// Timeout for opening a flow, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_500;

/// Time without a message from the agent after which a flow is considered lost, in
/// milliseconds.
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// A caller of one service.
pub struct Caller {
    pub service: usize,
    /// When an operation last got its response.
    pub answered: Millis,
    flow: Option<Flow>,
    operations: Vec<Operation>,
    /// No flow is opened before this time.
    open_after: Millis,
}

/// A flow, as seen by its caller.
#[derive(Clone, Copy)]
struct Flow {
    address: SocketAddr,
    connection_id: [u8; 8],
    opened: Millis,
    sent: Millis,
    last_received: Millis,
    /// Token, agent and binding, once the flow is open.
    open: Option<([u8; token::LENGTH], usize, (node::Id, Millis))>,
    /// Whether a reply on a stream has arrived.
    established: bool,
}

/// An operation of a caller.
struct Operation {
    attempt: Attempt,
    idempotent: bool,
    key: Option<ledger::Key>,
    /// The stream on the current flow and when it was last sent.
    stream: Option<(u64, Millis)>,
    not_before: Millis,
    /// Number of times that the outcome was unknown.
    unknown: u8,
}

impl Caller {
    /// Creates a caller that opens its first flow immediately.
    pub fn new(service: usize) -> Self {
        Self {
            service,
            answered: Millis(0),
            flow: None,
            operations: Vec::new(),
            open_after: Millis(0),
        }
    }

    /// Abandons the flow; its operations are retried on the next one.
    pub fn reopen(&mut self) {
        self.flow = None;
        for operation in &mut self.operations {
            if operation.stream.take().is_some() && operation.idempotent {
                operation.attempt.number += 1;
            }
        }
    }
}

impl Simulation {
    /// Adds an operation to a caller.
    pub fn add_operation(&mut self, caller: usize, idempotent: bool) {
        let attempt = Attempt { operation: self.unique_id(), number: 0 };
        let not_before = self.now;
        let operation = Operation {
            attempt,
            idempotent,
            key: None,
            stream: None,
            not_before,
            unknown: 0,
        };
        self.callers[caller].operations.push(operation);
    }

    /// Whether the flow is allowed to end: its agent died, is draining or was taken out, or no
    /// reply on a stream has arrived yet.
    fn may_end(&self, flow: &Flow) -> bool {
        let Some((_, agent, _)) = flow.open else { return true };
        let agent = &self.agents[agent];
        !flow.established
            || !agent.alive
            || agent.may_lose_flows
            || agent.draining.is_some()
    }

    /// Ends a flow that the caller did not close.
    fn lose_flow(&mut self, at: usize) {
        if let Some(flow) = self.callers[at].flow {
            self.counts.broken += u32::from(!self.may_end(&flow));
        }
        self.callers[at].reopen();
    }

    pub(super) fn tick_caller(&mut self, at: usize) {
        let now = self.now;
        if (now.0 + 40 * at as u64).is_multiple_of(OPERATION_MS) {
            self.add_operation(at, now.0.is_multiple_of(2 * OPERATION_MS));
        }
        let Some(flow) = self.callers[at].flow else { return self.connect(at) };
        if flow.open.is_none() {
            if now.since(flow.opened) > OPEN_TIMEOUT_MS {
                self.callers[at].reopen();
            } else if now.since(flow.sent) >= RETRANSMIT_MS {
                self.send_initial(at, flow);
            }
        } else if now.since(flow.last_received) > IDLE_TIMEOUT_MS {
            self.lose_flow(at);
        } else {
            self.request_all(at, flow);
        }
    }

    pub(super) fn deliver_to_caller(&mut self, at: usize, message: Message) {
        let Message::Return(address, reply) = message else { return };
        let now = self.now;
        let caller = &mut self.callers[at];
        let Some(flow) = caller.flow.as_mut().filter(|flow| flow.address == address)
        else {
            return;
        };
        flow.last_received = now;
        match reply {
            Reply::Accept(token, agent, binding) if flow.open.is_none() => {
                flow.open = Some((token, agent, binding));
                let flow = *flow;
                self.send_short(at, &flow, Body::Finish);
            }
            Reply::Refuse if flow.open.is_none() => {
                caller.reopen();
                caller.open_after = now.after(100);
            }
            Reply::Reset if flow.open.is_some() => self.lose_flow(at),
            Reply::Response(stream, answered) => {
                flow.established = true;
                if let Some(operation) = caller.take(stream) {
                    caller.answered = now;
                    self.counts.answered += 1;
                    self.counts.mismatched +=
                        u32::from(operation.attempt.operation != answered);
                }
            }
            Reply::NotRun(stream, elsewhere) => {
                flow.established = true;
                if let Some(mut operation) = caller.take(stream) {
                    self.counts.not_run.insert(operation.attempt);
                    operation.attempt.number += 1;
                    (operation.key, operation.stream) = (None, None);
                    operation.not_before = now.after(100);
                    caller.operations.push(operation);
                    if elsewhere {
                        caller.reopen();
                    }
                }
            }
            Reply::Unknown(stream) => {
                flow.established = true;
                // An idempotent request is a new attempt each time. Any other is repeated a
                // few times with the same key, which may return the response.
                if let Some(mut operation) =
                    caller.take(stream).filter(|operation| operation.unknown < 3)
                {
                    operation.attempt.number += u64::from(operation.idempotent);
                    operation.unknown += u8::from(!operation.idempotent);
                    operation.stream = None;
                    operation.not_before = now.after(100);
                    caller.operations.push(operation);
                }
            }
            _ => {}
        }
    }

    /// Opens a flow from a new address.
    fn connect(&mut self, at: usize) {
        if self.now < self.callers[at].open_after {
            return;
        }
        let [.., high, low] = self.unique_id().to_be_bytes();
        let (connection_id, now) = (self.rng.u64(..).to_be_bytes(), self.now);
        let flow = Flow {
            address: SocketAddr::from((
                [10, self.rng.u8(..), high, low],
                1_000 + at as u16,
            )),
            connection_id,
            opened: now,
            sent: now,
            last_received: now,
            open: None,
            established: false,
        };
        self.callers[at].flow = Some(flow);
        self.send_initial(at, flow);
    }

    /// Sends an opening packet.
    fn send_initial(&mut self, at: usize, flow: Flow) {
        let mut datagram = vec![0xc0, 0, 0, 0, 1, 8];
        datagram.extend(flow.connection_id);
        datagram.resize(1_200, 0);
        let service = address(self.callers[at].service);
        self.callers[at].flow = Some(Flow { sent: self.now, ..flow });
        self.send_via_balancer(Message::Datagram(
            flow.address,
            service,
            datagram,
            Body::Open,
        ));
    }

    /// Sends a packet on an open flow.
    fn send_short(&mut self, at: usize, flow: &Flow, body: Body) {
        let Some((token, ..)) = flow.open else { return };
        let mut datagram = vec![0x40];
        datagram.extend(token);
        let service = address(self.callers[at].service);
        // A caller may also present its token to another service.
        if self.rng.u8(..16) == 0 {
            let foreign = address(1 - self.callers[at].service);
            self.send_via_balancer(Message::Datagram(
                flow.address,
                foreign,
                datagram.clone(),
                body,
            ));
        }
        self.send_via_balancer(Message::Datagram(flow.address, service, datagram, body));
    }

    /// Sends all requests that are due, and retransmits those without a reply.
    fn request_all(&mut self, at: usize, flow: Flow) {
        let Some((_, _, (owner, expiry))) = flow.open else { return };
        let (now, service) = (self.now, self.callers[at].service);
        for index in 0..self.callers[at].operations.len() {
            let new_id = self.unique_id();
            let operation = &mut self.callers[at].operations[index];
            let due =
                operation.stream.is_none_or(|(_, sent)| now.since(sent) >= RETRANSMIT_MS);
            if !due || now < operation.not_before {
                continue;
            }
            let stream = operation.stream.map_or(new_id, |(stream, _)| stream);
            operation.stream = Some((stream, now));
            if !operation.idempotent && operation.key.is_none() {
                let nonce = new_id.to_be_bytes();
                operation.key = Some(ledger::Key::new(owner, expiry, &nonce));
            }
            let (attempt, key) = (operation.attempt, operation.key);
            let request = Request { stream, attempt, service, key };
            self.send_short(at, &flow, Body::Request(request));
        }
    }
}

impl Caller {
    /// Removes and returns the operation on a stream.
    fn take(&mut self, stream: u64) -> Option<Operation> {
        let on =
            |operation: &Operation| operation.stream.is_some_and(|(id, _)| id == stream);
        let at = self.operations.iter().position(on)?;
        Some(self.operations.remove(at))
    }
}
