//! Tests of an agent's decisions on segments.

mod fixture;

use fixture::{
    CALENDAR, COLD_LIMIT, FIRST_SEQUENCE, INVOICES, NOW, accept, agent_address,
    agent_and_roster, agent_heartbeat, arrival, flow, flow_homed_elsewhere, forwarded,
    from_backend, limits, mark, moved_routing, open, opening, replace, report, request,
    returned, roster, routing,
};
use lentilreach_steer::process::agent::{Action, BackendAction, Cause, Ended};
use lentilreach_steer::process::backend::{Change, Refusal, Report};
use lentilreach_steer::request::message::{Search, Stage};
use lentilreach_steer::request::segment::Flags;
use lentilreach_steer::version::routing::Routing;

/// A flow must not reach a backend server of another service that reuses the address,
/// while the balancer still believes the previous one is there.
#[test]
fn another_service_on_the_address_gets_no_flow() {
    let (mut agent, roster) = agent_and_roster();
    let other = Report {
        id: "i-2".into(),
        service: INVOICES.into(),
        started_ms: Some(2_000),
        ..report(1)
    };
    agent.report(NOW, other);

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(forwarded(action).0, Cause::Route);
}

/// After an opening was delivered according to one configuration, none may be delivered
/// according to an older one. The balancer may be ahead of the agent or behind it.
#[test]
fn no_opening_follows_an_older_configuration() {
    let (mut agent, roster) = agent_and_roster();
    let behind = routing(4);
    let newer = arrival(opening(flow(1), 0), Search::Open, 5);
    assert!(matches!(
        agent.handle_caller_segment(NOW, &behind, &roster, &newer),
        Action::Deliver { is_new: true, .. }
    ));

    let older = arrival(opening(flow(2), 0), Search::Open, 4);

    assert_eq!(
        agent.handle_caller_segment(NOW, &behind, &roster, &older),
        Action::Drop(Cause::Stale)
    );
    // Once the agent itself has the newer version, its own routing decides.
    let action = agent.handle_caller_segment(NOW, &routing(5), &roster, &older);
    assert!(matches!(action, Action::Deliver { is_new: true, .. }), "{action:?}");
}

/// A newer configuration at the agent overrides the route that the balancer used.
#[test]
fn the_newer_of_two_configurations_decides() {
    let (mut agent, roster) = agent_and_roster();
    let mut moved = routing(6);
    moved.routes[0].split[0].service = INVOICES.into();

    let arrival = arrival(opening(flow(1), 0), Search::Open, 5);
    let action = agent.handle_caller_segment(NOW, &moved, &roster, &arrival);

    // No agent of the other service is known, so the caller is refused immediately.
    assert!(matches!(action, Action::Refuse { cause: Cause::Route, .. }), "{action:?}");
}

/// A failure domain that operators took out of service gets no new flows, whatever the
/// balancer decided.
#[test]
fn a_domain_that_is_out_gets_no_flow() {
    let (mut agent, roster) = agent_and_roster();
    let out = Routing { domains_out: vec!["a".into()], ..routing(1) };

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let action = agent.handle_caller_segment(NOW, &out, &roster, &arrival);

    assert_eq!(forwarded(action).0, Cause::DomainOut);
}

/// A backend server may become cold while its failure domain is out of service. It must
/// not get full load until its next report tells whether it is cold.
#[test]
fn a_domain_back_in_service_is_limited_at_first() {
    let (mut agent, _) = agent_and_roster();
    let alone = roster(NOW, 1, &["a"]);
    let out = Routing { domains_out: vec!["a".into()], ..routing(1) };
    agent.routing_changed(&out, &routing(1));

    let actions: Vec<_> = (1..=20)
        .map(|port| {
            let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
            agent.handle_caller_segment(NOW, &routing(1), &alone, &arrival)
        })
        .collect();

    let delivered =
        actions.iter().filter(|action| matches!(action, Action::Deliver { .. })).count();
    assert_eq!(delivered, COLD_LIMIT);
}

/// A draining backend server must not get new flows.
#[test]
fn a_draining_backend_server_gets_no_flow() {
    let (mut agent, roster) = agent_and_roster();
    let (change, _) = agent.report(NOW, Report { is_draining: true, ..report(2) });
    assert_eq!(change, Change::Stage);

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(forwarded(action).0, Cause::Admission(Refusal::Draining));
}

/// If a backend server returns an opening, another one with free capacity gets it.
#[test]
fn a_returned_opening_goes_to_another_agent() {
    let (mut agent, roster) = agent_and_roster();
    let segment = opening(flow(1), 0);
    let action = agent.handle_caller_segment(
        NOW,
        &routing(1),
        &roster,
        &arrival(segment, Search::Open, 1),
    );

    let back = returned(segment, mark(&action));
    let answer = agent.handle_backend_segment(NOW, &routing(1), &roster, &back);

    let Some(BackendAction::Returned(Action::Forward { to, forwarding, cause, .. })) =
        answer
    else {
        panic!("{answer:?}")
    };
    assert_ne!(to, agent_address(1));
    assert_eq!((forwarding.tried, cause), (vec![agent_address(1)], Cause::Returned));
}

/// An opening must not be forwarded without limit while all backend servers are full.
#[test]
fn an_opening_is_refused_after_several_agents() {
    let (mut agent, roster) = agent_and_roster();
    let segment = opening(flow(1), 0);
    let mut last = arrival(segment, Search::Open, 1);
    last.forwarding.tried = (2..=5).map(agent_address).collect();
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &last);

    let answer = agent.handle_backend_segment(
        NOW,
        &routing(1),
        &roster,
        &returned(segment, mark(&action)),
    );

    let refused = matches!(
        answer,
        Some(BackendAction::Returned(Action::Refuse {
            sequence: 0,
            cause: Cause::Returned,
            ..
        }))
    );
    assert!(refused, "{answer:?}");
}

/// A returned segment must not be confused with another one: its mark may be from an
/// earlier process or belong to another flow.
#[test]
fn a_returned_segment_with_an_unknown_mark_is_dropped() {
    let (mut agent, roster) = agent_and_roster();
    let segment = opening(flow(1), 0);
    let action = agent.handle_caller_segment(
        NOW,
        &routing(1),
        &roster,
        &arrival(segment, Search::Open, 1),
    );
    let mark = mark(&action);

    let other = returned(opening(flow(2), 0), mark);
    assert_eq!(agent.handle_backend_segment(NOW, &routing(1), &roster, &other), None);
    let unknown = returned(segment, mark.wrapping_add(9));
    assert_eq!(agent.handle_backend_segment(NOW, &routing(1), &roster, &unknown), None);
}

/// The balancer is informed where a flow is, so that only one segment takes a detour.
#[test]
fn the_balancer_is_informed_where_a_flow_is() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    let mut deliver = |search| {
        let arrival = arrival(request(flow(1), FIRST_SEQUENCE + 1), search, 1);
        match agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival) {
            Action::Deliver { notify, .. } => notify,
            other => panic!("not delivered: {other:?}"),
        }
    };

    assert_eq!(deliver(Search::Indexed), Some(fixture::balancer_address(1)));
    assert_eq!(deliver(Search::Known), None);
}

/// A restart of an agent must not end flows. Until the agent knows all flows, it delivers
/// segments of unknown ones, since only the backend server can tell whether it holds
/// them.
#[test]
fn a_restarted_agent_delivers_segments_of_unknown_flows() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, report(17));
    let key = flow_homed_elsewhere(&roster);
    let segment = request(key, FIRST_SEQUENCE);

    let arrival = arrival(segment, Search::Known, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    // If the backend server doesn't hold the flow, the search continues.
    let answer = agent.handle_backend_segment(
        NOW,
        &routing(1),
        &roster,
        &returned(segment, mark(&action)),
    );
    let Some(BackendAction::Returned(action)) = answer else { panic!("{answer:?}") };
    assert_eq!(forwarded(action), (Cause::Elsewhere, Search::Home(0)));
}

/// A walk must not take segments to backend servers of other services, and can't deny a
/// flow that one of them may hold since an earlier configuration.
#[test]
fn a_walk_delivers_no_segment_to_another_service() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, Report { service: INVOICES.into(), ..report(17) });
    let segment = request(flow_homed_elsewhere(&roster), FIRST_SEQUENCE);
    let mut walk = arrival(segment, Search::Walk, 1);
    walk.forwarding.is_exhaustive = true;

    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);
    assert_eq!(action, Action::Drop(Cause::Unknown));

    walk.forwarding.to_visit = vec![agent_address(2)];
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);
    let Action::Forward { forwarding, .. } = action else { panic!("{action:?}") };
    assert!(!forwarding.is_exhaustive);

    // Before the first report, the service is not known.
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    walk.forwarding.to_visit.clear();
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);
    assert_eq!(action, Action::Drop(Cause::Unknown));
}

/// After a change of a route, open flows stay at backend servers of services that the route
/// had before. A walk passed them by, and took the segments to backend servers that could not
/// hold the flow.
#[test]
fn a_walk_delivers_to_a_service_that_the_route_led_to() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, Report { service: INVOICES.into(), ..report(17) });
    let routing = moved_routing(NOW);
    let segment = request(flow_homed_elsewhere(&roster), FIRST_SEQUENCE);
    let walk = arrival(segment, Search::Walk, 1);

    let now = NOW.after(50_000);
    agent.expire(now, 60_000);
    let action = agent.handle_caller_segment(now, &routing, &roster, &walk);
    // No flow is older than that.
    let late = NOW.after(60_001);
    agent.expire(late, 60_000);
    let later = agent.handle_caller_segment(late, &routing, &roster, &walk);

    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
    assert_eq!(later, Action::Drop(Cause::Unknown));
}

/// Segments must not be delivered to a backend server that is known not to hold their
/// flow.
#[test]
fn an_agent_that_knows_all_flows_delivers_no_unknown_one() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Known, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(forwarded(action), (Cause::Elsewhere, Search::Home(0)));
}

/// If two backend servers accepted retransmissions of the same opening, segments must not
/// be delivered to the one that the caller didn't choose.
#[test]
fn a_flow_opened_at_another_backend_server_is_forwarded() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    open(NOW, &mut agent, &roster, key, FIRST_SEQUENCE);

    let elsewhere =
        arrival(request(key, FIRST_SEQUENCE.wrapping_add(1 << 31)), Search::Known, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &elsewhere);

    assert_eq!(forwarded(action), (Cause::Elsewhere, Search::Home(0)));
}

/// If a backend server was restarted, its flows are reset, with a sequence number in the
/// caller's receive window.
#[test]
fn flows_end_when_their_backend_server_is_restarted() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    let known = arrival(request(flow(1), FIRST_SEQUENCE + 77), Search::Known, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &known);

    let ended = replace(NOW, &mut agent, Report { started_ms: Some(9_000), ..report(1) });

    assert_eq!(ended, [Ended { flow: flow(1), sequence: FIRST_SEQUENCE + 77 }]);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &known);
    assert!(
        matches!(action, Action::Refuse { cause: Cause::Lost, sequence, .. } if sequence == FIRST_SEQUENCE + 77),
        "{action:?}"
    );
}

/// While this process is paused, reports are not read. That must not end flows.
#[test]
fn a_pause_of_the_process_ends_no_flow() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);

    assert_eq!(agent.tick(NOW.after(200)), []);
    assert_eq!(agent.tick(NOW.after(9_000)), []);
    agent.report(NOW.after(9_001), report(9));

    assert_eq!(agent.tick(NOW.after(9_200)), []);
}

/// If a backend server crashes, its callers must get a reset, each of them once.
#[test]
fn flows_end_when_reports_stop_and_no_process_is_there() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);

    let mut ended = Vec::new();
    for now in (1..=40).map(|tick| NOW.after(tick * 200)) {
        ended.extend(agent.tick(now));
        if agent.is_probe_due() {
            assert!(now.since(NOW) > 3_000, "no report is overdue");
            ended.extend(agent.record_absence(now));
        }
    }

    assert_eq!(ended.len(), 1, "each flow ends once");
    assert_eq!(agent.record_absence(NOW.after(9_000)), []);
}

/// A report that arrives during a probe shows that the backend server is running.
#[test]
fn a_report_during_a_probe_keeps_the_flows() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    let since = NOW.after(3_200);

    agent.report(since.after(10), report(2));

    assert_eq!(agent.record_absence(since), []);
    assert!(!agent.has_no_backend());
}

/// Probes are connections to the backend server, which must not get many of them while its
/// reports are missing.
#[test]
fn probes_are_repeated_rarely() {
    let (mut agent, _) = agent_and_roster();
    let mut probes = Vec::new();

    for tick in 1..=100 {
        agent.tick(NOW.after(tick * 200));
        if agent.is_probe_due() {
            probes.push(tick * 200);
        }
    }

    assert_eq!(probes, [3_200, 8_200, 13_200, 18_200]);
}

/// An agent without a backend server must be able to say so at once. After a loss of power,
/// all others wait for it before they reset any flow.
#[test]
fn a_starting_agent_probes_its_backend_server_at_once() {
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    let mut heard = fixture::start_agent(NOW, 1, "a", limits());
    heard.report(NOW, report(1));

    let (first, second) = (agent.is_probe_due(), agent.is_probe_due());

    assert!(first && !second && !heard.is_probe_due());
}

/// Flows of a draining backend server must continue although it makes no more reports.
#[test]
fn flows_of_a_draining_backend_server_continue() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    agent.report(NOW, Report { is_draining: true, ..report(2) });

    assert!((1..=100).all(|tick| agent.tick(NOW.after(tick * 200)).is_empty()));

    agent.record_leave(NOW.after(20_000), "i-1");
    assert_eq!(agent.tick(NOW.after(20_100)), []);
    assert_eq!(agent.tick(NOW.after(20_400)).len(), 1);
}

/// A reset by a backend server that the caller didn't choose must not end the flow, which
/// continues at another one.
#[test]
fn a_reset_of_a_flow_that_was_only_accepted_is_dropped() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let reset = Flags { reset: true, ..Flags::default() };
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &accept(key, FIRST_SEQUENCE));

    let ended = from_backend(key, reset, FIRST_SEQUENCE + 1);
    let answer = agent.handle_backend_segment(NOW, &routing(1), &roster, &ended);

    assert_eq!(answer, Some(BackendAction::Drop(Cause::Elsewhere)));
}

/// The reported load must follow the state of the flows.
#[test]
fn open_and_waiting_flows_are_counted() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    open(NOW, &mut agent, &roster, flow(2), FIRST_SEQUENCE);
    assert_eq!(agent.load(NOW), (2, 0));

    let known = arrival(request(flow(1), FIRST_SEQUENCE + 1), Search::Known, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &known);
    assert_eq!(agent.load(NOW), (2, 1));

    let flags = Flags { acknowledge: true, ..Flags::default() };
    let mut answer = from_backend(flow(1), flags, FIRST_SEQUENCE + 1);
    answer.length = 600;
    let sent = agent.handle_backend_segment(NOW.after(30), &routing(1), &roster, &answer);
    assert_eq!(
        sent,
        Some(BackendAction::Send {
            is_accept: false,
            is_found: false,
            accept_ms: None,
            answer_ms: Some(30),
            cost_ratio: None
        })
    );
    assert_eq!(agent.load(NOW.after(30)), (2, 0));

    let close = Flags { close: true, ..flags };
    agent.handle_backend_segment(
        NOW,
        &routing(1),
        &roster,
        &from_backend(flow(2), close, FIRST_SEQUENCE + 1),
    );
    assert_eq!(agent.load(NOW), (1, 0));
}

/// An agent gets no flows before its backend server has reported its service.
#[test]
fn an_agent_without_a_report_takes_no_flow() {
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    let roster = roster(NOW, 6, &["a", "b"]);

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(forwarded(action).0, Cause::Admission(Refusal::Unknown));
    assert_eq!(
        routing(1).service(CALENDAR).map(|service| service.connections),
        Some(2_000)
    );
}

/// The flow is held by another backend server. This one only got a retransmission of its
/// opening before it was restarted, so the flow must not be reset.
#[test]
fn a_flow_that_was_only_offered_is_not_reset() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    let copy = arrival(opening(key, 1), Search::Open, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &copy);
    replace(NOW, &mut agent, Report { started_ms: Some(9_000), ..report(1) });

    let arrival = arrival(request(key, FIRST_SEQUENCE), Search::Known, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(forwarded(action), (Cause::Elsewhere, Search::Home(0)));
}

/// If reports stop for a while, for example because of a stalled connection, the backend
/// server still holds its flows and must get their segments.
#[test]
fn a_backend_server_that_reports_again_gets_its_segments() {
    let (mut agent, roster) = agent_and_roster();
    let key = flow_homed_elsewhere(&roster);
    open(NOW, &mut agent, &roster, key, FIRST_SEQUENCE);
    let ended = agent.record_absence(NOW.after(8_000)).len();
    assert_eq!(ended, 1);

    let later = NOW.after(8_100);
    agent.report(later, report(2));

    let known = arrival(request(key, FIRST_SEQUENCE + 1), Search::Known, 1);
    let action = agent.handle_caller_segment(later, &routing(1), &roster, &known);
    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
}

/// A few late reports must not end flows.
#[test]
fn flows_continue_while_some_reports_are_missing() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);

    // Three and a half report intervals of one second, and one stalled connection.
    let ended = (1..=20).flat_map(|tick| agent.tick(NOW.after(tick * 200))).count();

    assert_eq!(ended, 0);
}

/// A report of another writer with a service that nobody configured must not end the flows
/// of the backend server.
#[test]
fn a_report_of_an_unknown_service_replaces_nothing() {
    let (agent, _) = agent_and_roster();
    let foreign = Report {
        id: "i-2".into(),
        service: "unknown".into(),
        started_ms: Some(9_000),
        ..report(1)
    };
    let replacement = Report { service: INVOICES.into(), ..foreign.clone() };

    assert!(agent.is_foreign(&routing(1), &foreign));
    assert!(!agent.is_foreign(&routing(1), &replacement));
    // There is no configuration yet.
    assert!(!agent.is_foreign(&Routing::default(), &foreign));
}

/// An agent that lagged behind chose the service of an opening again by its older configuration,
/// but stated the newer version of the balancer. Another agent that lagged behind believed it,
/// and the backend server of the old service ran the request.
#[test]
fn an_opening_is_passed_on_by_the_newest_configuration_that_is_known() {
    let forwarded_by = |own: u64, stated: u64| {
        let (mut agent, roster) = agent_and_roster();
        agent.report(NOW, Report { is_draining: true, ..report(2) });
        let segment = opening(flow(1), 0);
        let mut arrival = arrival(segment, Search::Open, stated);
        arrival.service = Some(INVOICES.into());
        let mut routing = routing(own);
        routing.routes[0].split[0].service = CALENDAR.into();
        let mut roster = roster;
        for number in 2..=3 {
            let mut heartbeat = agent_heartbeat(2, "a", Stage::Ready, 0);
            if let Some(status) = &mut heartbeat.backend_status {
                status.service = INVOICES.into();
            }
            let recorded =
                roster.record_heartbeat(NOW, agent_address(number), &heartbeat);
            recorded.expect("a later heartbeat");
        }
        match agent.handle_caller_segment(NOW, &routing, &roster, &arrival) {
            Action::Forward { forwarding, service, .. } => {
                (forwarding.version, service.map(|service| service.to_string()))
            }
            other => panic!("{other:?}"),
        }
    };

    assert_eq!(forwarded_by(1, 2), (2, Some(INVOICES.to_string())));
    assert_eq!(forwarded_by(2, 1), (2, Some(CALENDAR.to_string())));
}
