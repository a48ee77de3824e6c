//! Reads the agents and their loads from the gossip state.

use std::sync::Arc;

use crate::process::gossip::core::Core;
use crate::process::gossip::entry::{Node, Role};
use crate::process::gossip::member::{Member, Status};
use crate::version::assembly::Peer;
use crate::version::view::Load;

/// The agents that gossip knows, sorted by node identifier.
pub fn agents(core: &Core) -> Vec<Peer> {
    let agents = core.members().filter(|(node, _)| node.role == Role::Agent);
    agents.map(|(node, member)| peer(node, member)).collect()
}

/// Converts one agent.
fn peer(node: &Arc<Node>, member: &Member) -> Peer {
    let report = member.load.map(|load| Load {
        open: load.open,
        limit: load.limit,
        busy: load.busy,
        slots: load.slots,
        at: member.load_at,
    });
    Peer {
        node: node.clone(),
        silent: member.status != Status::Alive,
        load: report.unwrap_or_default(),
    }
}
