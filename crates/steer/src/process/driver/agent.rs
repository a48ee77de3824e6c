//! The agent daemon, which runs next to a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use lentilreach::process::clock::Millis;
use lentilreach::process::link::Link;
use lentilreach::process::lock::Ranked;
use lentilreach::process::pool::Pool;
use lentilreach::process::store::Store;
use lentilreach::process::tables;
use smol::Task;

use super::receive::{self, count_invalid};
use super::{Dependencies, Node, Observer, probe, send_datagram, start};
use crate::process::agent::{
    self, Action, Arrival, BackendAction, Ended, Forwarding, Limits,
};
use crate::process::backend::record::Record;
use crate::process::backend::{Bounds, TICK_MS};
use crate::process::documents::Source;
use crate::process::metric;
use crate::process::roster::{HEARTBEAT_INTERVAL_MS, Role};
use crate::process::settings;
use crate::request::message::{Envelope, Message};
use crate::request::segment::Format;
use crate::version::routing::Routing;

mod action;
mod release;
mod report;
mod startup;
mod status;

pub use report::{Foreign, ReportHandler};

use startup::Startup;

/// Number of flows to track per megabyte of the memory limit. A table entry takes about
/// 150 bytes, so most of the memory remains free.
const FLOWS_PER_MB: usize = 500;

/// Maximum time that a stopping agent waits for a moment in which nothing is in flight. The
/// remaining time until the process is killed is a reserve for slow machines.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a stopping agent checks whether requests are running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a stopping agent still forwards segments, until balancers send no more
/// openings to it.
const FORWARDING_GRACE: Duration = Duration::from_millis(300);

/// Time for which an agent keeps running after its backend server is gone, to reset the
/// remaining flows.
const RESET_GRACE: Duration = Duration::from_millis(800);

/// A running agent.
#[derive(Debug)]
pub struct Agent<F, L> {
    /// State shared by the tasks.
    state: Arc<State<F, L>>,
    /// Tasks that are cancelled when the agent is dropped.
    _tasks: Vec<Task<()>>,
}

/// State shared by the tasks of an agent.
#[derive(Debug)]
struct State<F, L> {
    /// The part of the state that both daemons have.
    node: Arc<Node<L>>,
    /// Parses segments.
    format: F,
    /// Socket for segments from and to the backend server.
    backend: L,
    /// Address of the backend server.
    server: SocketAddr,
    /// Decides on segments and tracks flows.
    flows: Ranked<agent::Agent>,
    /// Segments that wait for the process to be ready.
    startup: Startup,
    /// Signals that an opening has begun to wait.
    hold_signal: (Sender<()>, Receiver<()>),
}

impl<F: Format, L: Link> Agent<F, L> {
    /// Starts an agent.
    pub fn start<S: Store, D: Source>(
        pool: &Pool,
        settings: &settings::Agent,
        format: F,
        links: (L, L),
        dependencies: Dependencies<S, D>,
    ) -> Self {
        let (backend, nodes) = links;
        let node = Node::new(settings.node.clone(), nodes);
        let bounds = Bounds {
            cold_factor: settings.cold_overage,
            cold_slack: settings.cold_slack,
            limits_zero_rate: settings.limits_zero_rate,
            report_ms: settings.report_ms,
            address_reuse_ms: settings.address_reuse.as_millis() as u64,
        };
        let limits = Limits {
            bounds,
            max_flow_age_ms: settings.node.max_flow_age.as_millis() as u64,
            flows: settings.node.memory_mb as usize * FLOWS_PER_MB,
            placement: settings.placement,
        };
        let (address, domain) = (settings.node.nodes, settings.node.domain.clone());
        let flows = agent::Agent::new(node.now(), address, domain, limits);
        let flows = Ranked::new(tables::CONNECTIONS, flows);
        let server = settings.server;
        let state = Arc::new(State {
            node: node.clone(),
            format,
            backend,
            server,
            flows,
            startup: Startup::new(),
            hold_signal: async_channel::bounded(1),
        });
        let mut tasks = start(pool, &node, dependencies, Role::Agent, state.clone());
        let (link, shared) = (state.backend.clone(), state.clone());
        tasks.push(pool.spawn(receive::run(link, "backend", move |_, bytes| {
            shared.handle_backend_segment(bytes);
        })));
        let (link, shared) = (node.link.clone(), state.clone());
        tasks.push(pool.spawn(receive::run(link, "nodes", move |from, bytes| {
            shared.handle_message(from, bytes);
        })));
        tasks.push(pool.spawn(state.clone().start_up()));
        tasks.push(pool.spawn(state.clone().tick()));
        tasks.push(pool.spawn(state.clone().release_in_time()));
        Self { state, _tasks: tasks }
    }

    /// The part of the state that both daemons have.
    pub fn node(&self) -> &Arc<Node<L>> {
        &self.state.node
    }

    /// Returns a handle that accepts reports of the backend server.
    pub fn report_handler(&self) -> ReportHandler<F, L> {
        ReportHandler::new(self.state.clone())
    }

    /// Stops admitting flows, offers waiting openings to other agents, and waits for a
    /// moment in which the backend server has answered all that it was given.
    pub async fn finish(&self) {
        let state = &self.state;
        state.node.is_stopping.store(true, Ordering::Relaxed);
        state.flows.write().stop();
        if !state.flows.read().is_backend_heard(state.node.now()) {
            state.probe_backend().await;
        }
        if state.leave_without_backend().await {
            return;
        }
        state.broadcast_heartbeat();
        state.hand_over_all();
        state.release();
        Timer::after(FORWARDING_GRACE).await;
        let limit = DRAIN_TIMEOUT.min(state.node.settings.stop_timeout / 2);
        let start = state.node.now();
        while !state.flows.write().is_idle(state.node.now())
            && state.node.now().since(start) < limit.as_millis() as u64
        {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        // It may have ended meanwhile.
        state.leave_without_backend().await;
    }
}

impl<F: Format, L: Link> Observer for State<F, L> {
    fn routing_changed(&self, before: &Routing, after: &Routing) {
        let now = self.node.now();
        let mut flows = self.flows.write();
        flows.routing_changed(before, after);
        flows.update_knowledge(now, after);
    }

    fn record_written(&self, before: Record, after: Record) {
        let (now, routing) = (self.node.now(), self.node.routing());
        let is_changed = self.flows.write().record_written(now, &routing, before, after);
        log::info!(target: "record", before = before.as_str(), after = after.as_str(); "instance of the backend server is recorded");
        if is_changed {
            self.broadcast_heartbeat();
            self.release();
        }
    }
}

impl<F: Format, L: Link> State<F, L> {
    /// Periodically sends heartbeats and announcements, detects the end of the backend
    /// server, and removes idle flows.
    async fn tick(self: Arc<Self>) {
        let mut due = self.node.now();
        let mut knew_all_flows = false;
        loop {
            let now = self.node.now();
            let is_due = now >= due;
            if is_due {
                due = now.after(HEARTBEAT_INTERVAL_MS);
                self.node.tick();
                let idle_ms = self.node.settings.max_flow_age.as_millis() as u64;
                let routing = self.node.routing();
                let mut flows = self.flows.write();
                flows.expire(now, idle_ms);
                flows.update_knowledge(now, &routing);
            }
            let (ended, announcements, knows_all_flows) = {
                let roster = self.node.roster.read();
                let mut flows = self.flows.write();
                (
                    flows.tick(now),
                    flows.announcements(now, &roster),
                    flows.knows_all_flows(),
                )
            };
            self.reset_callers(&ended, "backend_gone");
            self.release();
            self.send_announcements(announcements);
            self.hand_over();
            self.ask_if_due();
            // Home nodes send searches to this agent until they learn that it knows all
            // of its flows.
            if is_due || knew_all_flows != knows_all_flows || self.is_load_changed() {
                knew_all_flows = knows_all_flows;
                self.broadcast_heartbeat();
            }
            if self.flows.write().is_probe_due() {
                self.probe_backend().await;
            }
            Timer::after(Duration::from_millis(TICK_MS)).await;
        }
    }

    /// Tells all nodes that a stopping agent leaves for good, and resets the remaining flows,
    /// if there is no backend server any more. Returns whether that is the case.
    ///
    /// An agent that goes without a word is waited for: as long as it is silent, nobody can
    /// tell whether its backend server holds a flow.
    async fn leave_without_backend(&self) -> bool {
        if !self.flows.read().has_no_backend() {
            return false;
        }
        self.node.wait_for_members().await;
        self.node.broadcast_leave();
        Timer::after(RESET_GRACE).await;
        true
    }

    /// Ends the flows of the backend server if there is no process at its address any more.
    async fn probe_backend(&self) {
        let since = self.node.now();
        let is_absent = probe::is_refused(self.server).await;
        log::info!(
            target: "backend", change = "probed", absent = is_absent;
            "reports of the backend server are missing"
        );
        if is_absent {
            let ended = self.flows.write().record_absence(since);
            self.reset_callers(&ended, "backend_gone");
            self.release();
        }
    }

    /// Sends resets to the callers of flows that ended with the backend server.
    fn reset_callers(&self, flows: &[Ended], cause: &'static str) {
        for Ended { flow, sequence } in flows {
            let bytes = self.format.reset(flow, *sequence);
            send_datagram(&self.node.link, self.node.caller_address(flow), &bytes);
            metric::count_labelled(&metric::ENDED, cause);
            log::info!(target: "ended", flow:% = flow, cause = cause; "flow ended with its backend server");
        }
    }

    /// Processes a message from another node.
    fn handle_message(self: &Arc<Self>, from: SocketAddr, bytes: &[u8]) {
        let SocketAddr::V4(from) = from else { return count_invalid("sender") };
        match Message::decode(bytes) {
            Some(Message::Segment(envelope)) => {
                if !self.wait_for_startup(&envelope, bytes) {
                    self.clone().handle_caller_segment(&envelope);
                }
            }
            Some(Message::Heartbeat(heartbeat)) => {
                let wants_reply = self.node.handle_heartbeat(from, &heartbeat);
                {
                    let roster = self.node.roster.read();
                    let now = self.node.now();
                    let mut flows = self.flows.write();
                    flows.handle_heartbeat(now, &roster, from, &heartbeat);
                }
                if wants_reply {
                    self.announce_if_due();
                    self.reply_heartbeat(from);
                }
                self.hand_over();
                self.release_postponed();
            }
            Some(Message::Announcement(announcement)) => {
                let roster = self.node.roster.read();
                self.flows.write().handle_announcement(
                    self.node.now(),
                    &roster,
                    from,
                    &announcement,
                );
            }
            Some(Message::Handover(handover)) => {
                let roster = self.node.roster.read();
                let now = self.node.now();
                self.flows.write().handle_handover(now, &roster, &handover);
            }
            Some(Message::Leave(incarnation)) => {
                if self.node.handle_leave(from, incarnation) {
                    self.flows.write().handle_leave(from, incarnation);
                }
            }
            Some(Message::DocumentsRequest) => self.node.send_documents(from),
            Some(Message::Documents(chunk)) => self.node.handle_documents(&chunk),
            Some(Message::Found(_) | Message::NotFound(_)) => count_invalid("role"),
            None => count_invalid("message"),
        }
    }

    /// Processes a segment from a caller.
    fn handle_caller_segment(self: Arc<Self>, envelope: &Envelope<'_>) {
        let segment = match self.format.read(envelope.bytes) {
            Ok(segment) => segment,
            Err(fault) => return count_invalid(fault.as_str()),
        };
        let routing = self.node.routing();
        let service = (!envelope.service.is_empty()).then(|| {
            let known = routing.service(&envelope.service);
            known.map_or_else(|| envelope.service.as_ref().into(), |s| s.name.clone())
        });
        let mut forwarding = Forwarding::from(envelope);
        let delay_ms = self.node.delay_ms(self.node.now());
        forwarding.delay_ms = forwarding.delay_ms.saturating_add(delay_ms);
        let arrival = Arrival { segment, forwarding, service };
        let now = self.node.now();
        let action = {
            let roster = self.node.roster.read();
            let mut flows = self.flows.write();
            let action = flows.handle_caller_segment(now, &routing, &roster, &arrival);
            if matches!(action, Action::Hold { .. }) {
                flows.hold(now, &routing, arrival, envelope.bytes.to_vec());
            }
            action
        };
        if matches!(action, Action::Deliver { .. }) {
            metric::record(&metric::HOPS, f64::from(envelope.hops));
        }
        self.perform(&segment, action, envelope.bytes, routing.version);
        if !segment.is_opening() {
            self.ask_if_due();
        }
    }

    /// Processes a segment from the backend server.
    fn handle_backend_segment(&self, bytes: &mut [u8]) {
        let segment = match self.format.read(bytes) {
            Ok(segment) => segment,
            Err(fault) => return count_invalid(fault.as_str()),
        };
        let now = self.node.now();
        let routing = self.node.routing();
        let sent_at = Millis(now.0.saturating_sub(self.node.delay_ms(now).into()));
        let (action, announcements) = {
            let roster = self.node.roster.read();
            let mut flows = self.flows.write();
            // A segment that is returned may come from another service.
            if !segment.flags.returned {
                flows.record_life(sent_at);
            }
            let action = flows.handle_backend_segment(now, &routing, &roster, &segment);
            let is_due = matches!(
                action,
                Some(BackendAction::Send { is_accept, is_found, .. })
                    if is_accept || is_found
            );
            let flow = is_due.then(|| segment.flow_from_backend());
            let announcements = flow.map(|flow| flows.announce_flow(now, &roster, &flow));
            (action, announcements.unwrap_or_default())
        };
        self.send_announcements(announcements);
        match action {
            Some(BackendAction::Send {
                is_accept,
                is_found,
                accept_ms,
                answer_ms,
                cost_ratio,
            }) => {
                let flow = segment.flow_from_backend();
                if let Some(accept_ms) = accept_ms {
                    metric::record_ms(&metric::ACCEPT_SECONDS, accept_ms);
                }
                if is_accept {
                    log::info!(target: "accepted", flow:% = flow; "flow accepted");
                }
                if is_found {
                    log::info!(target: "found", flow:% = flow; "backend server holds an open flow of before");
                }
                if segment.flags.reset {
                    metric::count_labelled(&metric::ENDED, "backend_reset");
                    log::info!(target: "ended", flow:% = flow, cause = "backend_reset"; "backend server reset the flow");
                }
                if let Some(answer_ms) = answer_ms {
                    metric::record_ms(&metric::ANSWER_SECONDS, answer_ms);
                }
                if let Some(cost_ratio) = cost_ratio {
                    metric::record(&metric::COST_RATIO, cost_ratio);
                }
                send_datagram(&self.node.link, self.node.caller_address(&flow), bytes);
                if answer_ms.is_some() || segment.flags.reset || segment.flags.close {
                    self.release();
                }
            }
            Some(BackendAction::Returned(action)) => {
                // Clear the flag that marks the caller's segment as returned before it is
                // forwarded.
                self.format.mark(bytes, 0);
                self.perform(&segment, action, bytes, routing.version);
            }
            Some(BackendAction::Drop(cause)) => {
                metric::count_labelled(&metric::DROPPED, cause.as_str());
                log::info!(
                    target: "dropped", flow:% = segment.flow_from_backend(), cause = cause.as_str(),
                    version = routing.version; "answer dropped"
                );
            }
            None => {
                metric::count_labelled(&metric::DROPPED, "returned_late");
            }
        }
    }
}
