//! Tests of what the store's record of a backend server's instance allows an agent to do, and
//! what it proves.

mod fixture;

use fixture::{
    CALENDAR, FIRST_SEQUENCE, NOW, REPORT_MS, agent_address, agent_heartbeat, arrival,
    flow, flow_homed_here, forwarded, limits, opening, report, request, roster, routing,
    searched, sync_all, sync_status,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::{Action, Agent, Cause};
use lentilreach_steer::process::backend::record::{EARLY_REPORTS, Instance, Record};
use lentilreach_steer::process::backend::{Refusal, Report};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::{Search, Stage, SyncStatus};

/// The report of the instance that started before the one of [`report`].
fn earlier() -> Report {
    Report { id: "i-0".into(), started_ms: Some(900), ..report(70) }
}

/// The record that names the instance of a report.
fn names(report: &Report) -> Record {
    Record::Names(Instance::from(report))
}

/// An agent that has just started and has not written the record of its backend server.
fn starting_agent() -> Agent {
    Agent::new(NOW, agent_address(1), "a".into(), limits())
}

/// An agent whose process found a record and then wrote that of the reported instance.
fn recorded_agent(found: Record, reported: &Report) -> Agent {
    let mut agent = starting_agent();
    agent.report(NOW, reported.clone());
    agent.record_written(NOW, &routing(1), found, names(reported));
    agent
}

/// What an agent does with an opening.
fn open(agent: &mut Agent, roster: &Roster) -> Action {
    open_at(NOW, agent, roster)
}

/// What an agent does with an opening at a time.
fn open_at(now: Millis, agent: &mut Agent, roster: &Roster) -> Action {
    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    agent.handle_caller_segment(now, &routing(1), roster, &arrival)
}

/// An instance that got an opening before the store named it would seem unused to the next
/// process, and its flows would be reset.
#[test]
fn an_instance_gets_no_opening_before_it_is_recorded() {
    let roster = roster(NOW, 6, &["a"]);
    let mut agent = starting_agent();
    agent.report(NOW, report(1));

    let before = open(&mut agent, &roster);
    let stage = agent.backend_status(NOW, &routing(1), 1).map(|status| status.stage);
    agent.record_written(NOW, &routing(1), Record::Empty, names(&report(1)));
    let after = open(&mut agent, &roster);

    assert_eq!(forwarded(before).0, Cause::Admission(Refusal::Unrecorded));
    assert_eq!(stage, Some(Stage::Closed));
    assert!(matches!(after, Action::Deliver { .. }), "{after:?}");
}

/// An instance that replaces a recorded one must not get openings before the record names
/// it.
#[test]
fn a_replaced_instance_is_recorded_again() {
    let roster = roster(NOW, 6, &["a"]);
    let mut agent = recorded_agent(Record::Empty, &earlier());
    agent.report(NOW, report(1));

    let before = open(&mut agent, &roster);
    agent.record_written(NOW, &routing(1), names(&earlier()), names(&report(1)));
    let after = open(&mut agent, &roster);

    assert_eq!(forwarded(before).0, Cause::Admission(Refusal::Unrecorded));
    assert!(matches!(after, Action::Deliver { .. }), "{after:?}");
}

/// Service must not depend on the store: an agent that can't reach it delivers openings to a
/// backend server that runs already once it has reported again, and to one that has just
/// started after a few reports.
#[test]
fn openings_are_delivered_while_the_store_does_not_answer() {
    let roster = roster(NOW, 6, &["a"]);
    let open_after = |reports: std::ops::RangeInclusive<u64>| {
        let mut agent = starting_agent();
        let mut now = NOW;
        for number in reports {
            now = now.after(REPORT_MS);
            agent.report(now, report(number));
        }
        let stage = agent.backend_status(now, &routing(1), 1).map(|status| status.stage);
        (open_at(now, &mut agent, &roster), stage)
    };

    let (running, running_stage) = open_after(EARLY_REPORTS + 1..=EARLY_REPORTS + 2);
    let (early, early_stage) = open_after(1..=EARLY_REPORTS);
    let (started, started_stage) = open_after(1..=EARLY_REPORTS + 1);

    assert!(matches!(running, Action::Deliver { .. }), "{running:?}");
    assert_eq!(running_stage, Some(Stage::Ready));
    assert_eq!(forwarded(early).0, Cause::Admission(Refusal::Unrecorded));
    assert_eq!(early_stage, Some(Stage::Closed));
    assert!(matches!(started, Action::Deliver { .. }), "{started:?}");
    assert_eq!(started_stage, Some(Stage::Ready));
}

/// An agent that had just started took the delayed report of an instance which had ended for that
/// of the present one, and requests ran at another service that had got the address.
#[test]
fn a_delayed_report_of_an_ended_instance_brings_no_openings() {
    let roster = roster(NOW, 6, &["a"]);
    let delayed = Report { sequence: 70, ..earlier() };
    let next = Report { sequence: 71, ..earlier() };
    for found in [names(&report(1)), Record::Unknown] {
        let mut agent = starting_agent();
        agent.report(NOW, delayed.clone());
        if found != Record::Unknown {
            agent.record_written(NOW, &routing(1), found, found);
        }

        let refused = open(&mut agent, &roster);
        let stage = agent.backend_status(NOW, &routing(1), 1).map(|status| status.stage);
        // The instance goes on reporting, so it runs; the clock was set back at its start.
        let later = NOW.after(REPORT_MS);
        agent.report(later, next.clone());
        let delivered = open_at(later, &mut agent, &roster);

        assert_eq!(forwarded(refused).0, Cause::Admission(Refusal::Unknown), "{found:?}");
        assert_eq!(stage, Some(Stage::Closed));
        assert!(matches!(delivered, Action::Deliver { .. }), "{delivered:?}");
    }
}

/// An earlier process may have delivered openings to an instance without a record if the
/// instance had made enough reports. Its flows must not be taken for known.
#[test]
fn an_agent_does_not_know_the_flows_of_an_instance_that_it_heard_late() {
    let knows_all = |first: u64| {
        let mut agent = recorded_agent(names(&earlier()), &report(first));
        agent.report(NOW.after(1_000), report(first + 1));
        agent.update_knowledge(NOW.after(1_000), &routing(1));
        agent.knows_all_flows()
    };

    assert!(knows_all(1) && knows_all(EARLY_REPORTS));
    assert!(!knows_all(EARLY_REPORTS + 1));
}

/// After a loss of power, an agent can't tell whether its backend server started before it.
/// Callers of flows of before waited for their deadlines, until 15 s had passed.
#[test]
fn an_agent_knows_all_flows_of_an_instance_that_no_process_has_used() {
    let agent = recorded_agent(names(&earlier()), &report(1));

    assert!(agent.knows_all_flows());
}

/// The flows of an instance that an earlier process may have used must not be taken for
/// known.
#[test]
fn an_agent_does_not_know_the_flows_of_an_instance_that_may_have_been_used() {
    let unconfigured = Report { service: "unknown".into(), ..report(1) };
    let unknown_start = Report { started_ms: None, ..report(1) };
    for (found, reported) in [
        (names(&report(1)), report(2)),
        (Record::Empty, report(1)),
        (Record::Unknown, report(1)),
        // The report of an earlier instance arrives late.
        (names(&report(1)), earlier()),
        (names(&unknown_start), Report { id: "i-2".into(), ..report(1) }),
        // It may come from another writer.
        (names(&earlier()), unconfigured),
    ] {
        let agent = recorded_agent(found, &reported);

        assert!(!agent.knows_all_flows(), "{found:?}, {reported:?}");
    }
}

/// A later record says what this process has used, and nothing about earlier ones.
#[test]
fn only_the_record_that_was_found_counts() {
    let mut agent = recorded_agent(names(&report(1)), &report(1));

    agent.record_written(NOW, &routing(1), names(&earlier()), names(&report(1)));

    assert!(!agent.knows_all_flows());
}

/// A late report of an earlier instance must not make the real one seem a replacement, whose
/// flows would all be known.
#[test]
fn a_late_report_does_not_make_a_used_instance_seem_new() {
    let mut agent = recorded_agent(names(&report(1)), &earlier());
    agent.confirm_service(&routing(1));

    agent.report(NOW, report(2));

    assert!(!agent.knows_all_flows());
}

/// A flow that was opened between the start of an instance and its first report is in no
/// record. It must not be lost as long as another node remembers it.
#[test]
fn a_flow_that_another_node_expects_is_delivered() {
    let roster = roster(NOW, 6, &["a"]);
    let mut agent = recorded_agent(names(&earlier()), &report(1));
    let mut decide = |search| {
        let arrival = arrival(request(flow(1), FIRST_SEQUENCE), search, 1);
        agent.handle_caller_segment(NOW, &routing(1), &roster, &arrival)
    };

    for search in [Search::Known, Search::Indexed] {
        let action = decide(search);
        assert!(matches!(action, Action::Deliver { .. }), "{search:?}: {action:?}");
    }
    assert_eq!(forwarded(decide(Search::Home(0))).0, Cause::Elsewhere);
}

/// Just after a start, segments of unknown flows walked to all agents whose statements were on
/// their way. They wait for these, and then go on at once.
#[test]
fn a_search_waits_for_the_answers_of_other_agents() {
    let mut roster = roster(NOW, 6, &["a"]);
    let mut agent = recorded_agent(names(&earlier()), &report(1));
    let key = flow_homed_here(&roster);
    let search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
    // Heartbeats that are no answers yet.
    for number in 2..=6 {
        let mut heartbeat = agent_heartbeat(2, "a", Stage::Ready, 0);
        let status = sync_status(&roster, 0);
        heartbeat.sync_status = Some(SyncStatus { answered: 0, ..status });
        roster
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a later heartbeat");
    }

    let first = agent.handle_caller_segment(NOW, &routing(1), &roster, &search);
    let Action::Postpone(arrival) = first else { panic!("{first:?}") };
    agent.postpone(NOW, *arrival, vec![1]);
    let copy = agent.handle_caller_segment(NOW, &routing(1), &roster, &search);
    let early = agent.next_postponed(NOW.after(1), &routing(1), &roster);
    sync_all(NOW, &mut roster, agent_address(1));
    let answered = agent.next_postponed(NOW.after(2), &routing(1), &roster);

    assert_eq!(copy, Action::Drop(Cause::Postponed));
    assert_eq!(early, None);
    let release = answered.expect("all have answered");
    assert_eq!(release.waiting.bytes, [1]);
    let cause = Cause::NotFound;
    assert!(
        matches!(release.action, Action::Refuse { cause: c, .. } if c == cause),
        "{:?}",
        release.action
    );
    assert_eq!(agent.next_postponed(NOW.after(3), &routing(1), &roster), None);
}

/// An agent that doesn't answer must not keep a living flow from being searched for.
#[test]
fn a_search_does_not_wait_long_for_an_agent_without_an_answer() {
    let mut roster = roster(NOW, 6, &["a"]);
    let mut agent = recorded_agent(names(&earlier()), &report(1));
    let key = flow_homed_here(&roster);
    let search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
    sync_all(NOW, &mut roster, agent_address(1));
    let mut silent = agent_heartbeat(9, "a", Stage::Ready, 0);
    silent.sync_status = None;
    silent.incarnation += 1;
    silent.backend_status.as_mut().expect("a status").service = CALENDAR.into();
    roster.record_heartbeat(NOW, agent_address(4), &silent).expect("a later heartbeat");

    let first = agent.handle_caller_segment(NOW, &routing(1), &roster, &search);
    let Action::Postpone(arrival) = first else { panic!("{first:?}") };
    agent.postpone(NOW, *arrival, vec![1]);
    let due = agent.next_release(NOW, &routing(1)).expect("a segment waits");
    let early = agent.next_postponed(Millis(due.0 - 1), &routing(1), &roster);
    let late = agent.next_postponed(due, &routing(1), &roster);

    assert!(due.since(NOW) <= 250);
    assert_eq!(early, None);
    let action = late.map(|release| release.action);
    let Some(Action::Forward { to, forwarding, .. }) = action else {
        panic!("the search goes on")
    };
    assert!(to == agent_address(4) || forwarding.to_visit.contains(&agent_address(4)));
}
