//! Tests of how home nodes keep the index while agents are restarted.

mod fixture;

use fixture::{
    FIRST_SEQUENCE, INCARNATION, NOW, agent_address, agent_and_roster, agent_heartbeat,
    announcement, arrival, flow, flow_homed_elsewhere, flow_homed_here, limits, open,
    request, roster, routing,
};
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Action, Agent, HandedOver};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::{Handover, Heartbeat, Search, Stage};
use lentilreach_steer::request::placement::{homes, successors};

/// Lets a new process of an agent join.
fn restart(roster: &mut Roster, number: u8) {
    let heartbeat = agent_heartbeat(1, "a", Stage::Ready, 0);
    let heartbeat = Heartbeat { incarnation: INCARNATION + 1, ..heartbeat };
    roster
        .record_heartbeat(NOW, agent_address(number), &heartbeat)
        .expect("a new process");
}

/// The number of an agent.
fn number(address: std::net::SocketAddrV4) -> u8 {
    address.ip().octets()[3]
}

/// A flow of which agent 1 is a home node, the number of the other one, and that of an agent
/// that is none.
fn homed_flow(roster: &Roster) -> (flow::Key, u8, u8) {
    let key = flow_homed_here(roster);
    let [_, other] = homes(roster, &key);
    let other = number(other.expect("a second home node"));
    let holder = (2..=6).find(|number| *number != other).expect("another agent");
    (key, other, holder)
}

/// The message that tells of a flow of an agent.
fn handover(holder: u8, key: flow::Key) -> Handover {
    let holder = agent_address(holder);
    Handover { holder, incarnation: INCARNATION, flows: vec![key] }
}

/// Where an agent sends a segment of a flow, and how it is searched for there.
fn search(
    agent: &mut Agent,
    roster: &Roster,
    key: flow::Key,
    search: Search,
) -> Option<(u8, Search)> {
    let arrival = arrival(request(key, FIRST_SEQUENCE), search, 1);
    match agent.handle_caller_segment(NOW, &routing(1), roster, &arrival) {
        Action::Forward { to, forwarding, .. } => Some((number(to), forwarding.search)),
        _ => None,
    }
}

/// An idle flow was known to nobody once its agent and both home nodes had been restarted in
/// turn, and its segments were shown to other backend servers for seconds.
#[test]
fn a_restarted_home_node_gets_flows_that_their_agent_has_forgotten() {
    let (mut agent, mut roster) = agent_and_roster();
    let (key, other, holder) = homed_flow(&roster);
    let told = announcement(&[key]);
    agent.handle_announcement(NOW, &roster, agent_address(holder), &told);
    agent.handovers(&roster);
    restart(&mut roster, holder);
    assert_eq!(agent.handovers(&roster), []);
    restart(&mut roster, other);

    let handed_over = agent.handovers(&roster);

    let to = agent_address(other);
    assert_eq!(handed_over, [HandedOver { to, handover: handover(holder, key) }]);
    assert_eq!(agent.handovers(&roster), []);
}

/// An agent that was not restarted announces its flows to a new home node itself. If others
/// did so too, each restart would cost twice the messages.
#[test]
fn flows_of_an_agent_that_was_not_restarted_are_not_handed_over() {
    let (mut agent, mut roster) = agent_and_roster();
    let (key, other, holder) = homed_flow(&roster);
    let told = announcement(&[key]);
    agent.handle_announcement(NOW, &roster, agent_address(holder), &told);
    agent.handovers(&roster);
    restart(&mut roster, other);

    assert_eq!(agent.handovers(&roster), []);
}

/// Both home nodes of a flow may stop at the same time.
#[test]
fn a_stopping_home_node_hands_over_its_index_to_its_successors() {
    let (mut agent, roster) = agent_and_roster();
    let (key, _, holder) = homed_flow(&roster);
    let told = announcement(&[key]);
    agent.handle_announcement(NOW, &roster, agent_address(holder), &told);
    let own = flow_of_own_home(&roster, key);
    open(NOW, &mut agent, &roster, own, FIRST_SEQUENCE);

    let handed_over = agent.final_handovers(&roster);

    for (key, holder) in [(key, holder), (own, 1)] {
        let to = successors(&roster, &key, &[agent_address(1)]).into_iter().flatten();
        for to in to.filter(|to| *to != agent_address(holder)) {
            let expected = HandedOver { to, handover: handover(holder, key) };
            assert!(handed_over.contains(&expected), "{expected:?} in {handed_over:?}");
        }
    }
}

/// Another flow than `other` that agent 1 is a home node of.
fn flow_of_own_home(roster: &Roster, other: flow::Key) -> flow::Key {
    let is_own = |key: &flow::Key| {
        *key != other && homes(roster, key).contains(&Some(agent_address(1)))
    };
    (1..).map(flow).find(is_own).expect("one flow in three has this home node")
}

/// Home nodes that are being restarted don't answer, and the balancer asks the next agent,
/// which has got their index.
#[test]
fn the_agent_that_searches_for_home_nodes_uses_what_they_handed_over() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    let key = flow_homed_elsewhere(&roster);

    agent.handle_handover(NOW, &roster, &handover(4, key));

    let found = search(&mut agent, &roster, key, Search::Fallback);
    assert_eq!(found, Some((4, Search::Indexed)));
    let found = search(&mut agent, &roster, key, Search::Home(0));
    assert_eq!(found, Some((4, Search::Indexed)));
}

/// An entry that was handed over may be older than the last announcement, which tells where
/// the caller has opened the flow.
#[test]
fn an_announcement_goes_before_an_entry_that_was_handed_over() {
    let (mut agent, roster) = agent_and_roster();
    let (key, _, holder) = homed_flow(&roster);
    let earlier = (2..=6).find(|number| *number != holder).expect("another agent");
    let told = announcement(&[key]);
    agent.handle_announcement(NOW, &roster, agent_address(holder), &told);

    agent.handle_handover(NOW, &roster, &handover(earlier, key));

    let found = search(&mut agent, &roster, key, Search::Home(0));
    assert_eq!(found, Some((holder, Search::Indexed)));
}
