//! Performs what was decided on the segments of callers.

use std::borrow::Cow;

use lentilreach::process::link::Link;

use super::State;
use crate::process::agent::Action;
use crate::process::driver::send_datagram;
use crate::process::metric;
use crate::request::message::Message;
use crate::request::segment::{Format, Segment};

impl<F: Format, L: Link> State<F, L> {
    /// Performs the action that was decided for a segment from a caller.
    pub(super) fn perform(
        &self,
        segment: &Segment,
        action: Action,
        bytes: &[u8],
        version: u64,
    ) {
        let flow = segment.flow_from_caller();
        match action {
            Action::Deliver { mark, notify, is_new } => {
                let mut bytes = bytes.to_vec();
                self.format.mark(&mut bytes, mark);
                send_datagram(&self.backend, self.server, &bytes);
                if let Some(origin) = notify {
                    self.node.send(origin, &Message::Found(flow));
                }
                if is_new {
                    metric::count(&metric::OFFERED);
                    log::info!(target: "offered", flow:% = flow, version = version; "flow offered to the backend server");
                }
            }
            Action::Hold { notify } => {
                if let Some(origin) = notify {
                    self.node.send(origin, &Message::Found(flow));
                }
                if segment.is_opening() {
                    metric::count(&metric::HELD);
                } else {
                    metric::count(&metric::REQUESTS_HELD);
                }
                log::info!(
                    target: "held", flow:% = flow, opening = segment.is_opening(),
                    version = version; "segment waits for the backend server"
                );
                // If the channel is full, the task has already been signalled.
                let _ = self.hold_signal.0.try_send(());
                self.release();
            }
            Action::Postpone(arrival) => {
                metric::count(&metric::POSTPONED);
                let now = self.node.now();
                self.flows.write().postpone(now, *arrival, bytes.to_vec());
                log::info!(
                    target: "postponed", flow:% = flow, version = version;
                    "segment of an unknown flow waits for the answers of other agents"
                );
                self.ask_if_due();
                // If the channel is full, the task has already been signalled.
                let _ = self.hold_signal.0.try_send(());
            }
            Action::Forward { to, forwarding, service, cause } => {
                metric::count_labelled(&metric::PASSED, cause.as_str());
                log::info!(
                    target: "passed", flow:% = flow, agent:% = to, cause = cause.as_str(),
                    search = forwarding.search.as_str(), hops = forwarding.hops, version = version; "segment forwarded to another agent"
                );
                let service = Cow::Borrowed(service.as_deref().unwrap_or_default());
                let envelope = forwarding.envelope(service, bytes);
                self.node.send(to, &Message::Segment(envelope));
                if segment.is_opening() {
                    self.node.roster.write().record_offer(self.node.now(), to);
                }
            }
            Action::Refuse { sequence, notify, cause } => {
                let bytes = self.format.reset(&flow, sequence);
                send_datagram(&self.node.link, self.node.caller_address(&flow), &bytes);
                if let Some(origin) = notify {
                    self.node.send(origin, &Message::NotFound(flow));
                }
                metric::count_labelled(&metric::REFUSED, cause.as_str());
                let summary = self.node.roster.read().summary();
                log::info!(
                    target: "refused", flow:% = flow, cause = cause.as_str(), version = version,
                    opening = segment.is_opening(), detail:? = cause, agents:? = summary;
                    "flow refused"
                );
            }
            Action::Drop(cause) => {
                metric::count_labelled(&metric::DROPPED, cause.as_str());
                let summary = self.node.roster.read().summary();
                log::info!(
                    target: "dropped", flow:% = flow, cause = cause.as_str(), version = version,
                    agents:? = summary; "segment dropped"
                );
            }
        }
    }
}
