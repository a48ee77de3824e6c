//! Status and readiness of the process for the admin endpoint.

use std::sync::Arc;

use crate::id::node;
use crate::process::admin::status::{Member, Service};
use crate::process::admin::{Source, Status};
use crate::process::event::Role;
use crate::process::lock::Ranked;
use crate::process::name::Name;
use crate::process::tables::CONFIG;
use crate::version::assembly::Peer;
use crate::version::view::{self, View};

/// Status and readiness of a process. Clones share it.
#[derive(Debug, Clone)]
pub struct StatusSource {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// Shared state of a [`StatusSource`].
#[derive(Debug)]
struct Shared {
    /// The process's name.
    name: Name,
    /// Its role.
    role: Role,
    /// Its incarnation.
    node: node::Id,
    /// Its failure domain.
    domain: Name,
    /// The changeable state; the lock has rank [`CONFIG`].
    state: Ranked<State>,
}

/// The changeable state.
#[derive(Debug, Default)]
struct State {
    /// Whether the process is stopping.
    stopping: bool,
    /// Why the process is not ready for traffic; `None` if it is.
    fault: Option<String>,
    /// The view in force; `None` before the first.
    view: Option<Arc<View>>,
    /// The agents, sorted by node identifier.
    peers: Vec<Peer>,
}

impl StatusSource {
    /// Creates the status of a process that has no configuration yet.
    pub fn new(name: Name, role: Role, node: node::Id, domain: Name) -> Self {
        let fault = Some("waiting for the configuration from a peer".to_owned());
        let state = Ranked::new(CONFIG, State { fault, ..State::default() });
        Self { shared: Arc::new(Shared { name, role, node, domain, state }) }
    }

    /// Marks the process as stopping. It is not ready from then on.
    pub fn stop(&self) {
        self.shared.state.write().stopping = true;
    }

    /// Replaces view, agents and readiness.
    pub fn set(&self, view: Arc<View>, peers: Vec<Peer>, fault: Option<String>) {
        let mut state = self.shared.state.write();
        (state.view, state.peers, state.fault) = (Some(view), peers, fault);
    }
}

impl Source for StatusSource {
    fn ready(&self) -> Result<(), String> {
        let state = self.shared.state.read();
        if state.stopping {
            return Err("the process is stopping".to_owned());
        }
        state.fault.clone().map_or(Ok(()), Err)
    }

    fn status(&self) -> Status {
        let shared = &self.shared;
        let state = shared.state.read();
        let services = state.view.iter().flat_map(|view| {
            view.services().iter().map(|service| show(view, service, &state.peers))
        });
        Status {
            name: shared.name.clone(),
            role: shared.role,
            node: shared.node,
            domain: shared.domain.clone(),
            revision: state.view.as_ref().map(|view| view.revision),
            services: services.collect(),
        }
    }
}

/// Converts a service for the admin endpoint.
fn show(view: &View, service: &view::Service, peers: &[Peer]) -> Service {
    let member = |member: &view::Member| {
        let found = peers.binary_search_by_key(&member.node, |peer| peer.node.id);
        let name = found.map_or_else(
            |_| member.node.to_string().into(),
            |at| peers[at].node.name.clone(),
        );
        let domain = view.domain(member.domain).map(|domain| domain.name.clone());
        let domain = domain.unwrap_or_else(|| "unknown".into());
        Member { name, domain, stage: member.stage, load: member.load }
    };
    let members = service.members().iter().map(member).collect();
    Service { name: service.name.clone(), members }
}
