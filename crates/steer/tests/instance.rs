//! Tests of what an agent delivers around the end of a backend server, when another instance
//! or another service takes over its address.

mod fixture;

use fixture::{
    ADDRESS_REUSE_MS, COLD_LIMIT, FIRST_SEQUENCE, INVOICES, NOW, accept, agent,
    agent_and_roster, arrival, cold_agent, flow, from_backend, open, opening, report,
    routing,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::{Action, Agent, Cause};
use lentilreach_steer::process::backend::Report;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::Search;
use lentilreach_steer::request::segment::Flags;
use lentilreach_steer::version::routing::Routing;

/// What an agent does with the copy of an opening with a certain number, or with the
/// opening itself.
fn offer(
    now: Millis,
    agent: &mut Agent,
    roster: &Roster,
    port: u16,
    copy: u32,
) -> Action {
    let mut segment = opening(flow(port), copy);
    segment.sequence = 1;
    let arrival = arrival(segment, Search::Open, 1);
    agent.handle_caller_segment(now, &routing(1), roster, &arrival)
}

/// Whether a segment is delivered to the backend server.
fn is_delivered(action: &Action) -> bool {
    matches!(action, Action::Deliver { .. })
}

/// The first report of a backend server of another service at the same address.
fn other_service() -> Report {
    let (id, service) = ("i-2".into(), INVOICES.into());
    Report { id, service, started_ms: Some(9_000), ..report(1) }
}

/// The first report of the same backend server after a restart; it is cold.
fn restarted() -> Report {
    Report { id: "i-2".into(), started_ms: Some(9_000), cold_ms: 2_000, ..report(1) }
}

/// A non-idempotent request ran at another service: a copy of its opening was delivered
/// without any check because the first one had been.
#[test]
fn a_copy_of_an_opening_is_not_delivered_to_another_service() {
    let (mut agent, roster) = agent_and_roster();
    let given = [1, 2].map(|port| offer(NOW.after(50), &mut agent, &roster, port, 0));
    agent.report(NOW.after(200), other_service());

    let copy = offer(NOW.after(250), &mut agent, &roster, 1, 1);
    let late_copy = offer(NOW.after(650), &mut agent, &roster, 2, 2);

    assert!(given.iter().all(is_delivered));
    assert!(!is_delivered(&copy) && !is_delivered(&late_copy), "{copy:?} {late_copy:?}");
}

/// A copy of the opening of a flow that ended with its backend server must not open another
/// one at the next instance.
#[test]
fn a_copy_of_the_opening_of_a_lost_flow_is_dropped() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);
    agent.report(NOW.after(200), restarted());

    let mut copy = opening(flow(1), 1);
    copy.sequence = opening(flow(1), 0).sequence;
    let copy = arrival(copy, Search::Open, 1);
    let action = agent.handle_caller_segment(NOW.after(250), &routing(1), &roster, &copy);

    assert_eq!(action, Action::Drop(Cause::Lost));
}

/// An agent that believes its backend server to run for longer than its address stays
/// unused gives openings to another service.
#[test]
fn no_opening_is_delivered_once_the_address_may_be_used_again() {
    let reused = NOW.after(ADDRESS_REUSE_MS);
    let offered_at = |now, is_heard: bool| {
        let (mut agent, roster) = agent_and_roster();
        if is_heard {
            agent.record_life(NOW.after(1_000));
        }
        is_delivered(&offer(now, &mut agent, &roster, 1, 0))
    };

    assert!(offered_at(NOW.after(1_500), false));
    assert!(!offered_at(reused, false));
    // Segments show that it runs, as reports do.
    assert!(offered_at(reused, true));
    assert!(!offered_at(reused.after(1_000), true));
}

/// A copy of an opening that the backend server has accepted is not delivered once another
/// service may have taken over the address.
#[test]
fn no_copy_of_an_accepted_opening_follows_once_the_address_may_be_used_again() {
    let copy_at = |now: Millis| {
        let (mut agent, roster) = agent_and_roster();
        let given = NOW.after(1_700);
        assert!(is_delivered(&offer(given, &mut agent, &roster, 1, 0)));
        let accepted = accept(flow(1), FIRST_SEQUENCE);
        agent.handle_backend_segment(given, &routing(1), &roster, &accepted);
        is_delivered(&offer(now, &mut agent, &roster, 1, 1))
    };

    assert!(copy_at(NOW.after(1_850)));
    assert!(!copy_at(NOW.after(ADDRESS_REUSE_MS)));
}

/// A report that waited in the socket of a paused agent shows that the backend server ran
/// before the pause.
#[test]
fn a_report_that_waited_does_not_show_that_the_backend_server_runs() {
    let (mut agent, roster) = agent_and_roster();
    let now = NOW.after(4_000);
    agent.report(now, Report { delay_ms: 4_000, ..report(2) });

    let delayed = offer(now, &mut agent, &roster, 1, 0);
    agent.report(now.after(100), report(3));
    let current = offer(now.after(100), &mut agent, &roster, 1, 0);

    assert!(!is_delivered(&delayed), "{delayed:?}");
    assert!(is_delivered(&current), "{current:?}");
}

/// A backend server that is back after a crash is cold. It got copies of openings that its
/// previous instance had been given beyond its limit.
#[test]
fn copies_count_towards_the_limit_of_a_cold_backend_server() {
    let mut agent = agent(NOW, 1, "a");
    let roster = fixture::roster(NOW, 1, &["a"]);
    let ports = 1..=4 * COLD_LIMIT as u16;
    let mut delivered = 0;
    for port in ports.clone() {
        let first = offer(NOW.after(50), &mut agent, &roster, port, 0);
        delivered += usize::from(is_delivered(&first));
    }
    let back = NOW.after(1_200);
    agent.report(back, restarted());

    let copies = ports.filter(|port| {
        is_delivered(&offer(back.after(10), &mut agent, &roster, *port, 2))
    });

    assert!(delivered > 0);
    assert!(copies.count() <= COLD_LIMIT);
}

/// The first opening may have been lost on its way, so a copy is the first that the backend
/// server gets. Copies of accepted ones are not counted.
#[test]
fn a_cold_backend_server_gets_no_uncounted_copies() {
    let mut agent = cold_agent();
    let roster = fixture::roster(NOW, 1, &["a"]);
    for port in 1..=COLD_LIMIT as u16 {
        assert!(is_delivered(&offer(NOW, &mut agent, &roster, port, 0)));
    }
    let accepted = accept(flow(1), FIRST_SEQUENCE);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &accepted);

    let copy_of_accepted = offer(NOW.after(200), &mut agent, &roster, 1, 1);
    let other_copy = offer(NOW.after(200), &mut agent, &roster, 2, 1);

    assert!(is_delivered(&copy_of_accepted));
    assert!(matches!(other_copy, Action::Drop(Cause::Admission(_))), "{other_copy:?}");
}

/// A report of another writer was accepted by an agent that had just been restarted. With
/// the next report of the backend server itself, all flows seemed to belong to an instance
/// that had been replaced, and were reset.
#[test]
fn a_report_of_another_writer_ends_no_flow() {
    let foreign = Report {
        id: "i-9".into(),
        service: "unbekannt".into(),
        started_ms: None,
        ..report(5)
    };
    let roster = fixture::roster(NOW, 6, &["a", "b"]);
    let new = || fixture::start_agent(NOW, 1, "a", fixture::limits());

    // Before the configuration is known, the report can't be told from a valid one.
    let mut agent = new();
    assert!(!agent.is_foreign(NOW, &Routing::default(), &foreign));
    agent.report(NOW, foreign.clone());
    agent.confirm_service(&routing(1));
    let flags = Flags { acknowledge: true, ..Flags::default() };
    let answer = from_backend(flow(1), flags, FIRST_SEQUENCE);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);
    let (_, ended) = agent.report(NOW.after(100), report(30));

    assert_eq!(ended, []);
    assert!(!agent.knows_all_flows());
    assert!(new().is_foreign(NOW, &routing(1), &foreign));
}
