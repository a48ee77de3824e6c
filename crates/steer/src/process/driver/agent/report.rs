//! Accepts the reports of an agent's backend server.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use lentilreach::Name;
use lentilreach::process::link::Link;

use super::State;
use crate::process::backend::{Change, Report};
use crate::request::segment::Format;

/// Accepts reports of a backend server, whose encoding is defined outside this crate.
#[derive(Debug)]
pub struct ReportHandler<F, L> {
    /// State of the agent.
    state: Arc<State<F, L>>,
}

impl<F: Format, L: Link> ReportHandler<F, L> {
    /// Creates the handler of an agent.
    pub(super) fn new(state: Arc<State<F, L>>) -> Self {
        Self { state }
    }

    /// Processes a report. If the state of the backend server changed, balancers are
    /// informed before this returns.
    ///
    /// # Errors
    /// If the report can't come from the backend server. It is ignored.
    pub fn report(&self, mut report: Report) -> Result<(), Foreign> {
        let state = &self.state;
        let (id, is_draining) = (report.id.clone(), report.is_draining);
        let (service, sequence) = (report.service.clone(), report.sequence);
        let cold_ms = report.cold_ms;
        let (now, routing) = (state.node.now(), state.node.routing());
        report.delay_ms += u64::from(state.node.delay_ms(now));
        let (change, ended, is_unrecorded) = {
            let mut flows = state.flows.write();
            if flows.is_foreign(&routing, &report) {
                return Err(Foreign::UnknownService(service));
            }
            if flows.is_premature(now, &report) {
                return Err(Foreign::AddressInUse(service));
            }
            let was_closed = !flows.is_use_evident();
            let (change, ended) = flows.report(now, report);
            flows.update_knowledge(now, &routing);
            state.node.record_heard(flows.heard());
            (change, ended, was_closed && flows.is_use_evident())
        };
        if is_unrecorded {
            log::warn!(target: "record", change = "missing", sequence = sequence; "backend server is given openings although the store doesn't name it");
        }
        state.reset_callers(&ended, "replaced");
        state.release();
        let is_changed = matches!(change, Change::Started { .. } | Change::Stage);
        if is_changed || is_unrecorded {
            state.broadcast_heartbeat();
        }
        if is_changed {
            log::info!(
                target: "backend", id:% = id, service:% = service, sequence = sequence,
                change:? = change, draining = is_draining, cold_ms = cold_ms;
                "backend server changed"
            );
        }
        Ok(())
    }

    /// Records that a backend server is shutting down.
    pub fn record_leave(&self, id: &str) {
        let is_current = self.state.flows.write().record_leave(self.state.node.now(), id);
        if is_current {
            self.state.broadcast_heartbeat();
        }
        log::info!(target: "backend", id = id, change = "left", current = is_current; "backend server left");
    }
}

/// Why a report can't come from the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Foreign {
    /// The configuration doesn't have its service.
    UnknownService(Name),
    /// The backend server, which runs another service, was running too recently.
    AddressInUse(Name),
}

impl Display for Foreign {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(service) => write!(f, "service {service} is unknown"),
            Self::AddressInUse(service) => write!(
                f,
                "service {service} can't have the address: the backend server of another \
                 service was running just now"
            ),
        }
    }
}

impl std::error::Error for Foreign {}
