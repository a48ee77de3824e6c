//! Tests that home nodes and walks deny no flow that some agent holds, and find it or reset
//! it in time otherwise.

mod fixture;

use fixture::nodes::{
    Case, Node, accept_at, announce, ask, ask_unless, assert_forwarded, assert_no_reset,
    beat, cut_off, decide, fill, handle, homed_at_the_first_node, isolate, node,
    node_mut, number_of, one_joined_and_one_left, open_at, others, pass_heartbeat,
    resize, restart, search, synchronised,
};
use fixture::{
    FIRST_SEQUENCE, INCARNATION, NOW, agent_address, announcement, arrival, flow, limits,
    report, request, roster_of,
};
use lentilreach_steer::process::agent::{Action, Cause};
use lentilreach_steer::request::message::Search;
use lentilreach_steer::request::placement::{fallback, homes};

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

/// Questions that can't lead to a proof must not load the nodes that are left.
#[test]
fn a_home_asks_nobody_while_an_agent_is_silent() {
    let Case { mut nodes, key, holder, first, .. } = synchronised();
    let now = cut_off(&mut nodes, holder, 4);

    search(now, &mut nodes, first, key, Search::Home(0), &[]);

    let home = node_mut(&mut nodes, first).expect("a node");
    assert!(!home.agent.is_question_due(now, &home.roster));
}

/// A restarted agent that has seen its backend server accept a copy of the opening must not
/// take a segment for another backend server to it.
#[test]
fn a_walk_visits_no_backend_server_that_the_caller_did_not_choose() {
    let mut node = node(1, [1]);
    node.agent = fixture::start_agent(NOW, 1, "a", limits());
    node.agent.report(NOW, report(17));
    let mut nodes = vec![node];
    accept_at(NOW, &mut nodes, 1, flow(1));
    let foreign = request(flow(1), FIRST_SEQUENCE + 1_000_000);
    let known = arrival(foreign, Search::Known, 1);

    let action = handle(NOW, &mut nodes[0], &known);

    assert_eq!(action, Action::Drop(Cause::Unknown));
}
