//! Tests that no open flow is reset because of what a node could not have known: only the
//! agent next to a backend server can say that a flow has ended.

mod fixture;

use std::net::SocketAddrV4;

use fixture::{
    CALENDAR, FIRST_SEQUENCE, INCARNATION, NOW, accept, agent, agent_address,
    agent_and_roster, agent_heartbeat, announcement, arrival, flow, flow_homed_elsewhere,
    flow_homed_here, from_backend, hear, limits, open, opening, report, request,
    returned, roster, roster_of, routing, searched, sync_all,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{
    Action, Agent, Arrival, BackendAction, Cause, Limits, Outgoing,
};
use lentilreach_steer::process::backend::{Report, TICK_MS};
use lentilreach_steer::process::balancer::{self, Balancer};
use lentilreach_steer::process::roster::{Outdated, Role, Roster};
use lentilreach_steer::request::message::{Announcement, Search, Stage};
use lentilreach_steer::request::placement::{fallback, homes};
use lentilreach_steer::request::segment::{Flags, Segment};

/// Silence of agents in milliseconds: three heartbeats are lost.
const SILENCE_MS: u64 = 4_000;

/// If the fixtures found no flow without any loss, the other tests would show nothing.
#[test]
fn homes_find_a_flow_that_was_announced() {
    let Case { mut nodes, key, holder, first, second } = synchronised();
    open_at(NOW.after(100), &mut nodes, holder, key);
    announce(NOW.after(100), &mut nodes, |_, _| false);

    for (to, attempt) in [(first, Search::Home(0)), (second, Search::Home(1))] {
        let action = search(NOW.after(300), &mut nodes, to, key, attempt, &[]);
        assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
    }
}

/// Callers of a flow that ended must not wait for their time-out.
#[test]
fn a_flow_that_nobody_holds_is_reset_once_all_agents_have_answered() {
    let Case { mut nodes, key, first, .. } = synchronised();
    let now = NOW.after(100);

    let action = search(now, &mut nodes, first, key, Search::Home(0), &[]);
    assert_no_reset(&action);
    ask(now, &mut nodes);

    let action = search(now, &mut nodes, first, key, Search::Home(0), &[]);
    assert!(
        matches!(action, Action::Refuse { cause: Cause::NotFound, .. }),
        "{action:?}"
    );
}

/// An agent that did not answer may have opened the flow after its last statement.
#[test]
fn homes_do_not_deny_a_flow_before_its_agent_has_answered() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    open_at(NOW.after(100), &mut nodes, holder, key);
    announce(NOW.after(100), &mut nodes, |from, _| from == holder);
    let now = NOW.after(300);
    search(now, &mut nodes, second, key, Search::Home(1), &[holder]);
    ask_unless(now, &mut nodes, |from, to| from == holder || to == holder);

    let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

    assert_no_reset(&action);
}

/// Answers to a question about an earlier flow prove nothing about a later one between the
/// same addresses.
#[test]
fn homes_do_not_deny_a_flow_whose_port_was_searched_for_before() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    let now = NOW.after(100);
    search(now, &mut nodes, second, key, Search::Home(1), &[]);
    ask(now, &mut nodes);
    accept_at(now, &mut nodes, holder, key);

    let later = arrival(request(key, FIRST_SEQUENCE + 9_000), Search::Home(1), 1);
    let action = handle(now, node_mut(&mut nodes, second).expect("a node"), &later);

    assert_no_reset(&action);
}

/// A balancer may have heard an agent, and opened the flow there, that no other agent has
/// heard yet.
#[test]
fn homes_do_not_deny_a_flow_while_the_balancer_hears_an_agent_that_they_do_not_know() {
    let Case { mut nodes, key, first, .. } = synchronised();
    let mut segment = arrival(request(key, FIRST_SEQUENCE + 1), Search::Home(0), 1);
    let unknown = roster_of(NOW, 1..=7);
    segment.forwarding.view_hash = Some(unknown.view_hash());

    for _ in 0..3 {
        let action = handle(NOW, node_mut(&mut nodes, first).expect("a node"), &segment);
        assert_no_reset(&action);
        ask(NOW, &mut nodes);
    }
}

/// The backend server of an agent that can't be heard may be running.
#[test]
fn a_balancer_does_not_reset_flows_of_a_silent_agent() {
    let mut roster = roster(NOW, 6, &["a", "b"]);
    let mut balancer = Balancer::new(Millis(0), "a".into(), 1_000);
    balancer.flow_found(NOW, flow(1), agent_address(4));
    let now = NOW.after(SILENCE_MS);
    hear(now, &mut roster, [1, 2, 3, 5, 6]);

    let action = balancer.handle_segment(now, &routing(1), &roster, &request(flow(1), 9));

    assert!(matches!(action, balancer::Action::Send { .. }), "{action:?}");
}

/// A copy of the opening may have opened the flow at another agent than the selected one.
#[test]
fn a_balancer_searches_for_flows_that_it_placed_on_a_silent_agent() {
    let mut roster = roster(NOW, 6, &["a", "b"]);
    let mut balancer = Balancer::new(Millis(0), "a".into(), 1_000);
    let action = balancer.handle_segment(NOW, &routing(1), &roster, &opening(flow(1), 0));
    let balancer::Action::Send { to: selected, .. } = action else {
        panic!("{action:?}")
    };
    let now = NOW.after(SILENCE_MS);
    hear(now, &mut roster, (1..=6).filter(|number| agent_address(*number) != selected));

    let action = balancer.handle_segment(now, &routing(1), &roster, &request(flow(1), 9));

    let balancer::Action::Send { to, .. } = action else { panic!("{action:?}") };
    assert!(homes(&roster, &flow(1)).contains(&Some(to)), "{to} is no home node");
}

/// The backend server of an agent that this home node can't hear may be running.
#[test]
fn a_home_forwards_to_a_silent_holder() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    agent.handle_announcement(NOW, &roster, agent_address(4), &announcement(&[key]));
    let now = NOW.after(SILENCE_MS);
    hear(now, &mut roster, [1, 2, 3, 5, 6]);

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(0), 1);
    let action = agent.handle_caller_segment(now, &routing(1), &roster, &arrival);

    assert_forwarded(&action, agent_address(4));
}

/// Two backend servers accepted a flow, and the caller chose the one whose agent is heard.
#[test]
fn a_home_prefers_the_holder_that_is_heard() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    let (heard, silent) = (agent_address(4), agent_address(5));
    for holder in [heard, silent] {
        agent.handle_announcement(NOW, &roster, holder, &announcement(&[key]));
    }
    let now = NOW.after(SILENCE_MS);
    hear(now, &mut roster, [1, 2, 3, 4, 6]);

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(0), 1);
    let action = agent.handle_caller_segment(now, &routing(1), &roster, &arrival);

    assert_forwarded(&action, heard);
}

/// A home node that heard nobody for a while can't tell who was silent meanwhile.
#[test]
fn a_home_back_from_isolation_does_not_take_known_holders_for_lost() {
    for heard in 2..=4 {
        let Case { mut nodes, key, holder, second, .. } = synchronised();
        open_at(NOW.after(100), &mut nodes, holder, key);
        announce(NOW.after(100), &mut nodes, |_, _| false);
        let now = isolate(&mut nodes, second, &others(holder, second)[..heard]);

        let action = decide(now, &mut nodes, second, key, Search::Home(1));

        assert_forwarded(&action, agent_address(holder));
    }
}

/// As above for an agent that is known not to have announced all of its flows.
#[test]
fn a_home_back_from_isolation_leaves_out_no_agent_that_it_has_not_heard_again() {
    for heard in 2..=4 {
        let Case { mut nodes, key, holder, second, .. } = synchronised();
        open_at(NOW.after(100), &mut nodes, holder, key);
        announce(NOW.after(100), &mut nodes, |_, to| to == second);
        beat(NOW.after(200), &mut nodes, |_, _| false);
        let now = isolate(&mut nodes, second, &others(holder, second)[..heard]);

        let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

        assert_no_reset(&action);
    }
}

/// As above for a flow that was opened while the home node heard nobody.
#[test]
fn a_home_back_from_isolation_does_not_deny_flows_opened_meanwhile() {
    for heard in 2..=4 {
        let Case { mut nodes, key, holder, second, .. } = synchronised();
        open_at(NOW.after(1_000), &mut nodes, holder, key);
        announce(NOW.after(1_000), &mut nodes, |_, to| to == second);
        let now = isolate(&mut nodes, second, &others(holder, second)[..heard]);

        let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

        assert_no_reset(&action);
    }
}

/// Two sets with as many agents need not be the same.
#[test]
fn a_home_does_not_overlook_an_agent_that_joined_while_another_one_left() {
    let (mut nodes, key) = one_joined_and_one_left();
    announce(NOW, &mut nodes, |_, _| false);
    beat(NOW, &mut nodes, |from, to| [from, to].contains(&7));
    open_at(NOW, &mut nodes, 7, key);
    announce(NOW, &mut nodes, |_, _| false);

    let action = search(NOW, &mut nodes, 1, key, Search::Home(1), &[]);

    assert_no_reset(&action);
}

/// As above for a walk through agents that hear the one that joined.
#[test]
fn a_walk_does_not_overlook_an_agent_that_joined_while_another_one_left() {
    let (mut nodes, key) = one_joined_and_one_left();
    open_at(NOW, &mut nodes, 7, key);
    announce(NOW, &mut nodes, |_, _| false);

    let action = search(NOW, &mut nodes, 1, key, Search::Home(1), &[]);

    assert_no_reset(&action);
}

/// A node on the way of a walk that doesn't know an agent yet must not leave it out.
#[test]
fn a_walk_does_not_leave_out_an_agent_that_a_node_on_its_way_does_not_know() {
    for key in (1..60).map(flow) {
        let mut nodes: Vec<_> = (1..=6).map(|number| node(number, 1..=6)).collect();
        if !homes(&nodes[0].roster, &key).contains(&Some(agent_address(1))) {
            continue;
        }
        // The second agent was restarted and has not heard the sixth one.
        nodes[1] = node(2, 1..=5);
        open_at(NOW, &mut nodes, 6, key);
        announce(NOW, &mut nodes, |_, _| true);

        let action = search(NOW, &mut nodes, 1, key, Search::Home(1), &[]);

        assert_no_reset(&action);
    }
}

/// After a loss, an agent must not claim to have announced all flows before it does so.
#[test]
fn a_home_does_not_deny_flows_that_are_about_to_be_announced_again() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    open_at(NOW.after(100), &mut nodes, holder, key);
    announce(NOW.after(100), &mut nodes, |_, to| to == second);
    // The home node confirms less than was sent, the second time after a delay. The
    // holder's next heartbeat precedes its announcements, as after a report.
    let now = NOW.after(1_300);
    beat(NOW.after(700), &mut nodes, |_, _| false);
    beat(now, &mut nodes, |_, _| false);
    pass_heartbeat(now, &mut nodes, holder, second);

    let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

    assert_no_reset(&action);
}

/// An agent must not claim to have announced all flows to a process that it told nothing.
#[test]
fn a_restarted_home_does_not_deny_flows_that_were_announced_before() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    open_at(NOW.after(100), &mut nodes, holder, key);
    announce(NOW.after(100), &mut nodes, |_, _| false);
    let now = NOW.after(1_000);
    restart(now, &mut nodes, second);
    // The first heartbeats introduce the home node, the second ones refer to it.
    for _ in 0..2 {
        beat(now, &mut nodes, |_, _| false);
    }

    let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

    assert_no_reset(&action);
}

/// What an agent said before a flow was opened proves nothing about the flow.
#[test]
fn homes_do_not_deny_a_flow_opened_after_the_last_heartbeat_of_its_agent() {
    let Case { mut nodes, key, holder, first, second } = synchronised();
    open_at(NOW.after(100), &mut nodes, holder, key);
    announce(NOW.after(100), &mut nodes, |from, _| from == holder);

    // The segment and its retransmissions, as a balancer sends them.
    let third = fallback(&nodes[0].roster, &key).map(number_of).expect("six agents");
    let attempts =
        [(first, Search::Home(0)), (second, Search::Home(1)), (third, Search::Fallback)];
    for (to, attempt) in attempts {
        let now = NOW.after(300);
        let action = search(now, &mut nodes, to, key, attempt, &[holder]);
        assert_no_reset(&action);
    }
}

/// An agent that has just started knows no other agent, and others still take it for a home
/// node.
#[test]
fn a_home_that_knows_no_other_agent_denies_no_flow() {
    let mut nodes = vec![node(1, [1])];

    for now in [NOW, NOW.after(200), NOW.after(600)] {
        let action = search(now, &mut nodes, 1, flow(1), Search::Home(0), &[]);
        assert_no_reset(&action);
        ask(now, &mut nodes);
    }
}

/// A caller may have chosen a backend server whose agent has not seen that yet, and its next
/// segment is the first one that reaches a new home node.
#[test]
fn a_new_home_does_not_deny_a_flow_that_was_only_accepted() {
    let Case { mut nodes, key, holder, first, .. } = synchronised();
    accept_at(NOW.after(100), &mut nodes, holder, key);
    nodes.retain(|node| node.number != first);
    for node in &mut nodes {
        assert!(node.roster.remove(agent_address(first), node.incarnation));
    }
    announce(NOW.after(200), &mut nodes, |_, _| false);
    let homes = homes(&nodes[0].roster, &key).map(|home| home.map(number_of));
    let new = homes[1].expect("five agents are left");

    let now = NOW.after(300);
    search(now, &mut nodes, new, key, Search::Home(1), &[holder]);
    ask(now, &mut nodes);
    let action = search(now, &mut nodes, new, key, Search::Home(1), &[]);

    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
}

/// An announcement may arrive before the first heartbeat of its agent.
#[test]
fn a_home_forwards_to_a_holder_that_it_has_not_heard() {
    let Case { mut nodes, key, second, .. } = synchronised();
    let home = node_mut(&mut nodes, second).expect("a node");
    let from = agent_address(9);
    home.agent.handle_announcement(NOW, &home.roster, from, &announcement(&[key]));

    let action = decide(NOW, &mut nodes, second, key, Search::Home(1));

    assert_forwarded(&action, from);
}

/// What an agent said before it fell silent proves nothing about a later flow.
#[test]
fn homes_do_not_deny_a_flow_opened_after_its_agent_fell_silent() {
    for silent_s in [3, 4, 10] {
        let Case { mut nodes, key, holder, first, .. } = synchronised();
        open_at(NOW.after(100), &mut nodes, holder, key);
        announce(NOW.after(100), &mut nodes, |from, _| from == holder);
        let now = cut_off(&mut nodes, holder, silent_s);

        let action = search(now, &mut nodes, first, key, Search::Home(0), &[holder]);

        assert_no_reset(&action);
    }
}

/// An agent that has not announced all of its flows may hold the flow, silent or not.
#[test]
fn homes_do_not_leave_out_a_silent_agent() {
    for silent_s in [3, 4, 10] {
        let Case { mut nodes, key, holder, first, .. } = synchronised();
        open_at(NOW.after(100), &mut nodes, holder, key);
        announce(NOW.after(100), &mut nodes, |from, _| from == holder);
        beat(NOW.after(200), &mut nodes, |_, _| false);
        let now = cut_off(&mut nodes, holder, silent_s);

        let action = search(now, &mut nodes, first, key, Search::Home(0), &[holder]);

        assert_no_reset(&action);
    }
}

/// A delayed heartbeat of an earlier process says nothing about the present one.
#[test]
fn homes_do_not_believe_a_late_heartbeat_of_an_earlier_process() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    let mut earlier = node(holder, 1..=6);
    earlier.agent.announcements(NOW, &earlier.roster);
    restart(NOW.after(100), &mut nodes, holder);
    beat(NOW.after(100), &mut nodes, |_, _| false);
    open_at(NOW.after(200), &mut nodes, holder, key);
    announce(NOW.after(200), &mut nodes, |from, _| from == holder);
    let now = NOW.after(300);
    beat(now, &mut nodes, |_, _| false);

    let present =
        std::mem::replace(node_mut(&mut nodes, holder).expect("a node"), earlier);
    pass_heartbeat(now, &mut nodes, holder, second);
    *node_mut(&mut nodes, holder).expect("a node") = present;
    let action = search(now, &mut nodes, second, key, Search::Home(1), &[]);

    assert_no_reset(&action);
}

/// A listed agent that was lost before this one started must not keep callers of ended flows
/// waiting after its entry in the store has expired.
#[test]
fn agents_that_were_never_heard_are_removed_with_their_entries() {
    let mut roster = roster(NOW, 3, &["a"]);
    let unheard = [8, 9].map(agent_address);
    for address in unheard {
        roster.insert_unheard(NOW, address, Role::Agent, "a".into());
    }

    roster.remove_unlisted(&[unheard[1]]);

    let left: Vec<_> = roster.agents().map(|member| member.address).collect();
    assert_eq!(left, [1, 2, 3, 9].map(agent_address));
}

/// A farewell that was delayed must not remove the process that has taken over the address.
#[test]
fn a_late_departure_of_an_earlier_process_changes_nothing() {
    let mut roster = roster(NOW, 6, &["a"]);
    let address = agent_address(4);
    let mut heartbeat = agent_heartbeat(1, "a", Stage::Ready, 0);
    heartbeat.incarnation = INCARNATION + 1;
    roster.record_heartbeat(NOW, address, &heartbeat).expect("a new process");
    let generation = roster.generation();

    assert!(!roster.remove(address, INCARNATION));

    assert_eq!(roster.generation(), generation);
    assert!(roster.is_heard(address));
}

/// Heartbeats that were delayed must not bring back a process that was replaced or has left.
#[test]
fn late_heartbeats_bring_back_no_earlier_process() {
    let mut roster = roster(NOW, 6, &["a"]);
    let late = agent_heartbeat(9, "a", Stage::Ready, 0);
    let mut present = agent_heartbeat(1, "a", Stage::Ready, 0);
    present.incarnation = INCARNATION + 1;

    let replaced = agent_address(4);
    roster.record_heartbeat(NOW, replaced, &present).expect("a new process");
    assert_eq!(roster.record_heartbeat(NOW, replaced, &late), Err(Outdated));

    let left = agent_address(5);
    assert!(roster.remove(left, INCARNATION));
    assert_eq!(roster.record_heartbeat(NOW, left, &late), Err(Outdated));
    assert_eq!(roster.get(left), None);
    roster.record_heartbeat(NOW, left, &present).expect("a new process");
    assert_eq!(roster.record_heartbeat(NOW, left, &late), Err(Outdated));
}

/// An agent that leaves says that its flows have ended. Their callers must not wait for it.
#[test]
fn flows_of_an_agent_that_left_end() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    open_at(NOW, &mut nodes, holder, key);
    announce(NOW, &mut nodes, |_, _| false);
    nodes.retain(|node| node.number != holder);
    for node in &mut nodes {
        assert!(node.roster.remove(agent_address(holder), node.incarnation));
        node.agent.handle_leave(agent_address(holder), node.incarnation);
    }
    announce(NOW, &mut nodes, |_, _| false);

    search(NOW, &mut nodes, second, key, Search::Home(1), &[]);
    ask(NOW, &mut nodes);
    let action = search(NOW, &mut nodes, second, key, Search::Home(1), &[]);

    assert!(
        matches!(action, Action::Refuse { cause: Cause::NotFound, .. }),
        "{action:?}"
    );
}

/// A home node with a full index can't tell that a flow was not announced.
#[test]
fn a_home_does_not_deny_a_flow_that_it_evicted() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    let other = others(holder, second)[0];
    resize(&mut nodes, second, 1);
    resize(&mut nodes, other, 100_000);
    open_at(NOW, &mut nodes, holder, key);
    announce(NOW, &mut nodes, |_, _| false);
    fill(NOW.after(100), &mut nodes, other);
    announce(NOW.after(100), &mut nodes, |_, _| false);
    beat(NOW.after(100), &mut nodes, |_, _| false);

    let now = NOW.after(200);
    search(now, &mut nodes, second, key, Search::Home(1), &[]);
    ask(now, &mut nodes);
    let action = search(now, &mut nodes, second, key, Search::Home(1), &[]);

    assert_no_reset(&action);
}

/// An agent with a full table can't tell which flows its backend server holds.
#[test]
fn an_agent_does_not_deny_a_flow_that_it_evicted() {
    let Case { mut nodes, key, holder, .. } = synchronised();
    resize(&mut nodes, holder, 1);
    open_at(NOW, &mut nodes, holder, key);
    announce(NOW, &mut nodes, |_, _| false);
    fill(NOW.after(100), &mut nodes, holder);
    announce(NOW.after(100), &mut nodes, |_, _| false);
    beat(NOW.after(100), &mut nodes, |_, _| false);

    let now = NOW.after(200);
    search(now, &mut nodes, holder, key, Search::Known, &[]);
    ask(now, &mut nodes);
    let action = search(now, &mut nodes, holder, key, Search::Known, &[]);

    assert_no_reset(&action);
}

/// A backend server that answers is running, although its reports don't arrive.
#[test]
fn missing_reports_end_no_flow_while_the_backend_server_answers() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    let flags = Flags { acknowledge: true, ..Flags::default() };

    for tick in 1..=40 {
        let now = NOW.after(tick * TICK_MS);
        let sequence = FIRST_SEQUENCE + 1 + tick as u32;
        let answer = Segment { length: 1, ..from_backend(flow(1), flags, sequence) };
        agent.handle_backend_segment(now, &routing(1), &roster, &answer);
        assert_eq!(agent.tick(now), []);
    }
}

/// After a restart of its agent, a backend server that the caller did not choose may answer a
/// segment on a walk with a reset. The flow continues at another backend server.
#[test]
fn a_restarted_agent_passes_on_no_reset_of_a_flow_that_it_does_not_know() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, report(17));
    let walk = arrival(request(flow(1), FIRST_SEQUENCE + 1), Search::Walk, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);
    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");

    let reset = Flags { reset: true, ..Flags::default() };
    let answer = from_backend(flow(1), reset, 9_000);
    let action = agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);

    assert_eq!(action, Some(BackendAction::Drop(Cause::Elsewhere)));
}

/// An opening that waits here was accepted elsewhere, where the caller closes the flow.
#[test]
fn a_closing_segment_on_a_waiting_opening_is_no_proof_that_the_flow_was_here() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let waiting = arrival(opening(key, 0), Search::Open, 1);
    agent.hold(NOW, &routing(1), waiting, Vec::new());
    let mut close = request(key, FIRST_SEQUENCE + 1);
    close.flags.close = true;
    let known = arrival(close, Search::Known, 1);

    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &known);

    let to = homes(&roster, &key)[0].expect("a home");
    assert_forwarded(&action, to);
    assert_eq!(agent.release(NOW.after(5_000), &routing(1), &roster), None);
}

/// As above for an opening that the backend server has not accepted.
#[test]
fn a_returned_segment_ends_no_flow_that_was_not_accepted_here() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let offered = arrival(opening(key, 0), Search::Open, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &offered);
    let mut close = request(key, FIRST_SEQUENCE + 1);
    close.flags.close = true;
    let known = arrival(close, Search::Known, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &known);
    let Action::Deliver { mark, .. } = action else { panic!("{action:?}") };

    let back = returned(close, mark);
    let answer = agent.handle_backend_segment(NOW, &routing(1), &roster, &back);

    let Some(BackendAction::Returned(action)) = answer else { panic!("{answer:?}") };
    assert_no_reset(&action);
}

/// A backend server may accept flows between its start and its first report.
#[test]
fn the_first_report_of_a_new_instance_ends_no_flow_opened_since_the_last_one() {
    let (mut agent, roster) = agent_and_roster();
    let [older, younger] = [1, 2].map(flow);
    open(NOW, &mut agent, &roster, older, FIRST_SEQUENCE);
    agent.report(NOW.after(1_000), report(2));
    open(NOW.after(1_500), &mut agent, &roster, younger, FIRST_SEQUENCE);

    let next = Report { id: "i-2".into(), started_ms: Some(2_200), ..report(1) };
    let (_, ended) = agent.report(NOW.after(2_000), next);

    let ended: Vec<_> = ended.iter().map(|ended| ended.flow).collect();
    assert_eq!(ended, [older]);
}

/// An agent that took its backend server for gone has forgotten its flows.
#[test]
fn an_agent_knows_not_all_flows_after_its_backend_server_was_taken_for_gone() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    let now = NOW.after(20_000);
    agent.record_absence(now);

    agent.report(now.after(100), report(9));
    agent.update_knows_all_flows(now.after(100), &routing(1));

    assert!(!agent.knows_all_flows());
}

/// During a long upload a backend server only acknowledges, and its agent may have been
/// restarted.
#[test]
fn a_restarted_agent_announces_flows_whose_backend_server_only_acknowledges() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, report(17));
    let flags = Flags { acknowledge: true, ..Flags::default() };

    let answer = from_backend(flow_homed_elsewhere(&roster), flags, 9_000);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);

    assert_eq!(agent.announcements(NOW, &roster).len(), 2);
}

/// A datagram that arrives twice must not make up for a lost one.
#[test]
fn a_doubled_announcement_hides_no_lost_one() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    let other = (2..).map(flow).find(|other| {
        homes(&nodes[0].roster, other).contains(&Some(agent_address(second)))
    });
    let now = NOW.after(100);
    for (number, lost) in [(other.expect("another flow"), false), (key, true)] {
        open_at(now, &mut nodes, holder, number);
        for _ in 0..2 {
            announce(now, &mut nodes, |_, _| lost);
        }
        if !lost {
            let home = node_mut(&mut nodes, second).expect("a node");
            let from = agent_address(holder);
            home.agent.handle_announcement(
                now,
                &home.roster,
                from,
                &announcement(&[number]),
            );
        }
    }

    search(now, &mut nodes, second, key, Search::Home(1), &[holder]);
    ask(now, &mut nodes);
    let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

    assert_no_reset(&action);
}

/// An agent that others know and don't hear may hold the flow. A home node that has just
/// started may know nothing of it.
#[test]
fn a_restarted_home_denies_no_flow_while_others_miss_an_agent() {
    let Case { mut nodes, key, holder, second, .. } = synchronised();
    open_at(NOW, &mut nodes, holder, key);
    announce(NOW, &mut nodes, |_, _| false);
    let now = cut_off(&mut nodes, holder, 4);
    restart(now, &mut nodes, second);
    let home = node_mut(&mut nodes, second).expect("a node");
    home.roster = roster_of(now, others(holder, second));
    for _ in 0..2 {
        beat(now, &mut nodes, |from, to| [from, to].contains(&holder));
        announce(now, &mut nodes, |from, to| [from, to].contains(&holder));
    }

    search(now, &mut nodes, second, key, Search::Home(1), &[holder]);
    ask_unless(now, &mut nodes, |from, to| [from, to].contains(&holder));
    let action = search(now, &mut nodes, second, key, Search::Home(1), &[holder]);

    assert_no_reset(&action);
}

/// An agent left, and all but one node have heard its successor.
#[test]
fn a_home_does_not_take_the_successor_of_an_agent_that_left_for_that_agent() {
    let (mut nodes, key) = homed_at_the_first_node(0);
    nodes.retain(|node| node.number != 6);
    for node in &mut nodes {
        assert!(node.roster.remove(agent_address(6), INCARNATION));
        node.agent.handle_leave(agent_address(6), INCARNATION);
    }
    announce(NOW, &mut nodes, |_, _| false);
    nodes.push(Node { incarnation: INCARNATION + 1, ..node(6, 2..=5) });
    let is_cut = |from, to| from == 6 && to == 1 || from == 1 && to == 6;
    for _ in 0..2 {
        beat(NOW, &mut nodes, is_cut);
    }
    announce(NOW, &mut nodes, is_cut);
    open_at(NOW, &mut nodes, 6, key);
    announce(NOW, &mut nodes, is_cut);

    search(NOW, &mut nodes, 1, key, Search::Home(0), &[]);
    ask_unless(NOW, &mut nodes, is_cut);
    let action = search(NOW, &mut nodes, 1, key, Search::Home(0), &[]);

    assert_no_reset(&action);
}

/// Agents that already hear another one must not state the set from before.
#[test]
fn a_home_does_not_overlook_an_agent_that_others_have_just_heard() {
    let (mut nodes, key) = homed_at_the_first_node(1);
    nodes.push(node(7, 2..=6));
    let is_cut = |from, to| from == 7 && to == 1 || from == 1 && to == 7;
    beat(NOW, &mut nodes, is_cut);
    open_at(NOW, &mut nodes, 7, key);

    search(NOW, &mut nodes, 1, key, Search::Home(1), &[7]);
    ask_unless(NOW, &mut nodes, is_cut);
    let action = search(NOW, &mut nodes, 1, key, Search::Home(1), &[7]);

    assert_no_reset(&action);
}

/// A backend server that has said that it leaves serves its flows for a moment.
#[test]
fn an_agent_of_a_leaving_backend_server_does_not_claim_to_know_all_flows_at_once() {
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, report(17));

    assert!(agent.record_leave(NOW, "i-1"));

    assert!(!agent.knows_all_flows());
}

/// The warm-up time may have been lowered after the backend server started. It can't have
/// started at a time that the configured one doesn't allow.
#[test]
fn an_agent_does_not_compute_the_age_of_a_backend_server_from_another_warm_up_time() {
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    let configured = routing(1);
    let service = configured.service(CALENDAR).expect("a service");
    let cold_ms = service.cold_ms + 1_000;
    agent.report(NOW, Report { cold_ms, ..report(5) });

    agent.update_knows_all_flows(NOW, &configured);

    assert!(!agent.knows_all_flows());
}

/// An announcement of the process that has taken over an address may arrive before a
/// farewell that was delayed.
#[test]
fn a_late_departure_does_not_remove_flows_of_the_next_process() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    let next = Announcement { sender: INCARNATION + 1, ..announcement(&[key]) };
    agent.handle_announcement(NOW, &roster, agent_address(4), &next);

    if roster.remove(agent_address(4), INCARNATION) {
        agent.handle_leave(agent_address(4), INCARNATION);
    }

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(0), 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);
    assert!(
        matches!(action, Action::Forward { to, .. } if to == agent_address(4)),
        "{action:?}"
    );
}

/// An opening that was delayed for seconds says nothing about a later flow.
#[test]
fn an_expired_opening_does_not_end_a_flow() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    let late = Segment { sequence: 77, age_ms: 30_000, ..opening(flow(1), 0) };
    let late = arrival(late, Search::Open, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &late);
    assert!(matches!(action, Action::Drop(_)), "{action:?}");

    let arrival = arrival(request(flow(1), FIRST_SEQUENCE + 1), Search::Known, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
}

/// Questions that can't lead to a proof must not load the nodes that are left.
#[test]
fn a_home_asks_nobody_while_an_agent_is_silent() {
    let Case { mut nodes, key, holder, first, .. } = synchronised();
    let now = cut_off(&mut nodes, holder, 4);

    search(now, &mut nodes, first, key, Search::Home(0), &[]);

    let home = node_mut(&mut nodes, first).expect("a node");
    assert!(!home.agent.is_question_due(now, &home.roster));
}

/// Copies of an opening were accepted by more agents than a home node remembers.
#[test]
fn a_home_finds_a_flow_that_many_agents_accepted() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    let [chosen, other, last] = [2, 3, 4].map(agent_address);
    for holder in [chosen, other, last] {
        agent.handle_announcement(NOW, &roster, holder, &announcement(&[key]));
    }
    sync_all(NOW, &mut roster, agent_address(1));
    let mut search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
    search.forwarding.tried = vec![last, other];

    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &search);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    assert!(to == chosen || forwarding.to_visit.contains(&chosen), "{forwarding:?}");
    assert!(!forwarding.is_exhaustive);
}

/// A restarted agent that has seen its backend server accept a copy of the opening must not
/// take a segment for another backend server to it.
#[test]
fn a_walk_visits_no_backend_server_that_the_caller_did_not_choose() {
    let mut node = node(1, [1]);
    node.agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    node.agent.report(NOW, report(17));
    let mut nodes = vec![node];
    accept_at(NOW, &mut nodes, 1, flow(1));
    let foreign = request(flow(1), FIRST_SEQUENCE + 1_000_000);
    let known = arrival(foreign, Search::Known, 1);

    let action = handle(NOW, &mut nodes[0], &known);

    assert_eq!(action, Action::Drop(Cause::Unknown));
}

/// The connection for reports may be cut while the backend server waits for requests.
#[test]
fn missing_reports_alone_end_no_flow() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);

    for tick in 1..=40 {
        let now = NOW.after(tick * TICK_MS);
        assert_eq!(agent.tick(now), []);
        let arrival = arrival(request(flow(1), FIRST_SEQUENCE + 1), Search::Known, 1);
        let action = agent.handle_caller_segment(now, &routing(1), &roster, &arrival);
        assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
    }
}

/// An agent that says so when it stops is taken for gone together with its flows.
#[test]
fn an_agent_with_overdue_reports_does_not_claim_to_have_no_backend_server() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    agent.stop();

    for tick in 1..=40 {
        let now = NOW.after(tick * TICK_MS);
        agent.tick(now);
        assert!(!agent.has_no_backend(), "after {} ms", now.since(NOW));
    }
}

/// A restarted agent doesn't learn of flows from before by missing reports.
#[test]
fn an_agent_with_overdue_reports_does_not_claim_to_know_all_flows() {
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, report(17));

    for tick in 1..=40 {
        let now = NOW.after(tick * TICK_MS);
        agent.tick(now);
        agent.update_knows_all_flows(now, &routing(1));
        assert!(!agent.knows_all_flows(), "after {} ms", now.since(NOW));
    }
}

/// An agent and its roster, next to a backend server.
#[derive(Debug)]
struct Node {
    /// Its number.
    number: u8,
    /// Its incarnation.
    incarnation: u64,
    /// Sequence number of its last heartbeat.
    sequence: u32,
    /// Its decisions.
    agent: Agent,
    /// The members known to it.
    roster: Roster,
    /// The flows that its backend server holds.
    held: Vec<flow::Key>,
}

/// Six nodes, and a flow to be opened at one of them.
#[derive(Debug)]
struct Case {
    /// The nodes.
    nodes: Vec<Node>,
    /// The flow.
    key: flow::Key,
    /// Number of a node that is no home node of the flow.
    holder: u8,
    /// Number of the first home node.
    first: u8,
    /// Number of the second home node.
    second: u8,
}

/// A node that has heard other agents and itself.
fn node(number: u8, known: impl IntoIterator<Item = u8>) -> Node {
    Node {
        number,
        incarnation: INCARNATION,
        sequence: 1,
        agent: agent(NOW, number, "a"),
        roster: roster_of(NOW, known),
        held: Vec::new(),
    }
}

/// Nodes that hold no flows, know each other, and have told each other so.
fn synchronised() -> Case {
    let mut nodes: Vec<_> = (1..=6).map(|number| node(number, 1..=6)).collect();
    announce(NOW, &mut nodes, |_, _| false);
    beat(NOW, &mut nodes, |_, _| false);
    let key = flow(1);
    let [first, second] =
        homes(&nodes[0].roster, &key).map(|home| number_of(home.expect("a home")));
    let is_home = |number: &u8| [first, second].contains(number);
    let holder = (1..=6).find(|number| !is_home(number)).expect("four are no homes");
    Case { nodes, key, holder, first, second }
}

/// Nodes as above, and a flow that has the first of them as its home node with a rank.
fn homed_at_the_first_node(rank: usize) -> (Vec<Node>, flow::Key) {
    let Case { nodes, .. } = synchronised();
    let is_homed =
        |key: &flow::Key| homes(&nodes[0].roster, key)[rank] == Some(agent_address(1));
    let key = (1..).map(flow).find(is_homed).expect("one flow in six");
    (nodes, key)
}

/// Nodes of which the first one has not heard that the seventh one joined, and a flow
/// that the seventh one announces to other home nodes than the first one. All know that
/// the sixth one left.
fn one_joined_and_one_left() -> (Vec<Node>, flow::Key) {
    let old = || 1..=6;
    let new = || [1, 2, 3, 4, 5, 7];
    let mut nodes = vec![node(1, old())];
    nodes[0].roster.remove(agent_address(6), INCARNATION);
    nodes.extend(new().into_iter().skip(1).map(|number| node(number, new())));
    let own = Some(agent_address(1));
    let is_disputed = |key: &flow::Key| {
        homes(&nodes[0].roster, key)[1] == own
            && homes(&roster_of(NOW, old()), key).contains(&own)
            && !homes(&nodes[1].roster, key).contains(&own)
    };
    let key = (1..).map(flow).find(is_disputed).expect("some flows have such homes");
    (nodes, key)
}

/// The numbers of four of six nodes, without two others.
fn others(one: u8, other: u8) -> Vec<u8> {
    (1..=6).filter(|number| ![one, other].contains(number)).collect()
}

/// Cuts a node off for 8 s, and then lets it hear some nodes. Returns the time after that.
fn isolate(nodes: &mut [Node], isolated: u8, heard: &[u8]) -> Millis {
    let now = cut_off(nodes, isolated, 8).after(100);
    for number in heard {
        pass_heartbeat(now, nodes, *number, isolated);
    }
    now
}

/// Lets heartbeats pass for some seconds, except for those from and to one node. Returns
/// the time after that.
fn cut_off(nodes: &mut [Node], number: u8, seconds: u64) -> Millis {
    for second in 1..=seconds {
        let now = NOW.after(second * 1_000);
        beat(now, nodes, |from, to| [from, to].contains(&number));
    }
    NOW.after(seconds * 1_000)
}

/// Opens a flow at a node and its backend server.
fn open_at(now: Millis, nodes: &mut [Node], number: u8, key: flow::Key) {
    let node = node_mut(nodes, number).expect("a node");
    open(now, &mut node.agent, &node.roster, key, FIRST_SEQUENCE);
    node.held.push(key);
}

/// Lets the backend server of a node accept a flow, which the caller has not chosen yet.
fn accept_at(now: Millis, nodes: &mut [Node], number: u8, key: flow::Key) {
    let node = node_mut(nodes, number).expect("a node");
    let Node { agent, roster, held, .. } = node;
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    agent.handle_caller_segment(now, &routing(1), roster, &arrival);
    agent.handle_backend_segment(now, &routing(1), roster, &accept(key, FIRST_SEQUENCE));
    agent.announce_flow(now, roster, &key);
    held.push(key);
}

/// Restarts a node with tables for approximately `flows` flows, before it has sent or heard
/// anything.
fn resize(nodes: &mut [Node], number: u8, flows: usize) {
    let node = node_mut(nodes, number).expect("a node");
    let limits = Limits { flows, ..limits() };
    node.agent = Agent::new(NOW, agent_address(number), "a".into(), limits);
    node.agent.report(NOW, report(1));
    node.agent.announcements(NOW, &node.roster);
}

/// Lets the backend server of a node answer on thousands of flows from an earlier process.
fn fill(now: Millis, nodes: &mut [Node], number: u8) {
    let node = node_mut(nodes, number).expect("a node");
    let flags = Flags { acknowledge: true, ..Flags::default() };
    for key in (1_000..7_000).map(flow) {
        let answer = Segment { length: 1, ..from_backend(key, flags, FIRST_SEQUENCE) };
        node.agent.handle_backend_segment(now, &routing(1), &node.roster, &answer);
        node.held.push(key);
    }
}

/// Restarts the process of a node and its backend server.
fn restart(now: Millis, nodes: &mut [Node], number: u8) {
    let before = node_mut(nodes, number).expect("a node");
    let incarnation = before.incarnation + 1;
    *before = Node {
        incarnation,
        sequence: 0,
        agent: agent(now, number, "a"),
        ..node(number, (1..=6).filter(|other| *other != number))
    };
}

/// Lets all nodes send the announcements that are due, except for those that are lost
/// between two numbers.
fn announce(now: Millis, nodes: &mut [Node], is_lost: impl Fn(u8, u8) -> bool) {
    for index in 0..nodes.len() {
        let node = &mut nodes[index];
        let from = node.number;
        for Outgoing { to, announcement } in node.agent.announcements(now, &node.roster) {
            if is_lost(from, number_of(to)) {
                continue;
            }
            if let Some(to) = node_mut(nodes, number_of(to)) {
                let from = agent_address(from);
                to.agent.handle_announcement(now, &to.roster, from, &announcement);
            }
        }
    }
}

/// Lets all nodes send a heartbeat to those that they know and to themselves, except for
/// those that are lost between two numbers.
fn beat(now: Millis, nodes: &mut [Node], is_lost: impl Fn(u8, u8) -> bool) {
    let numbers: Vec<_> = nodes.iter().map(|node| node.number).collect();
    for from in &numbers {
        for to in &numbers {
            if from == to || !is_lost(*from, *to) {
                pass_heartbeat(now, nodes, *from, *to);
            }
        }
    }
    for node in nodes {
        node.roster.tick(now);
    }
}

/// Lets all nodes that need answers ask for them, and all nodes answer.
fn ask(now: Millis, nodes: &mut [Node]) {
    ask_unless(now, nodes, |_, _| false);
}

/// As [`ask`], except for messages that are lost between two numbers.
fn ask_unless(now: Millis, nodes: &mut [Node], is_lost: impl Fn(u8, u8) -> bool) {
    for node in nodes.iter_mut() {
        node.agent.is_question_due(now, &node.roster);
    }
    // The first heartbeats carry the questions, the second ones the answers.
    for _ in 0..2 {
        beat(now, nodes, &is_lost);
    }
}

/// Passes a heartbeat from one node to another, if the sender knows the receiver.
fn pass_heartbeat(now: Millis, nodes: &mut [Node], from: u8, to: u8) {
    let sender = node_mut(nodes, from).expect("a node");
    sender.sequence += 1;
    let mut heartbeat = agent_heartbeat(sender.sequence, "a", Stage::Ready, 0);
    heartbeat.incarnation = sender.incarnation;
    if from != to {
        let Some(member) = sender.roster.get(agent_address(to)) else { return };
        let sync_status = sender.agent.sync_status(&sender.roster, member);
        heartbeat.sync_status = Some(sync_status);
    }
    let from = agent_address(from);
    let to = node_mut(nodes, to).expect("a node");
    // A late heartbeat of an earlier process is refused.
    let _ = to.roster.record_heartbeat(now, from, &heartbeat);
    to.agent.handle_heartbeat(now, &to.roster, from, &heartbeat);
}

/// Sends a segment of a flow to a node and follows it until it is no longer forwarded, or
/// is lost on its way to one of the nodes in `cut`. Returns the last action.
fn search(
    now: Millis,
    nodes: &mut [Node],
    first: u8,
    key: flow::Key,
    search: Search,
    cut: &[u8],
) -> Action {
    let segment = request(key, FIRST_SEQUENCE + 1);
    let mut arrival =
        searched(&node_mut(nodes, first).expect("a node").roster, segment, search);
    let mut number = first;
    loop {
        let node = node_mut(nodes, number).expect("a node");
        let action = handle(now, node, &arrival);
        match action {
            Action::Forward { to, forwarding, .. } if !cut.contains(&number_of(to)) => {
                (number, arrival.forwarding) = (number_of(to), forwarding);
            }
            last => return last,
        }
    }
}

/// The decision of a single node on a segment of a flow.
fn decide(
    now: Millis,
    nodes: &mut [Node],
    number: u8,
    key: flow::Key,
    search: Search,
) -> Action {
    let arrival = arrival(request(key, FIRST_SEQUENCE + 1), search, 1);
    handle(now, node_mut(nodes, number).expect("a node"), &arrival)
}

/// Lets a node decide on a segment. Its backend server returns it if it doesn't hold the
/// flow.
fn handle(now: Millis, node: &mut Node, arrival: &Arrival) -> Action {
    let Node { agent, roster, held, .. } = node;
    let action = agent.handle_caller_segment(now, &routing(1), roster, arrival);
    match action {
        Action::Deliver { mark, .. }
            if !held.contains(&arrival.segment.flow_from_caller()) =>
        {
            let segment = returned(arrival.segment, mark);
            let answer = agent.handle_backend_segment(now, &routing(1), roster, &segment);
            match answer {
                Some(BackendAction::Returned(action)) => action,
                other => panic!("not returned: {other:?}"),
            }
        }
        action => action,
    }
}

/// The node with a number.
fn node_mut(nodes: &mut [Node], number: u8) -> Option<&mut Node> {
    nodes.iter_mut().find(|node| node.number == number)
}

/// The number of the agent with an address.
fn number_of(address: SocketAddrV4) -> u8 {
    address.ip().octets()[3]
}

/// Asserts that the caller gets no reset.
#[track_caller]
fn assert_no_reset(action: &Action) {
    assert!(!matches!(action, Action::Refuse { .. }), "{action:?}");
}

/// Asserts that a segment is forwarded to an agent.
#[track_caller]
fn assert_forwarded(action: &Action, expected: SocketAddrV4) {
    assert!(
        matches!(action, Action::Forward { to, .. } if *to == expected),
        "{action:?}"
    );
}
