//! Tests of requests on open flows that wait for the backend server like openings.

mod fixture;

use fixture::{
    FIRST_SEQUENCE, NOW, REPORT_MS, agent_and_roster, arrival, flow, from_backend,
    invoices, open_by, opening, report, request,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Action, Agent, Arrival, Cause, Release};
use lentilreach_steer::process::backend::Report;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::Search;
use lentilreach_steer::request::segment::{Flags, Segment};
use lentilreach_steer::version::routing::Routing;

/// Number of requests that the backend server of the tests is given at once: its five slots
/// and half of them.
const LIMIT: u16 = 7;

/// A port of flows whose requests take all slots.
const BUSY_PORT: u16 = 100;

/// Time after which callers give up a request, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// The address of a route to the calendar service that is less urgent than the other one.
fn less_urgent() -> std::net::SocketAddrV4 {
    invoices()
}

/// A flow of the less urgent route.
fn less_urgent_flow(port: u16) -> flow::Key {
    flow::Key { service: less_urgent(), ..flow(port) }
}

/// A routing with an urgent and a less urgent route to the calendar service.
fn contended_routing() -> Routing {
    let mut routing = fixture::routing(1);
    for route in &mut routing.routes {
        route.deadline_ms = Some(DEADLINE_MS);
        route.split[0].service = fixture::CALENDAR.into();
        route.priority = if route.address == less_urgent() { 2 } else { 1 };
    }
    routing
}

/// An agent whose backend server has open flows, and requests on as many as it is given at
/// once.
fn busy_agent(flows: &[flow::Key]) -> (Agent, Roster) {
    let (mut agent, roster) = agent_and_roster();
    let routing = contended_routing();
    for (index, key) in flows.iter().enumerate() {
        // What was expected of the flow before has passed.
        let now = Millis(NOW.0 - 400 * (flows.len() - index) as u64);
        open_by(now, &routing, &mut agent, &roster, *key, FIRST_SEQUENCE);
    }
    let idle = NOW.after(400);
    agent.report(idle, report(2));
    for port in BUSY_PORT..BUSY_PORT + LIMIT {
        open_by(idle, &routing, &mut agent, &roster, flow(port), FIRST_SEQUENCE);
        let action = offer(&mut agent, &roster, idle, request_on(flow(port)));
        assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
    }
    (agent, roster)
}

/// The time at which the slots are taken.
fn later() -> Millis {
    NOW.after(401)
}

/// The first request on an open flow.
fn request_on(flow: flow::Key) -> Segment {
    request(flow, FIRST_SEQUENCE + 1)
}

/// Lets an agent decide on a segment, which it takes over if it has to wait.
fn offer(agent: &mut Agent, roster: &Roster, now: Millis, segment: Segment) -> Action {
    let routing = contended_routing();
    let search = if segment.is_opening() { Search::Open } else { Search::Known };
    let arrival = arrival(segment, search, 1);
    let action = agent.handle_caller_segment(now, &routing, roster, &arrival);
    if matches!(action, Action::Hold { .. }) {
        agent.hold(now, &routing, arrival, bytes_of(&segment));
    }
    action
}

/// Bytes that stand for a segment.
fn bytes_of(segment: &Segment) -> Vec<u8> {
    segment.sequence.to_be_bytes().repeat(usize::from(segment.length).div_ceil(4))
}

/// Lets the backend server answer the request of a flow.
fn answer(agent: &mut Agent, roster: &Roster, now: Millis, flow: flow::Key) {
    let flags = Flags { acknowledge: true, ..Flags::default() };
    let segment = from_backend(flow, flags, FIRST_SEQUENCE + 1);
    let answer = Segment { length: 500, ..segment };
    agent.handle_backend_segment(now, &contended_routing(), roster, &answer);
}

/// Everything that an agent releases.
fn releases(agent: &mut Agent, roster: &Roster, now: Millis) -> Vec<Release> {
    let routing = contended_routing();
    std::iter::from_fn(|| agent.release(now, &routing, roster)).collect()
}

/// The flows of releases that were delivered.
fn delivered(releases: &[Release]) -> Vec<flow::Key> {
    let is_delivered =
        |release: &&Release| matches!(release.action, Action::Deliver { .. });
    let delivered = releases.iter().filter(is_delivered);
    delivered.map(|release| release.waiting.arrival.segment.flow_from_caller()).collect()
}

/// Requests on open flows must not pass more urgent openings that wait for the same slots.
#[test]
fn an_urgent_opening_goes_before_requests_on_open_flows() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);

    let held = offer(&mut agent, &roster, later(), request_on(watch));
    let opened = offer(&mut agent, &roster, later(), opening(flow(2), 0));
    answer(&mut agent, &roster, later(), flow(BUSY_PORT));
    let first = releases(&mut agent, &roster, later());
    answer(&mut agent, &roster, later(), flow(BUSY_PORT + 1));
    let second = releases(&mut agent, &roster, later());

    assert!(matches!(held, Action::Hold { notify: None }), "{held:?}");
    assert!(matches!(opened, Action::Hold { notify: Some(_) }), "{opened:?}");
    assert_eq!(delivered(&first), [flow(2)]);
    assert_eq!(delivered(&second), [watch]);
}

/// Without contention, and where the configuration doesn't distinguish requests, nothing is
/// held.
#[test]
fn nothing_waits_while_slots_are_free_or_all_are_alike() {
    let (mut idle, roster) = agent_and_roster();
    let key = less_urgent_flow(1);
    open_by(NOW, &contended_routing(), &mut idle, &roster, key, FIRST_SEQUENCE);
    let free = offer(&mut idle, &roster, later(), request_on(less_urgent_flow(1)));

    let (mut busy, roster) = busy_agent(&[flow(1)]);
    let alike = arrival(request_on(flow(1)), Search::Known, 1);
    let alike =
        busy.handle_caller_segment(later(), &fixture::routing(1), &roster, &alike);

    assert!(matches!(free, Action::Deliver { .. }), "{free:?}");
    assert!(matches!(alike, Action::Deliver { .. }), "{alike:?}");
}

/// The parts of a request must reach the backend server once, in order and unchanged,
/// although they arrive twice and in another order.
#[test]
fn parts_of_a_request_are_delivered_once_and_in_order() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    let first = request_on(watch);
    let second = Segment { sequence: first.sequence + 100, ..first };

    for segment in [second, first, second, first] {
        let action = offer(&mut agent, &roster, later(), segment);
        assert!(matches!(action, Action::Hold { .. }), "{action:?}");
    }
    let acknowledgement = Segment { length: 0, ..first };
    let passed = offer(&mut agent, &roster, later(), acknowledgement);
    answer(&mut agent, &roster, later(), flow(BUSY_PORT));
    let releases = releases(&mut agent, &roster, later());

    assert!(matches!(passed, Action::Deliver { .. }), "{passed:?}");
    let segments: Vec<_> =
        releases.iter().map(|release| release.waiting.arrival.segment).collect();
    assert_eq!(segments, [first, second]);
    assert!(releases.iter().all(|release| {
        release.waiting.bytes == bytes_of(&release.waiting.arrival.segment)
    }));
    assert_eq!(delivered(&releases).len(), 2);
}

/// A request whose caller has given up must not take a slot from others. A caller that only
/// closes its direction repeats the request, which must be delivered then.
#[test]
fn a_request_is_discarded_when_its_caller_closes() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    let request = request_on(watch);
    offer(&mut agent, &roster, later(), request);

    let flags = Flags { close: true, ..request.flags };
    let close = Segment { sequence: request.sequence + 100, length: 0, flags, ..request };
    let closed = offer(&mut agent, &roster, later(), close);
    answer(&mut agent, &roster, later(), flow(BUSY_PORT));
    let releases = releases(&mut agent, &roster, later());
    let repeated = offer(&mut agent, &roster, later().after(200), request);

    assert!(matches!(closed, Action::Deliver { .. }), "{closed:?}");
    assert!(releases.is_empty(), "{releases:?}");
    assert!(matches!(repeated, Action::Deliver { .. }), "{repeated:?}");
}

/// A request that waits too long must never end its flow: another one may follow.
#[test]
fn a_request_is_left_out_when_its_caller_gives_up_and_its_flow_stays_open() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    offer(&mut agent, &roster, later(), request_on(watch));

    let given_up = later().after(DEADLINE_MS + 1);
    let releases = releases(&mut agent, &roster, given_up);
    for port in BUSY_PORT..BUSY_PORT + LIMIT {
        answer(&mut agent, &roster, given_up, flow(port));
    }
    let next = Segment { sequence: 101, ..request_on(watch) };
    let action = offer(&mut agent, &roster, given_up, next);

    let actions: Vec<_> = releases.into_iter().map(|release| release.action).collect();
    assert_eq!(actions, [Action::Drop(Cause::GivenUp)]);
    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
}

/// What waits of a flow must not be delivered after its caller has reset it.
#[test]
fn a_reset_of_the_caller_discards_what_waits() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    offer(&mut agent, &roster, later(), request_on(watch));

    let flags = Flags { reset: true, ..Flags::default() };
    let reset = Segment { length: 0, flags, ..request_on(watch) };
    let action = offer(&mut agent, &roster, later(), reset);
    answer(&mut agent, &roster, later(), flow(BUSY_PORT));

    assert!(matches!(action, Action::Deliver { .. }), "{action:?}");
    assert!(releases(&mut agent, &roster, later()).is_empty());
}

/// When an agent stops, or its backend server drains, no request on an open flow may be
/// lost or handed to another backend server.
#[test]
fn requests_stay_with_their_backend_server_when_it_leaves() {
    let watch = less_urgent_flow(1);
    for is_agent_stopping in [true, false] {
        let (mut agent, roster) = busy_agent(&[watch]);
        offer(&mut agent, &roster, later(), request_on(watch));

        if is_agent_stopping {
            agent.stop();
        } else {
            agent.report(later(), Report { is_draining: true, ..report(3) });
            answer(&mut agent, &roster, later(), flow(BUSY_PORT));
        }
        let releases = releases(&mut agent, &roster, later());

        assert_eq!(delivered(&releases), [watch], "{is_agent_stopping}");
    }
}

/// When the backend server has been replaced, its flows are lost, and what waits of them
/// must not reach the new one.
#[test]
fn a_replaced_backend_server_gets_no_request_of_the_one_before() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    offer(&mut agent, &roster, later(), request_on(watch));

    let replacement = Report { id: "i-2".into(), started_ms: Some(2_000), ..report(1) };
    let next = Report { sequence: 2, ..replacement.clone() };
    agent.report(later().after(600), replacement);
    let early = releases(&mut agent, &roster, later().after(600));
    let confirmed = later().after(600 + REPORT_MS);
    let (_, ended) = agent.report(confirmed, next);

    assert!(early.is_empty(), "{early:?}");
    assert!(ended.iter().any(|ended| ended.flow == watch), "{ended:?}");
    assert!(releases(&mut agent, &roster, confirmed).is_empty());
}

/// A route that the configuration drops must not keep a request from the backend server
/// that its flow is open at.
#[test]
fn a_request_is_delivered_after_its_route_was_dropped() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    offer(&mut agent, &roster, later(), request_on(watch));
    let mut routing = contended_routing();
    routing.version = 2;
    routing.routes.retain(|route| route.address != less_urgent());

    agent.routing_changed(&contended_routing(), &routing);
    answer(&mut agent, &roster, later(), flow(BUSY_PORT));
    let release = agent.release(later(), &routing, &roster).expect("a free slot");

    assert!(matches!(release.action, Action::Deliver { .. }), "{release:?}");
}

/// A flood of requests must not take more memory than stated: beyond the bound they are
/// delivered at once.
#[test]
fn a_flood_of_requests_takes_bounded_memory() {
    let flows: Vec<_> = (1..=50).map(less_urgent_flow).collect();
    let (mut agent, roster) = busy_agent(&flows);

    let mut held = 0;
    for key in &flows {
        for part in 0..40 {
            let first = request_on(*key);
            let sequence = first.sequence + part * 1_200;
            let segment = Segment { sequence, length: 1_200, ..first };
            let action = offer(&mut agent, &roster, later(), segment);
            held += usize::from(matches!(action, Action::Hold { .. }));
        }
    }

    // 16 segments of each flow, and a megabyte of all.
    assert!(held <= 16 * flows.len(), "{held}");
    assert!(held * 1_200 <= 1 << 20, "{held}");
    assert!(held >= 700, "{held}");
}

/// After a restart the agent knows neither slots nor requests, so it must not hold what it
/// can't judge.
#[test]
fn an_agent_without_a_report_holds_nothing() {
    let (_, roster) = agent_and_roster();
    let limits = fixture::limits();
    let mut agent = fixture::start_agent(NOW, 1, "a", limits);

    let requests = (1..=20).map(|port| request_on(less_urgent_flow(port)));
    let actions: Vec<_> =
        requests.map(|segment| offer(&mut agent, &roster, NOW, segment)).collect();

    let is_delivered = |action: &Action| matches!(action, Action::Deliver { .. });
    assert!(actions.iter().all(is_delivered), "{actions:?}");
}

/// An arrival of a known flow keeps its balancer's knowledge; any other tells it where the
/// flow is.
#[test]
fn a_balancer_that_searched_learns_where_the_request_waits() {
    let watch = less_urgent_flow(1);
    let (mut agent, roster) = busy_agent(&[watch]);
    let arrival: Arrival = arrival(request_on(watch), Search::Indexed, 1);

    let action =
        agent.handle_caller_segment(later(), &contended_routing(), &roster, &arrival);

    assert_eq!(action, Action::Hold { notify: Some(fixture::balancer_address(1)) });
}
