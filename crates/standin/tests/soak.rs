//! The soak's schedule and its verdict. Each promise has a record that breaks it and one that
//! doesn't.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lentilreach_standin::soak::layout::{self, SERVICES};
use lentilreach_standin::soak::record::{Event, Fact, Scope};
use lentilreach_standin::soak::schedule::{self, Action, CALM_END_MS, Node, Size, Step};
use lentilreach_standin::soak::verdict::{
    self, EVACUATED_MS, IN_FORCE_MS, Promise, Window,
};
use lentilreach_steer::connection::flow;

/// A window with enough answered requests in every record of [`events`].
const WINDOW: Window = Window { from_ms: 100_000, to_ms: 110_000 };

/// Sizes of the default run.
const SIZE: Size = Size { balancers: 4, agents: 8 };

/// A flow to the first or second address.
fn flow(address: usize) -> flow::Key {
    let caller = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 9), 10_000);
    flow::Key { caller, service: layout::routes()[address] }
}

/// The address of a balancer.
fn balancer() -> SocketAddr {
    layout::callers(Ipv4Addr::new(127, 0, 0, 1))
}

/// A configuration in which the second address leads to a service.
fn configured(version: u64, service: &'static str) -> Fact {
    let [first, second, _] = layout::routes();
    Fact::Configured {
        version,
        routes: vec![(first, vec!["abo"]), (second, vec![service])],
    }
}

/// A fault of the store begins or ends.
fn store_fault(begins: bool) -> Fact {
    Fact::Fault { what: "store".into(), scope: Scope::Store, begins }
}

/// Events in which servers 1 to 3 of the three services run, followed by the given ones, and
/// by an answered request in the window.
fn events(facts: &[(u64, Fact)]) -> Vec<Event> {
    let mut events = vec![Event { at_ms: 0, fact: configured(1, "kasse") }];
    for (server, service) in (1..).zip(SERVICES) {
        let fact = Fact::Started { server, number: server as u8, service };
        events.push(Event { at_ms: 0, fact });
    }
    events.extend(facts.iter().cloned().map(|(at_ms, fact)| Event { at_ms, fact }));
    let at_ms = WINDOW.from_ms;
    let (flow, request) = (flow(0), u64::MAX);
    events.push(Event { at_ms, fact: Fact::Sent { flow, request } });
    events.push(Event { at_ms, fact: Fact::Answered { flow, request } });
    events
}

/// The broken promises of a record with their times.
fn broken(facts: &[(u64, Fact)]) -> Vec<(u64, Promise)> {
    let violations = verdict::judge(&events(facts), WINDOW);
    violations.into_iter().map(|violation| (violation.at_ms, violation.promise)).collect()
}

/// An opening of a flow that a server accepts.
fn opening(at_ms: u64, server: u32, flow: flow::Key) -> [(u64, Fact); 3] {
    [
        (at_ms, Fact::Opening { flow, via: balancer() }),
        (at_ms, Fact::Accepted { server, flow }),
        (at_ms, Fact::Opened { flow, server }),
    ]
}

/// Guards against resets of living flows that go unnoticed, and against blame for resets that
/// are right.
#[test]
fn reset_of_a_living_flow_is_a_violation() {
    let flow = flow(0);
    let open = opening(10, 1, flow);
    let reset = (30, Fact::Reset { flow, from: balancer() });
    let with = |fact| [&open[..], &[(20, fact), reset.clone()]].concat();

    assert_eq!(
        broken(&[&open[..], std::slice::from_ref(&reset)].concat()),
        [(30, Promise::Flow)]
    );
    // Another server's reset is no excuse, nor is the end of another server.
    assert_eq!(
        broken(&with(Fact::ServerReset { server: 2, flow })),
        [(30, Promise::Flow)]
    );
    assert_eq!(broken(&with(Fact::Ended { server: 2 })), [(30, Promise::Flow)]);
    assert_eq!(broken(&with(Fact::ServerReset { server: 1, flow })), []);
    assert_eq!(broken(&with(Fact::Ended { server: 1 })), []);
    assert_eq!(broken(&with(Fact::Closed { flow })), []);
}

/// Guards against segments for another service that go unnoticed.
#[test]
fn segment_for_another_service_is_a_violation() {
    let delivered = |server, address| {
        broken(&[(10, Fact::Delivered { server, flow: flow(address) })])
    };

    assert_eq!(delivered(2, 0), [(10, Promise::Service)]);
    assert_eq!(delivered(1, 1), [(10, Promise::Service)]);
    assert_eq!(delivered(1, 0), []);
    assert_eq!(delivered(2, 1), []);
    // The opening is checked as well, and is not in force either.
    let accepted = broken(&opening(10, 3, flow(0)));
    assert_eq!(accepted, [(10, Promise::Service), (10, Promise::Config)]);
}

/// Guards against answers at other callers that go unnoticed.
#[test]
fn answer_at_another_caller_is_a_violation() {
    let stray = Fact::Strayed { flow: flow(0), from: balancer(), caller: balancer() };

    assert_eq!(broken(&[(10, stray)]), [(10, Promise::Answer)]);
}

/// Guards against requests that run twice, at one server or at two.
#[test]
fn request_that_runs_twice_is_a_violation() {
    let ran = |server, request| Fact::Ran { server, flow: flow(0), request };

    assert_eq!(broken(&[(10, ran(1, 5)), (20, ran(1, 6))]), []);
    assert_eq!(broken(&[(10, ran(1, 5)), (20, ran(1, 5))]), [(20, Promise::Once)]);
    assert_eq!(
        broken(&[(10, ran(1, 5)), (20, ran(1, 6)), (30, ran(2, 5))]),
        [(30, Promise::Once)]
    );
}

/// Guards against new flows of a draining server that go unnoticed after 3 s.
#[test]
fn new_flow_of_a_draining_server_is_a_violation() {
    let drain = (1_000, Fact::Draining { server: 1 });
    let opened = |at_ms| {
        broken(&[std::slice::from_ref(&drain), &opening(at_ms, 1, flow(0))].concat())
    };

    assert_eq!(opened(1_000 + IN_FORCE_MS), []);
    assert_eq!(opened(1_001 + IN_FORCE_MS), [(1_001 + IN_FORCE_MS, Promise::Drain)]);
}

/// Guards against configurations that come into force late, and against processes that go
/// back to an earlier one.
#[test]
fn late_or_former_configuration_is_a_violation() {
    let changed = (1_000, configured(2, "kasse-neu"));
    let opened = |at_ms, server| {
        broken(
            &[std::slice::from_ref(&changed), &opening(at_ms, server, flow(1))].concat(),
        )
    };

    assert_eq!(opened(1_000 + IN_FORCE_MS - 1, 2), []);
    assert_eq!(opened(1_000 + IN_FORCE_MS, 2), [(4_000, Promise::Config)]);
    assert_eq!(opened(60_000, 2), [(60_000, Promise::Config)]);
    assert_eq!(opened(1_001, 3), []);
    assert_eq!(opened(60_000, 3), []);
}

/// Guards against blame for a change that the store couldn't tell, and against an excuse that
/// lasts after its end.
#[test]
fn configuration_waits_for_the_store() {
    let opened = |at_ms, scope: Scope| {
        let fault = |begins| match store_fault(begins) {
            Fact::Fault { what, begins, .. } => Fact::Fault { what, scope, begins },
            other => other,
        };
        let facts = [
            (500, fault(true)),
            (1_000, configured(2, "kasse-neu")),
            (5_000, fault(false)),
        ];
        broken(&[&facts[..], &opening(at_ms, 2, flow(1))].concat())
    };

    for scope in [Scope::Store, Scope::Balancer(balancer()), Scope::Agent(2)] {
        assert_eq!(opened(7_999, scope), [], "{scope:?}");
        assert_eq!(opened(8_000, scope), [(8_000, Promise::Config)], "{scope:?}");
    }
    // Faults of processes that the flow doesn't meet excuse nothing.
    assert_eq!(opened(4_000, Scope::Agent(1)), [(4_000, Promise::Config)]);
    // What is in force stays so through a later fault.
    let facts = [(1_000, configured(2, "kasse-neu")), (4_000, store_fault(true))];
    assert_eq!(
        broken(&[&facts[..], &opening(9_000, 2, flow(1))].concat()),
        [(9_000, Promise::Config)]
    );
}

/// Guards against a deployment that serves no more after the faults.
#[test]
fn unanswered_requests_at_the_end_are_a_violation() {
    let (flow, at_ms) = (flow(0), WINDOW.from_ms);
    let sent = |request| (at_ms, Fact::Sent { flow, request });
    let requests: Vec<_> = (0..98).map(sent).collect();
    let answers = (0..98).map(|request| (at_ms + 10, Fact::Answered { flow, request }));
    let most: Vec<_> = requests.iter().cloned().chain(answers).collect();

    // Of 99, 99, 100 and 101 requests: one more is in every record.
    assert_eq!(broken(&requests), [(at_ms, Promise::Recovery)]);
    assert_eq!(broken(&most), []);
    assert_eq!(broken(&[&most[..], &[sent(98)]].concat()), []);
    let refused = (at_ms, Fact::NotOpened { flow });
    assert_eq!(
        broken(&[&most[..], &[sent(98), refused]].concat()),
        [(at_ms, Promise::Recovery)]
    );
    // A run without any request shows nothing.
    assert_eq!(
        verdict::judge(&[], WINDOW).first().map(|violation| violation.promise),
        Some(Promise::Recovery)
    );
}

/// A failure domain that is out of service must get no new flow after 5 s, unless the store had
/// a fault meanwhile, and may get some once it is back.
#[test]
fn a_new_flow_in_an_evacuated_domain_is_a_violation() {
    let (server, number) = (1, 1);
    let domain = layout::domain(number);
    let out = |is_out| Fact::Evacuated { domain, is_out };
    let accepted = Fact::Accepted { server, flow: flow(0) };
    let until = |at_ms| [(1_000, out(true)), (at_ms, accepted.clone())];

    assert_eq!(broken(&until(1_000 + EVACUATED_MS)), []);
    assert_eq!(broken(&until(1_001 + EVACUATED_MS)), [(6_001, Promise::Evacuation)]);
    let back = [(1_000, out(true)), (8_000, out(false)), (9_000, accepted.clone())];
    assert_eq!(broken(&back), []);
    let fault = [
        (1_000, out(true)),
        (3_000, store_fault(true)),
        (4_000, store_fault(false)),
        (8_999, accepted.clone()),
        (9_001, accepted.clone()),
    ];
    assert_eq!(broken(&fault), [(9_001, Promise::Evacuation)]);
}

/// Guards against schedules that depend on anything but the seed and the size.
#[test]
fn schedule_follows_from_the_seed() {
    let drawn = schedule::draw(7, 60, SIZE);

    assert_eq!(schedule::draw(7, 60, SIZE), drawn);
    assert_ne!(schedule::draw(8, 60, SIZE), drawn);
    let lines: Vec<_> = drawn.iter().map(Step::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against faults in the time for recovery, against two faults of one process at a time,
/// and against schedules without the cases that the soak is for.
#[test]
fn schedules_are_well_formed() {
    let is_agent_pause =
        |step: &&Step| matches!(step.action, Action::Pause(Node::Agent(_), _));
    for seed in 0..200 {
        let steps = schedule::draw(seed, 60, SIZE);
        let end_ms = 60_000 - CALM_END_MS;
        let mut pauses: Vec<(Node, u64, u64)> = Vec::new();
        for step in &steps {
            if let Action::Pause(node, ms) | Action::Kill(node, ms) = step.action {
                let is_double = |(other, from, until): &(Node, u64, u64)| {
                    *other == node && *from <= step.at_ms + ms && *until >= step.at_ms
                };
                assert!(step.at_ms + ms <= end_ms, "seed {seed}: {step}");
                assert!(!pauses.iter().any(is_double), "seed {seed}: {step}");
                pauses.push((node, step.at_ms, step.at_ms + ms));
            }
        }
        assert!(steps.iter().filter(is_agent_pause).count() > 0, "seed {seed}");
    }
}

/// Guards against a schedule in a run that is too short for recovery.
#[test]
fn short_runs_are_calm() {
    assert_eq!(schedule::draw(1, 12, SIZE), []);
}
