//! Derives timeline events from the difference of two states.

use crate::process::event::{Draft, Kind};
use crate::process::gossip::entry::Stage;
use crate::version::assembly::Peer;
use crate::version::config::Domains;
use crate::version::config::snapshot::Refused;

/// Events for failure domains that were taken out of service or brought back.
pub fn domains(old: &Domains, new: &Domains) -> Vec<Kind> {
    let was_out = |name: &str| old.find(name).is_some_and(|domain| domain.out);
    let changed =
        new.as_slice().iter().filter(|domain| domain.out != was_out(&domain.name));
    let event = |domain: &crate::version::config::Domain| {
        let affected = domain.name.clone();
        if domain.out {
            Kind::DomainOut { affected }
        } else {
            Kind::DomainBack { affected }
        }
    };
    changed.map(event).collect()
}

/// Events for agents that joined, leave, fell silent, are heard again or were removed.
///
/// Both lists are sorted by node identifier.
pub fn members(old: &[Peer], new: &[Peer]) -> Vec<Kind> {
    let mut events = Vec::new();
    for peer in new {
        let before = old.binary_search_by_key(&peer.node.id, |old| old.node.id);
        compare(before.ok().map(|at| &old[at]), peer, &mut events);
    }
    for peer in old {
        if new.binary_search_by_key(&peer.node.id, |new| new.node.id).is_err() {
            events.push(Kind::MemberGone { member: peer.node.name.clone() });
        }
    }
    events
}

/// Adds the events of one agent.
fn compare(old: Option<&Peer>, new: &Peer, events: &mut Vec<Kind>) {
    let member = || new.node.name.clone();
    if old.is_none() {
        events.push(Kind::MemberJoined { member: member() });
    }
    let leaves = |peer: &Peer| peer.node.stage == Stage::Leaving;
    if leaves(new) && !old.is_some_and(leaves) {
        events.push(Kind::MemberLeaving { member: member() });
    }
    match (old.is_some_and(|old| old.silent), new.silent) {
        (false, true) => events.push(Kind::MemberSilent { member: member() }),
        (true, false) => events.push(Kind::MemberHeard { member: member() }),
        _ => {}
    }
}

/// The event for a document that was rejected.
pub fn refused(refused: &Refused) -> Draft {
    let reason = refused.to_string().into();
    Kind::ConfigRejected { entry: refused.key.clone(), reason }.into()
}
