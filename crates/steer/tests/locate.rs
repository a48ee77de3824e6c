//! Tests of how agents find flows that they don't hold: home nodes, announcements and
//! walks.

mod fixture;

use std::net::SocketAddrV4;

use fixture::{
    FIRST_SEQUENCE, INCARNATION, NOW, accept, agent_address, agent_and_roster,
    agent_heartbeat, announcement, arrival, decide_in_time, flow, flow_homed_elsewhere,
    flow_homed_here, forwarded, from_backend, limits, open, opening, report, request,
    returned, routing, searched, start_agent, sync_all, sync_status,
};
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Action, BackendAction, Cause, Outgoing};
use lentilreach_steer::request::message::{Search, Stage, SyncStatus};
use lentilreach_steer::request::placement::homes;
use lentilreach_steer::request::segment::{Flags, Segment};

/// A home node that knows a flow forwards segments directly to its agent.
#[test]
fn a_home_forwards_directly_to_the_agent_of_the_flow() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    agent.handle_announcement(NOW, &roster, agent_address(4), &announcement(&[key]));

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(0), 1);
    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &arrival);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    assert_eq!((to, forwarding.search), (agent_address(4), Search::Indexed));
}

/// A home node that had just restarted passed a segment on although its own backend server held
/// the flow, and while others were restarted as well nobody came back to it.
#[test]
fn a_home_that_may_hold_a_flow_asks_its_own_backend_server_first() {
    let roster = agent_and_roster().1;
    let key = flow_homed_here(&roster);
    let segment = request(key, FIRST_SEQUENCE);
    let ask = |rank| {
        let mut agent = start_agent(NOW, 1, "a", limits());
        agent.report(NOW, report(17));
        let asked = searched(&roster, segment, Search::Home(rank));
        let first = agent.handle_caller_segment(NOW, &routing(1), &roster, &asked);
        let Action::Deliver { mark, .. } = first else { panic!("{first:?}") };
        let returned = returned(segment, mark);
        let next = agent.handle_backend_segment(NOW, &routing(1), &roster, &returned);
        let Some(BackendAction::Returned(next)) = next else { panic!("{next:?}") };
        next
    };

    let (first, second) = (ask(0), ask(1));

    // Its own backend server isn't asked again.
    let own = agent_address(1);
    let Action::Forward { to, forwarding, .. } = first else { panic!("{first:?}") };
    assert!(to != own && homes(&roster, &key).contains(&Some(to)));
    assert!(forwarding.tried.contains(&own));
    let Action::Postpone(arrival) = second else { panic!("{second:?}") };
    assert!(arrival.forwarding.tried.contains(&own));
}

/// The agent that searches in place of the home nodes could not find a flow beside one of them,
/// and showed its segments to all others. They come last, since they may not be running.
#[test]
fn a_search_in_place_of_the_home_nodes_ends_with_them() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Fallback);

    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &search);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    let mut visited = vec![to];
    visited.extend(forwarding.to_visit);
    let homes = homes(&roster, &key).map(|home| home.expect("a home"));
    assert_eq!(visited.len(), 5);
    assert!(homes.iter().all(|home| visited[3..].contains(home)), "{visited:?}");
}

/// If the first home node doesn't know a flow, the second one is asked and then all
/// agents.
#[test]
fn a_home_without_an_entry_asks_the_second_home_then_all() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    let mut ask = |search| {
        let arrival = arrival(request(key, FIRST_SEQUENCE), search, 1);
        forwarded(decide_in_time(NOW, &mut agent, &routing(1), &roster, &arrival))
    };

    assert_eq!(ask(Search::Home(0)), (Cause::Elsewhere, Search::Home(1)));
    assert_eq!(ask(Search::Home(1)), (Cause::Elsewhere, Search::Walk));
    // The index of the first home node was wrong. The second one decides, and may start a
    // walk.
    assert_eq!(ask(Search::Indexed), (Cause::Elsewhere, Search::Home(1)));
}

/// A home node that doesn't know a flow only asks agents that may not have announced it.
/// The segment must neither visit all agents nor be answered with a reset too early.
#[test]
fn a_home_asks_only_agents_that_are_not_synchronised() {
    let key = flow_homed_here(&agent_and_roster().1);
    let last =
        searched(&agent_and_roster().1, request(key, FIRST_SEQUENCE), Search::Home(1));
    let asked = |change: &dyn Fn(&mut SyncStatus)| {
        let (mut agent, mut roster) = agent_and_roster();
        sync_all(NOW, &mut roster, agent_address(1));
        let mut sync_status = sync_status(&roster, 0);
        change(&mut sync_status);
        let mut heartbeat = agent_heartbeat(20, "a", Stage::Ready, 0);
        heartbeat.sync_status = Some(sync_status);
        roster
            .record_heartbeat(NOW, agent_address(3), &heartbeat)
            .expect("a later heartbeat");
        match decide_in_time(NOW, &mut agent, &routing(1), &roster, &last) {
            Action::Forward { to, forwarding, .. } => Some((to, forwarding.to_visit)),
            Action::Refuse { .. } => None,
            other => panic!("{other:?}"),
        }
    };

    assert_eq!(asked(&|_| {}), None);
    let third = Some((agent_address(3), Vec::new()));
    // Cases: an announcement was lost; the agent selected home nodes from another set of
    // agents; it doesn't know all flows of its backend server; it refers to an earlier
    // incarnation.
    assert_eq!(asked(&|sync_status| sync_status.sent.count = 1), third);
    let elsewhere = |sync_status: &mut SyncStatus| sync_status.view_hash = 0;
    assert_eq!(asked(&elsewhere), third);
    assert_eq!(asked(&|sync_status| sync_status.is_complete = false), third);
    assert_eq!(asked(&|sync_status| sync_status.receiver += 1), third);
}

/// While members join and leave, nodes have slightly different views. That must not delay
/// the reset of flows whose home node is the same in all views.
#[test]
fn other_views_do_not_matter_if_the_home_is_in_all_of_them() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    sync_all(NOW, &mut roster, agent_address(1));
    // An agent leaves, and the other nodes don't know that yet.
    let gone = (2..=6)
        .map(agent_address)
        .find(|agent| !homes(&roster, &key).contains(&Some(*agent)));
    roster.remove(gone.expect("four agents are no homes"), INCARNATION);

    let last = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &last);

    assert!(
        matches!(action, Action::Refuse { cause: Cause::NotFound, .. }),
        "{action:?}"
    );
}

/// A node that has just become a home node must not reset a flow that its agent announced
/// to the previous home node.
#[test]
fn a_new_home_asks_agents_that_have_not_seen_the_change() {
    let (mut agent, mut roster) = agent_and_roster();
    let becomes_own = |key: &flow::Key| {
        let mut after = agent_and_roster().1;
        after.remove(homes(&roster, key)[0].expect("a home"), INCARNATION);
        !homes(&roster, key).contains(&Some(agent_address(1)))
            && homes(&after, key).contains(&Some(agent_address(1)))
    };
    let key = (1..).map(flow).find(becomes_own).expect("some flows move here");
    sync_all(NOW, &mut roster, agent_address(1));
    roster.remove(homes(&roster, &key)[0].expect("a home"), INCARNATION);
    assert!(homes(&roster, &key).contains(&Some(agent_address(1))));

    let last = arrival(request(key, FIRST_SEQUENCE), Search::Home(1), 1);
    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &last);

    assert_eq!(forwarded(action), (Cause::Elsewhere, Search::Walk));
}

/// If an announcement is lost, it is sent again after the home node has failed to confirm
/// it.
#[test]
fn a_lost_announcement_is_sent_again() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    open(NOW, &mut agent, &roster, key, FIRST_SEQUENCE);
    let home = homes(&roster, &key)[0].expect("a home");
    let sent = agent.announcements(NOW, &roster);
    let epoch = |sent: &[Outgoing]| {
        let outgoing = sent.iter().find(|outgoing| outgoing.to == home);
        outgoing.map(|outgoing| outgoing.announcement.epoch)
    };
    assert_eq!(epoch(&sent), Some(0));

    // The home node reports twice that it has received nothing, the second time after a
    // delay.
    let mut heartbeat = agent_heartbeat(2, "a", Stage::Ready, 0);
    heartbeat.sync_status = Some(sync_status(&roster, 0));
    for after in [600, 1_200] {
        assert_eq!(epoch(&agent.announcements(NOW.after(after), &roster)), None);
        agent.handle_heartbeat(NOW.after(after), &roster, home, &heartbeat);
    }

    assert_eq!(epoch(&agent.announcements(NOW.after(1_200), &roster)), Some(1));
}

/// Home nodes are informed before the caller can send the next segment through another
/// balancer. Otherwise a new flow would cause a burst of searches.
#[test]
fn a_flow_is_announced_as_soon_as_it_is_accepted() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    decide_in_time(NOW, &mut agent, &routing(1), &roster, &arrival);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &accept(key, FIRST_SEQUENCE));

    let informed: Vec<_> = agent
        .announce_flow(NOW, &roster, &key)
        .iter()
        .map(|outgoing| outgoing.to)
        .collect();

    let homes = homes(&roster, &key).map(|home| home.expect("a home"));
    assert_eq!(informed, homes);
    assert_eq!(agent.announce_flow(NOW, &roster, &key), []);
}

/// After a restart, the next segment of a flow was searched for again although its backend server
/// had just answered, and was shown to others once more.
#[test]
fn a_flow_is_announced_as_soon_as_it_is_found() {
    let roster = agent_and_roster().1;
    let mut agent = start_agent(NOW, 1, "a", limits());
    agent.report(NOW, report(17));
    let key = flow_homed_elsewhere(&roster);
    let flags = Flags { acknowledge: true, ..Flags::default() };
    let answer = Segment { length: 600, ..from_backend(key, flags, FIRST_SEQUENCE) };

    let first = agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);
    let announced = agent.announce_flow(NOW, &roster, &key);
    let second = agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);
    let again = agent.announce_flow(NOW, &roster, &key);

    let is_found = |action: Option<BackendAction>| match action {
        Some(BackendAction::Send { is_found, .. }) => is_found,
        other => panic!("{other:?}"),
    };
    let informed: Vec<_> = announced.iter().map(|outgoing| outgoing.to).collect();
    assert_eq!(informed, homes(&roster, &key).map(|home| home.expect("a home")));
    assert_eq!(again, []);
    assert_eq!((is_found(first), is_found(second)), (true, false));
}

/// Two backend servers accepted a flow, and the one that the caller didn't choose
/// announced it last. The home node must remember the other one as well, or an open flow
/// would be reset.
#[test]
fn a_home_remembers_both_agents_that_accepted_a_flow() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    sync_all(NOW, &mut roster, agent_address(1));
    let (chosen, other) = (agent_address(4), agent_address(5));
    for holder in [chosen, other] {
        agent.handle_announcement(NOW, &roster, holder, &announcement(&[key]));
    }
    let mut ask = |tried: &[SocketAddrV4]| {
        let mut arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(1), 1);
        arrival.forwarding.tried = tried.to_vec();
        match decide_in_time(NOW, &mut agent, &routing(1), &roster, &arrival) {
            Action::Forward { to, forwarding, .. } => (to, forwarding.search),
            action => panic!("{action:?}"),
        }
    };

    assert_eq!(ask(&[]), (other, Search::Indexed));
    assert_eq!(ask(&[other]), (chosen, Search::Indexed));
}

/// An agent must not announce a flow again if the caller may have chosen another backend
/// server.
#[test]
fn a_flow_that_was_only_accepted_is_not_announced_again() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    decide_in_time(NOW, &mut agent, &routing(1), &roster, &arrival);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &accept(key, FIRST_SEQUENCE));
    agent.announce_flow(NOW, &roster, &key);

    roster.remove(homes(&roster, &key)[0].expect("a home"), INCARNATION);

    assert_eq!(agent.announcements(NOW, &roster), []);
}

/// A home node must not reset a flow because the agent that holds it is silent.
#[test]
fn a_home_forwards_segments_to_a_silent_agent() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    agent.handle_announcement(NOW, &roster, agent_address(4), &announcement(&[key]));
    let late = NOW.after(4_000);
    for number in [1, 2, 3, 5, 6] {
        let heartbeat = agent_heartbeat(2, "a", Stage::Ready, 0);
        roster
            .record_heartbeat(late, agent_address(number), &heartbeat)
            .expect("a later heartbeat");
    }
    roster.tick(late);

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(0), 1);
    let action = decide_in_time(late, &mut agent, &routing(1), &roster, &arrival);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    assert_eq!((to, forwarding.search), (agent_address(4), Search::Indexed));
}

/// Home nodes are informed of a flow exactly once, and again when the members change.
#[test]
fn flows_are_announced_once_and_again_when_homes_change() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    open(NOW, &mut agent, &roster, key, FIRST_SEQUENCE);
    let [first, second] = homes(&roster, &key).map(|home| home.expect("a home"));

    let mut informed: Vec<_> =
        agent.announcements(NOW, &roster).iter().map(|outgoing| outgoing.to).collect();
    informed.sort();
    let mut expected = [first, second];
    expected.sort();
    assert_eq!(informed, expected);
    assert_eq!(agent.announcements(NOW, &roster), []);

    roster.remove(first, INCARNATION);
    let informed: Vec<_> =
        agent.announcements(NOW, &roster).iter().map(|outgoing| outgoing.to).collect();
    let third = homes(&roster, &key)[1].expect("a home");
    assert_eq!(informed, if third == agent_address(1) { vec![] } else { vec![third] });
}

/// A home node that was restarted has lost its index and must be informed again, even if
/// there was no gap in its heartbeats.
#[test]
fn flows_are_announced_again_to_a_restarted_home() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    open(NOW, &mut agent, &roster, key, FIRST_SEQUENCE);
    agent.announcements(NOW, &roster);
    let home = homes(&roster, &key)[0].expect("a home");

    let mut heartbeat = agent_heartbeat(1, "a", Stage::Ready, 0);
    heartbeat.incarnation = 8;
    roster.record_heartbeat(NOW.after(300), home, &heartbeat).expect("a new incarnation");

    let informed: Vec<_> =
        agent.announcements(NOW, &roster).iter().map(|outgoing| outgoing.to).collect();
    assert_eq!(informed, [home]);
}
