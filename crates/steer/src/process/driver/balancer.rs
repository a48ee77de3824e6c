//! The balancer daemon, which receives segments from callers.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use lentilreach::process::link::Link;
use lentilreach::process::lock::Ranked;
use lentilreach::process::pool::Pool;
use lentilreach::process::store::Store;
use lentilreach::process::tables;
use smol::Task;

use super::receive::{self, count_invalid};
use super::{Dependencies, Node, Observer, send_datagram, start};
use crate::process::balancer::{self, Action, Refusal};
use crate::process::documents::Source;
use crate::process::metric;
use crate::process::roster::{HEARTBEAT_INTERVAL_MS, Role};
use crate::process::settings;
use crate::request::message::{Envelope, Message, Search};
use crate::request::segment::{Format, Segment};

/// Number of flows to remember per megabyte of the memory limit. A table entry takes
/// about 100 bytes, so nine tenths of the memory remain free.
const FLOWS_PER_MB: usize = 1_000;

/// Time for which segments are still forwarded after the process has reported that it is
/// not ready. Routers need two failed readiness checks, half a second apart, and the
/// answers take time to arrive.
const FORWARDING_GRACE: Duration = Duration::from_millis(1_800);

/// A running balancer.
#[derive(Debug)]
pub struct Balancer<F, L> {
    /// State shared by the tasks.
    state: Arc<State<F, L>>,
    /// Tasks that are cancelled when the balancer is dropped.
    _tasks: Vec<Task<()>>,
}

/// State shared by the tasks of a balancer.
#[derive(Debug)]
struct State<F, L> {
    /// The part of the state that both daemons have.
    node: Arc<Node<L>>,
    /// Parses segments.
    format: F,
    /// Socket for segments from and to callers.
    callers: L,
    /// Decides on segments and remembers where flows are.
    flows: Ranked<balancer::Balancer>,
}

impl<F: Format, L: Link> Balancer<F, L> {
    /// Starts a balancer.
    pub fn start<S: Store, D: Source>(
        pool: &Pool,
        settings: &settings::Balancer,
        format: F,
        links: (L, L),
        dependencies: Dependencies<S, D>,
    ) -> Self {
        let (callers, nodes) = links;
        let node = Node::new(settings.node.clone(), nodes);
        let limit = settings.node.memory_mb as usize * FLOWS_PER_MB;
        let domain = settings.node.domain.clone();
        let flows = balancer::Balancer::new(node.now(), domain, limit);
        let flows = Ranked::new(tables::CONNECTIONS, flows);
        let state = Arc::new(State { node: node.clone(), format, callers, flows });
        let mut tasks = start(pool, &node, dependencies, Role::Balancer, state.clone());
        let (link, shared) = (state.callers.clone(), state.clone());
        tasks.push(pool.spawn(async move {
            shared.node.wait_until_ready().await;
            receive::run(link, "callers", move |_, bytes| shared.forward(bytes)).await;
        }));
        let (link, shared) = (node.link.clone(), state.clone());
        tasks.push(pool.spawn(receive::run(link, "nodes", move |from, bytes| {
            shared.handle_message(from, bytes);
        })));
        tasks.push(pool.spawn(state.clone().tick()));
        Self { state, _tasks: tasks }
    }

    /// The part of the state that both daemons have.
    pub fn node(&self) -> &Arc<Node<L>> {
        &self.state.node
    }

    /// Reports that the process is not ready any more, and keeps forwarding until routers
    /// no longer send segments to it.
    pub async fn finish(&self) {
        self.state.node.is_stopping.store(true, Ordering::Relaxed);
        Timer::after(FORWARDING_GRACE.min(self.state.node.settings.stop_timeout / 2))
            .await;
    }
}

impl<F: Format, L: Link> Observer for State<F, L> {}

impl<F: Format, L: Link> State<F, L> {
    /// Periodically sends heartbeats and removes idle flows.
    async fn tick(self: Arc<Self>) {
        loop {
            self.node.tick();
            self.node.broadcast_heartbeat(Role::Balancer, |_, _| None);
            let now = self.node.now();
            let idle_ms = self.node.settings.max_flow_age.as_millis() as u64;
            self.flows.write().expire(now, idle_ms);
            Timer::after(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        }
    }

    /// Forwards a segment from a caller.
    fn forward(&self, bytes: &[u8]) {
        let segment = match self.format.read(bytes) {
            Ok(segment) => segment,
            Err(fault) => return count_invalid(fault.as_str()),
        };
        let now = self.node.now();
        let routing = self.node.routing();
        let (action, view_hash) = {
            let roster = self.node.roster.read();
            let mut flows = self.flows.write();
            let action = flows.handle_segment(now, &routing, &roster, &segment);
            (action, (!segment.is_opening()).then(|| roster.view_hash()))
        };
        let flow = segment.flow_from_caller();
        match action {
            Action::Send { to, search, service, is_newly_selected } => {
                let service = service.as_deref().unwrap_or_default();
                let envelope = Envelope {
                    version: routing.version,
                    search,
                    hops: 0,
                    delay_ms: self.node.delay_ms(now),
                    origin: self.node.settings.nodes,
                    service: Cow::Borrowed(service),
                    tried: Vec::new(),
                    to_visit: Vec::new(),
                    view_hash,
                    is_exhaustive: false,
                    bytes,
                };
                self.node.send(to, &Message::Segment(envelope));
                if is_newly_selected && search == Search::Open {
                    self.node.roster.write().record_placement(now, to);
                }
                if is_newly_selected {
                    metric::count_labelled(&metric::SENT, search.as_str());
                    log::info!(
                        target: "sent", flow:% = flow, agent:% = to, search = search.as_str(),
                        service = service, version = routing.version; "flow sent to an agent"
                    );
                }
            }
            Action::Refuse { sequence, cause } => {
                self.refuse(&segment, sequence, cause, routing.version);
            }
            Action::Drop(reason) => {
                metric::count_labelled(&metric::DROPPED, reason.as_str());
                log::info!(
                    target: "dropped", flow:% = flow, cause = reason.as_str(),
                    version = routing.version; "segment dropped"
                );
            }
        }
    }

    /// Sends a reset to a caller whose flow is refused or has ended.
    fn refuse(&self, segment: &Segment, sequence: u32, refusal: Refusal, version: u64) {
        let flow = segment.flow_from_caller();
        let bytes = self.format.reset(&flow, sequence);
        send_datagram(&self.callers, self.node.caller_address(&flow), &bytes);
        metric::count_labelled(&metric::REFUSED, refusal.as_str());
        let summary = self.node.roster.read().summary();
        log::info!(
            target: "refused", flow:% = flow, cause = refusal.as_str(), version = version,
            opening = segment.is_opening(), detail:? = refusal, agents:? = summary;
            "flow refused"
        );
    }

    /// Processes a message from another node.
    fn handle_message(&self, from: SocketAddr, bytes: &[u8]) {
        let SocketAddr::V4(from) = from else { return count_invalid("sender") };
        let now = self.node.now();
        match Message::decode(bytes) {
            Some(Message::Heartbeat(heartbeat)) => {
                if self.node.handle_heartbeat(from, &heartbeat) {
                    self.node.reply_heartbeat(from, Role::Balancer, None);
                }
            }
            Some(Message::Found(flow)) => {
                self.flows.write().flow_found(now, flow, from);
                log::info!(target: "found", flow:% = flow, agent:% = from; "flow found");
            }
            Some(Message::NotFound(flow)) => self.flows.write().flow_not_found(&flow),
            Some(Message::Leave(incarnation)) => {
                self.node.handle_leave(from, incarnation);
            }
            Some(Message::DocumentsRequest) => self.node.send_documents(from),
            Some(Message::Documents(chunk)) => self.node.handle_documents(&chunk),
            Some(
                Message::Segment(_) | Message::Announcement(_) | Message::Handover(_),
            ) => count_invalid("role"),
            None => count_invalid("message"),
        }
    }
}
