//! Tests of what an agent delivers around the end of a backend server, when another instance
//! or another service takes over its address.

mod fixture;

use fixture::{
    ADDRESS_REUSE_MS, COLD_LIMIT, FIRST_SEQUENCE, INVOICES, NOW, REPORT_MS, accept,
    agent, agent_and_roster, arrival, cold_agent, flow, from_backend, open, opening,
    report, request, routing,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::{Action, Agent, Cause};
use lentilreach_steer::process::backend::{Change, Report};
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
    assert!(!agent.is_foreign(&Routing::default(), &foreign));
    agent.report(NOW, foreign.clone());
    agent.confirm_service(&routing(1));
    let flags = Flags { acknowledge: true, ..Flags::default() };
    let answer = from_backend(flow(1), flags, FIRST_SEQUENCE);
    agent.handle_backend_segment(NOW, &routing(1), &roster, &answer);
    let (_, ended) = agent.report(NOW.after(100), report(30));

    assert_eq!(ended, []);
    assert!(!agent.knows_all_flows());
    assert!(new().is_foreign(&routing(1), &foreign));
}

/// What an agent does with a request on the flow of port 1.
fn ask(now: Millis, agent: &mut Agent, roster: &Roster) -> Action {
    let known = arrival(request(flow(1), FIRST_SEQUENCE + 1), Search::Known, 1);
    agent.handle_caller_segment(now, &routing(1), roster, &known)
}

/// A single report of another writer ended all open flows of a living backend server, and made
/// all its later reports outdated.
#[test]
fn a_single_report_of_another_instance_ends_no_flow() {
    let (mut agent, roster) = agent_and_roster();
    open(NOW, &mut agent, &roster, flow(1), FIRST_SEQUENCE);

    let (_, at_once) = agent.report(NOW.after(200), restarted());
    let meanwhile = ask(NOW.after(300), &mut agent, &roster);
    let mut ended = Vec::new();
    for number in 1..=5 {
        let now = NOW.after(number * REPORT_MS);
        ended.extend(agent.report(now, report(number + 1)).1);
        ended.extend(agent.tick(now));
    }
    let later = NOW.after(5 * REPORT_MS + 10);
    let afterwards = ask(later, &mut agent, &roster);
    let opened = offer(later, &mut agent, &roster, 2, 0);

    assert_eq!((at_once, ended), (vec![], vec![]));
    assert!(is_delivered(&meanwhile) && is_delivered(&afterwards), "{afterwards:?}");
    assert!(is_delivered(&opened), "{opened:?}");
    let current = agent.backend().report().map(|report| &*report.id);
    assert_eq!(current, Some("i-1"));
}

/// Home nodes take an agent that knows all flows for proof that others have ended. A report of
/// another writer is no reason to say so.
#[test]
fn a_single_report_of_another_instance_proves_no_end_of_flows() {
    let mut agent = fixture::start_agent(NOW, 1, "a", fixture::limits());
    agent.report(NOW, report(30));
    agent.update_knowledge(NOW, &routing(1));
    let before = agent.knows_all_flows();

    agent.report(NOW.after(200), restarted());
    agent.update_knowledge(NOW.after(200), &routing(1));

    assert!(!before && !agent.knows_all_flows());
}

/// A backend server that has been restarted at once returns segments of earlier flows. Their
/// callers must not wait for its second report.
#[test]
fn flows_end_with_the_first_returned_segment_of_a_replaced_instance() {
    let (mut agent, roster) = agent_and_roster();
    for port in [1, 2] {
        open(NOW, &mut agent, &roster, flow(port), FIRST_SEQUENCE);
    }
    agent.report(NOW.after(200), restarted());

    let action = ask(NOW.after(210), &mut agent, &roster);
    let segment = request(flow(1), FIRST_SEQUENCE + 1);
    let returned = fixture::returned(segment, fixture::mark(&action));
    agent.handle_backend_segment(NOW.after(215), &routing(1), &roster, &returned);
    let ended = agent.tick(NOW.after(400));

    assert_eq!(ended.iter().map(|ended| ended.flow).collect::<Vec<_>>(), [flow(2)]);
}

/// A replacement must not get flows later than before, and no more than a cold backend server
/// bears as long as the cold one may still run.
#[test]
fn a_replacement_gets_flows_at_its_first_report() {
    let (mut agent, roster) = agent_and_roster();
    let warm = Report { cold_ms: 0, ..restarted() };
    agent.report(NOW.after(200), warm.clone());
    let first = offer(NOW.after(210), &mut agent, &roster, 1, 0);

    let mut cold = cold_agent();
    cold.confirm_service(&routing(1));
    cold.report(NOW.after(200), warm);
    let offers = (1..=4 * COLD_LIMIT as u16)
        .map(|port| is_delivered(&offer(NOW.after(1_400), &mut cold, &roster, port, 0)));

    assert!(is_delivered(&first), "{first:?}");
    assert!(offers.filter(|is_delivered| *is_delivered).count() <= COLD_LIMIT);
}

/// A report with a start time in the future, once it is believed, made every later report of
/// the backend server outdated.
#[test]
fn a_start_time_in_the_future_does_not_end_the_reports() {
    let mut agent = fixture::start_agent(NOW, 1, "a", fixture::limits());
    let roster = fixture::roster(NOW, 6, &["a", "b"]);
    agent.report(NOW, Report { started_ms: Some(u64::MAX), ..report(30) });

    for number in 1..=3 {
        agent.report(NOW.after(number * REPORT_MS), report(30 + number));
    }

    let later = NOW.after(3 * REPORT_MS + 10);
    assert!(is_delivered(&offer(later, &mut agent, &roster, 1, 0)));
}

/// Reports of an earlier instance that were delayed must not bring it back while the present
/// one reports.
#[test]
fn delayed_reports_of_an_earlier_instance_bring_it_back_no_more() {
    let (mut agent, _) = agent_and_roster();
    agent.report(NOW.after(200), restarted());

    for (after_ms, delayed) in [(300, 2), (310, 3), (320, 4)] {
        let (change, _) = agent.report(NOW.after(after_ms), report(delayed));
        assert_eq!(change, Change::Outdated);
    }
    agent.report(NOW.after(200 + REPORT_MS), Report { sequence: 2, ..restarted() });
    let (change, _) = agent.report(NOW.after(300 + REPORT_MS), report(5));

    assert_eq!(change, Change::Outdated);
}

/// A report of another service, from a writer who is no backend server, made the agent give
/// openings of that service to the backend server of its own one.
#[test]
fn another_service_can_not_claim_the_address_of_a_running_backend_server() {
    let (mut agent, roster) = agent_and_roster();

    assert!(agent.is_premature(NOW.after(200), &other_service()));
    let doubtful = offer(NOW.after(210), &mut agent, &roster, 1, 0);
    agent.record_life(NOW.after(220));
    let confirmed = offer(NOW.after(230), &mut agent, &roster, 2, 0);

    assert!(!is_delivered(&doubtful), "{doubtful:?}");
    assert!(is_delivered(&confirmed), "{confirmed:?}");
    assert!(!agent.is_premature(NOW.after(230 + ADDRESS_REUSE_MS), &other_service()));
}

/// While a VM is suspended, the clock of its processes doesn't advance. A backend server of
/// another service that has the address since must not be ignored for long.
#[test]
fn a_second_claim_of_the_address_is_believed() {
    let (mut agent, _) = agent_and_roster();

    assert!(agent.is_premature(NOW.after(200), &other_service()));
    assert!(!agent.is_premature(NOW.after(200 + REPORT_MS), &other_service()));
}
