//! Selects the agent for an opening segment, the home nodes of a flow, and the order in
//! which a walk visits agents.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::completion;
use crate::connection::flow;
use crate::process::roster::{Member, Roster};
use crate::request::message::Stage;
use crate::version::routing::{Route, Routing};

/// Load of an agent in the balancer's failure domain, relative to the mean, above which a
/// flow is placed in another failure domain. Traffic between failure domains is
/// expensive.
const OVERLOAD_FACTOR: f64 = 1.25;

/// Flows per slot added to the threshold, so that placement is not constrained while
/// there are few flows.
const OVERLOAD_SLACK: f64 = 1.0;

/// Failing agents are avoided unless they are more than one in this number. If more fail,
/// the others may not be able to serve their flows as well.
pub(super) const MAX_FAILING_SHARE: usize = 3;

/// A flow to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The flow.
    pub flow: &'a flow::Key,
    /// The service to open a flow to.
    pub service: &'a str,
    /// Failure domain of the balancer that received the opening segment.
    pub domain: &'a str,
}

/// Selects the service of a new flow according to the weights of its route. Returns
/// `None` if there is no route.
pub fn choose_service<'r>(routing: &'r Routing, flow: &flow::Key) -> Option<&'r str> {
    choose_share(routing.route(flow.service)?, flow)
}

/// Selects one of a route's services for a flow, by weight and the flow's hash.
pub fn choose_share<'r>(route: &'r Route, flow: &flow::Key) -> Option<&'r str> {
    let total: u64 = route.split.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = flow.hash().checked_rem(total)?;
    for share in &route.split {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(&share.service);
        }
        point -= weight;
    }
    None
}

/// Selects the agent for a flow: where its request is expected to be answered first if
/// agents state what they have to do, and the least loaded one otherwise.
///
/// Skips the agents in `tried`.
pub fn choose_agent(
    now: Millis,
    routing: &Routing,
    roster: &Roster,
    request: Request<'_>,
    tried: &[SocketAddrV4],
) -> Option<SocketAddrV4> {
    match completion::choose(now, routing, roster, request, tried) {
        Some(choice) => Some(choice.agent),
        None => least_loaded(now, routing, roster, request, tried),
    }
}

/// Selects the agent with the fewest open flows for each slot, preferring the balancer's
/// failure domain unless it is overloaded.
///
/// Skips the agents in `tried`.
fn least_loaded(
    now: Millis,
    routing: &Routing,
    roster: &Roster,
    request: Request<'_>,
    tried: &[SocketAddrV4],
) -> Option<SocketAddrV4> {
    let fits = |member: &&Member| is_eligible(routing, member, request.service);
    let candidates: Vec<_> = roster.agents().filter(fits).collect();
    let untried = candidates.iter().filter(|member| !tried.contains(&member.address));
    let best = untried.filter_map(|member| member.stage()).min()?;
    let mut usable: Vec<_> = candidates
        .into_iter()
        .filter(|member| member.stage() == Some(best) && !tried.contains(&member.address))
        .collect();
    let failing = usable.iter().filter(|member| member.is_failing()).count();
    if failing * MAX_FAILING_SHARE <= usable.len() {
        usable.retain(|member| !member.is_failing());
    }
    let mean =
        usable.iter().map(|member| member.load(now)).sum::<f64>() / usable.len() as f64;
    let hash = request.flow.hash();
    let rank = |member: &&&Member| {
        let weight = rendezvous_weight(hash, member.address);
        ((member.load(now) * LOAD_RESOLUTION) as u64, u64::MAX - weight)
    };
    let same_domain = usable.iter().filter(|member| *member.domain == *request.domain);
    if let Some(member) = same_domain.min_by_key(rank)
        && member.load(now) <= mean * OVERLOAD_FACTOR + OVERLOAD_SLACK
    {
        return Some(member.address);
    }
    usable.iter().min_by_key(rank).map(|member| member.address)
}

/// Whether an agent outside `tried` accepts flows of a service without a rate limit.
pub fn has_ready_agent(
    routing: &Routing,
    roster: &Roster,
    service: &str,
    tried: &[SocketAddrV4],
) -> bool {
    roster.agents().any(|member| {
        member.stage() == Some(Stage::Ready)
            && is_eligible(routing, member, service)
            && !tried.contains(&member.address)
    })
}

/// Steps per unit of load. Loads that differ by less than one step count as equal.
const LOAD_RESOLUTION: f64 = 1_000.0;

/// Whether an agent may receive new flows of a service.
pub(super) fn is_eligible(routing: &Routing, member: &Member, service: &str) -> bool {
    let serves = member.backend_status.as_ref().is_some_and(|backend_status| {
        *backend_status.service == *service && backend_status.stage != Stage::Closed
    });
    serves && !member.is_silent && !routing.is_out(&member.domain)
}

/// The home nodes of a flow: the agents that keep track of which agent holds it.
///
/// They are selected by rendezvous hashing over the live agents, so nodes with the same
/// view of the membership select the same ones.
pub fn homes(roster: &Roster, flow: &flow::Key) -> [Option<SocketAddrV4>; 2] {
    top_ranked(flow, live_agents(roster))
}

/// Whether an agent is a home node of a flow in the view of every node, regardless of
/// which of the recently changed members a node knows.
pub fn is_home_in_all_views(
    roster: &Roster,
    flow: &flow::Key,
    agent: SocketAddrV4,
) -> bool {
    let [first, second] = top_ranked(flow, roster.known_agents());
    [first, second].contains(&Some(agent))
}

/// The agent that searches for a flow if its home nodes don't answer.
pub fn fallback(roster: &Roster, flow: &flow::Key) -> Option<SocketAddrV4> {
    let [first, _, third] = top_ranked(flow, live_agents(roster));
    third.or(first)
}

/// The agents that become home nodes of a flow when its home nodes and those in `excluded`
/// fail.
pub fn successors(
    roster: &Roster,
    flow: &flow::Key,
    excluded: &[SocketAddrV4],
) -> [Option<SocketAddrV4>; 2] {
    let homes = homes(roster, flow);
    let is_left = |agent: &SocketAddrV4| {
        !homes.contains(&Some(*agent)) && !excluded.contains(agent)
    };
    top_ranked(flow, live_agents(roster).filter(is_left))
}

/// The agents that are not silent.
fn live_agents(roster: &Roster) -> impl Iterator<Item = SocketAddrV4> {
    roster.agents().filter(|member| !member.is_silent).map(|member| member.address)
}

/// The agents with the highest rendezvous weights for a flow, in descending order.
fn top_ranked<const N: usize>(
    flow: &flow::Key,
    agents: impl Iterator<Item = SocketAddrV4>,
) -> [Option<SocketAddrV4>; N] {
    let hash = flow.hash();
    let mut best = [None; N];
    for agent in agents {
        let mut entry = Some((rendezvous_weight(hash, agent), agent));
        for known in &mut best {
            if entry > *known {
                std::mem::swap(&mut entry, known);
            }
        }
    }
    best.map(|entry| entry.map(|(_, address)| address))
}

/// Sorts agents by how likely they hold a flow: agents of the route's services first,
/// then agents in the failure domain where the segment arrived, then by rendezvous
/// weight.
pub fn sort_by_likelihood(
    routing: &Routing,
    roster: &Roster,
    flow: &flow::Key,
    domain: &str,
    agents: &mut [SocketAddrV4],
) {
    let hash = flow.hash();
    agents.sort_by_cached_key(|address| {
        let member = roster.get(*address);
        let backend_status = member.and_then(|member| member.backend_status.as_ref());
        let is_other_service = backend_status.is_some_and(|backend_status| {
            !routing.allows(flow.service, backend_status.service.as_ref())
        });
        let is_other_domain = member.is_none_or(|member| *member.domain != *domain);
        (is_other_service, is_other_domain, u64::MAX - rendezvous_weight(hash, *address))
    });
}

/// The rendezvous weight of an agent for a flow's hash.
pub(super) fn rendezvous_weight(hash: u64, agent: SocketAddrV4) -> u64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&agent.ip().octets());
    bytes[4..].copy_from_slice(&agent.port().to_be_bytes());
    xxh3_64_with_seed(&bytes, hash)
}
