//! Tests that no open flow is reset because of what a node could not have known: only the
//! agent next to a backend server can say that a flow has ended.

mod fixture;

use fixture::nodes::{assert_forwarded, assert_no_reset};
use fixture::{
    CALENDAR, FIRST_SEQUENCE, INCARNATION, NOW, agent_address, agent_and_roster,
    agent_heartbeat, announcement, arrival, flow, flow_homed_elsewhere, flow_homed_here,
    from_backend, hear, limits, open, opening, replace, report, request, returned,
    roster, routing, searched, sync_all,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::{Action, BackendAction, Cause};
use lentilreach_steer::process::backend::{Report, TICK_MS};
use lentilreach_steer::process::balancer::{self, Balancer};
use lentilreach_steer::process::roster::{Outdated, Role};
use lentilreach_steer::request::message::{Announcement, Search, Stage};
use lentilreach_steer::request::placement::homes;
use lentilreach_steer::request::segment::{Flags, Segment};

/// Silence of agents in milliseconds: three heartbeats are lost.
const SILENCE_MS: u64 = 4_000;

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
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
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
    let ended = replace(NOW.after(2_000), &mut agent, next);

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
    agent.update_knowledge(now.after(100), &routing(1));

    assert!(!agent.knows_all_flows());
}

/// During a long upload a backend server only acknowledges, and its agent may have been
/// restarted.
#[test]
fn a_restarted_agent_announces_flows_whose_backend_server_only_acknowledges() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, report(17));
    let flags = Flags { acknowledge: true, ..Flags::default() };

    let answer = from_backend(flow_homed_elsewhere(&roster), flags, 9_000);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);

    assert_eq!(agent.announcements(NOW, &roster).len(), 2);
}

/// A backend server that has said that it leaves serves its flows for a moment.
#[test]
fn an_agent_of_a_leaving_backend_server_does_not_claim_to_know_all_flows_at_once() {
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, report(17));

    assert!(agent.record_leave(NOW, "i-1"));

    assert!(!agent.knows_all_flows());
}

/// The warm-up time may have been lowered after the backend server started. It can't have
/// started at a time that the configured one doesn't allow.
#[test]
fn an_agent_does_not_compute_the_age_of_a_backend_server_from_another_warm_up_time() {
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    let configured = routing(1);
    let service = configured.service(CALENDAR).expect("a service");
    let cold_ms = service.cold_ms + 1_000;
    agent.report(NOW, Report { cold_ms, ..report(5) });

    agent.update_knowledge(NOW, &configured);

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
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, report(17));

    for tick in 1..=40 {
        let now = NOW.after(tick * TICK_MS);
        agent.tick(now);
        agent.update_knowledge(now, &routing(1));
        assert!(!agent.knows_all_flows(), "after {} ms", now.since(NOW));
    }
}
