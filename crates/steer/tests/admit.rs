//! Tests of how an agent admits openings: which it delivers, lets wait, hands on or refuses.

mod fixture;

use fixture::{
    COLD_LIMIT, FIRST_SEQUENCE, NOW, accept, agent_and_roster, arrival, bounds,
    cold_agent, flow, forwarded, from_backend, limits, open, opening, report, request,
    roster, routing, start_agent,
};
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Action, Agent, Arrival, Cause, Limits};
use lentilreach_steer::process::backend::record::EARLY_REPORTS;
use lentilreach_steer::process::backend::{Bounds, Refusal, Report};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::{Search, Stage};
use lentilreach_steer::request::segment::{Flags, Segment};
use lentilreach_steer::version::routing::Routing;

/// Lets an agent decide on an opening, which it takes over if it has to wait. Returns
/// whether it waits, or the other action.
fn offer(agent: &mut Agent, roster: &Roster, arrival: &Arrival) -> Result<(), Action> {
    let routing = routing(1);
    match agent.handle_caller_segment(NOW, &routing, roster, arrival) {
        Action::Hold { .. } => {
            agent.hold(NOW, &routing, arrival.clone(), Vec::new());
            Ok(())
        }
        action => Err(action),
    }
}

/// With a burst of openings from all balancers, those beyond the limit of a cold backend
/// server wait or are refused, and none is delivered early.
#[test]
fn a_burst_waits_for_a_cold_backend_server() {
    let mut agent = cold_agent();
    let alone = roster(NOW, 1, &["a"]);
    let routing = routing(1);

    let mut delivered = 0;
    let mut held = Vec::new();
    let mut refused = 0;
    for port in 1..=20 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        match offer(&mut agent, &alone, &arrival) {
            Ok(()) => held.push(arrival),
            Err(Action::Deliver { .. }) => delivered += 1,
            Err(Action::Refuse { cause: Cause::Admission(Refusal::Cold), .. }) => {
                refused += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }

    assert_eq!((delivered, held.len(), refused), (COLD_LIMIT, COLD_LIMIT, 10));
    // A retransmission of a waiting opening must not be delivered before it.
    let copy = opening(held[0].segment.flow_from_caller(), 1);
    let copy = arrival(copy, Search::Open, 1);
    let action = agent.handle_caller_segment(NOW.after(200), &routing, &alone, &copy);
    assert_eq!(action, Action::Drop(Cause::Held));
    assert_eq!(agent.release(NOW.after(900), &routing, &alone), None);
    let due = agent.next_release(NOW.after(900), &routing).expect("openings wait");
    let released: Vec<_> =
        (0..20).map_while(|_| agent.release(due, &routing, &alone)).collect();
    assert_eq!(released.len(), COLD_LIMIT);
    for release in released {
        let action = &release.action;
        assert!(matches!(action, Action::Deliver { is_new: true, .. }), "{action:?}");
    }
}

/// An agent that had started while the store was away knew no rate of the service, and gave a
/// cold backend server whatever balancers sent. Whatever the rate is, the slack is allowed.
#[test]
fn a_cold_backend_server_is_limited_without_a_configuration() {
    let alone = roster(NOW, 1, &["a"]);
    let unstated = Bounds { limits_zero_rate: false, ..bounds() };
    let offered = |routing: &Routing| {
        let limits = Limits { bounds: unstated, ..limits() };
        let mut agent = start_agent(NOW, 1, "a", limits);
        agent.record_absence(NOW);
        agent.report(NOW, Report { cold_ms: 5_000, ..report(EARLY_REPORTS + 1) });
        let stage = agent.backend_status(NOW, routing, 1).map(|status| status.stage);
        let mut delivered = 0;
        for port in 1..=20 {
            let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
            let action = agent.handle_caller_segment(NOW, routing, &alone, &arrival);
            delivered += usize::from(matches!(action, Action::Deliver { .. }));
        }
        (delivered, stage)
    };
    let mut without_service = routing(1);
    without_service.services.remove(0);

    assert_eq!(offered(&Routing::default()), (COLD_LIMIT, Some(Stage::Cold)));
    assert_eq!(offered(&without_service), (COLD_LIMIT, Some(Stage::Cold)));
    // The configuration states no rate.
    let (delivered, stage) = offered(&routing(1));
    assert!(delivered > COLD_LIMIT);
    assert_eq!(stage, Some(Stage::Ready));
}

/// A backend server that starts to drain must not get an opening that waited for it.
#[test]
fn a_waiting_opening_is_not_delivered_after_a_drain() {
    let mut agent = cold_agent();
    let alone = roster(NOW, 1, &["a"]);
    for port in 1..=6 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        let is_waiting = offer(&mut agent, &alone, &arrival).is_ok();
        assert_eq!(is_waiting, port == 6);
    }
    let later = NOW.after(100);
    agent.report(later, Report { is_draining: true, ..report(2) });

    let release =
        agent.release(later, &routing(1), &alone).expect("the sixth one waited");

    let action = release.action;
    assert!(matches!(action, Action::Refuse { cause: Cause::Held, .. }), "{action:?}");
    assert_eq!(agent.release(later, &routing(1), &alone), None);
}

/// Openings that wait must not be refused at once while another agent has room, and must
/// not be delivered beyond what the backend server takes.
#[test]
fn a_busy_agent_offers_openings_elsewhere() {
    let (mut agent, roster) = agent_and_roster();
    let limit = 7;

    let mut offered = 0;
    for port in 1..=40 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        match offer(&mut agent, &roster, &arrival) {
            Err(Action::Deliver { .. }) => assert!(port <= limit, "{port}"),
            Ok(()) => assert!(port > limit, "{port}"),
            Err(Action::Forward { cause, .. }) => {
                assert_eq!(cause, Cause::Admission(Refusal::Busy));
                offered += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }

    assert!(offered > 0);
}

/// Opens a flow at an agent and closes it from both sides.
fn open_and_close(agent: &mut Agent, roster: &Roster, key: flow::Key) {
    open(NOW, agent, roster, key, FIRST_SEQUENCE);
    let close = Flags { acknowledge: true, close: true, ..Flags::default() };
    let segment = from_backend(key, close, FIRST_SEQUENCE + 1);
    agent.handle_backend_segment(NOW, &routing(1), roster, &segment);
}

/// A caller that uses a port again opens a new flow. It must not be taken for a copy of the
/// opening before, which would reach a backend server that is draining.
#[test]
fn a_port_that_is_used_again_opens_a_new_flow() {
    let (mut agent, roster) = agent_and_roster();
    open_and_close(&mut agent, &roster, flow(1));
    open(NOW, &mut agent, &roster, flow(2), FIRST_SEQUENCE);
    agent.report(NOW, Report { is_draining: true, ..report(2) });

    for key in [flow(1), flow(2)] {
        let again = Segment { sequence: 900, ..opening(key, 0) };
        let arrival = arrival(again, Search::Open, 1);
        let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival);

        assert_eq!(forwarded(action).0, Cause::Admission(Refusal::Draining));
    }
}

/// A copy of an opening that was delivered must be delivered as well, even if the backend
/// server has begun to drain: the first one may have been lost.
#[test]
fn a_copy_of_a_delivered_opening_is_delivered() {
    let (mut agent, roster) = agent_and_roster();
    let first = arrival(opening(flow(1), 0), Search::Open, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &first);
    agent.report(NOW, Report { is_draining: true, ..report(2) });

    let copy = arrival(opening(flow(1), 1), Search::Open, 1);
    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &copy);

    assert!(matches!(action, Action::Deliver { is_new: false, .. }), "{action:?}");
}

/// During a planned stop, a flow that was just accepted must still get its answer.
#[test]
fn an_agent_is_not_idle_before_accepted_flows_are_answered() {
    let (mut agent, roster) = agent_and_roster();
    let first = arrival(opening(flow(1), 0), Search::Open, 1);
    agent.handle_caller_segment(NOW, &routing(1), &roster, &first);
    agent.handle_backend_segment(
        NOW,
        &routing(1),
        &roster,
        &accept(flow(1), FIRST_SEQUENCE),
    );
    agent.stop();
    assert!(!agent.is_idle(NOW.after(5)));

    let known = arrival(request(flow(1), FIRST_SEQUENCE + 1), Search::Known, 1);
    agent.handle_caller_segment(NOW.after(10), &routing(1), &roster, &known);
    assert!(!agent.is_idle(NOW.after(1_000)));

    let flags = Flags { acknowledge: true, ..Flags::default() };
    let answer =
        Segment { length: 9, ..from_backend(flow(1), flags, FIRST_SEQUENCE + 1) };
    agent.handle_backend_segment(NOW.after(1_000), &routing(1), &roster, &answer);
    assert!(agent.is_idle(NOW.after(1_000)));
}

/// Openings that wait when an agent is told to stop must be offered to others at once.
#[test]
fn a_stopping_agent_hands_on_its_waiting_openings() {
    let (mut agent, roster) = agent_and_roster();
    for port in 1..=12 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        let _ = offer(&mut agent, &roster, &arrival);
    }
    assert!(!agent.is_idle(NOW.after(400)));

    agent.stop();
    let released: Vec<_> =
        std::iter::from_fn(|| agent.release(NOW, &routing(1), &roster)).collect();

    assert_eq!(released.len(), 5);
    for release in released {
        let action = &release.action;
        assert!(matches!(action, Action::Forward { .. }), "{action:?}");
    }
    assert!(agent.is_idle(NOW.after(400)));
}

/// An opening that waited must not be delivered by an older configuration than one that was
/// delivered meanwhile.
#[test]
fn a_waiting_opening_does_not_follow_an_older_configuration() {
    let (mut agent, roster) = agent_and_roster();
    for port in 1..=8 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        let _ = offer(&mut agent, &roster, &arrival);
    }
    let newer = arrival(opening(flow(9), 0), Search::Open, 2);
    let action = agent.handle_caller_segment(NOW.after(5), &routing(1), &roster, &newer);
    assert!(matches!(action, Action::Hold { .. }), "{action:?}");
    agent.hold(NOW.after(5), &routing(1), newer.clone(), Vec::new());
    let close = |agent: &mut Agent, port| {
        let reset = Flags { reset: true, ..Flags::default() };
        let segment = from_backend(flow(port), reset, FIRST_SEQUENCE);
        agent.handle_backend_segment(NOW, &routing(1), &roster, &segment);
    };

    // The latest one waits with the newer configuration and goes first.
    close(&mut agent, 1);
    close(&mut agent, 2);
    let later = NOW.after(10);
    let released: Vec<_> =
        std::iter::from_fn(|| agent.release(later, &routing(1), &roster)).collect();

    let flows: Vec<_> =
        released.iter().map(|r| r.waiting.arrival.segment.flow_from_caller()).collect();
    assert_eq!(flows.len(), 2, "{flows:?}");
    for release in &released {
        let is_newer = release.waiting.arrival == newer;
        let is_delivered = matches!(release.action, Action::Deliver { .. });
        assert_eq!(is_delivered, is_newer, "{:?}", release.action);
    }
}
