//! Tests of when an agent claims to know all flows of its backend server.

mod fixture;

use fixture::{NOW, flow, from_backend, limits, replace, report, roster, routing};
use lentilreach_steer::process::agent::Limits;
use lentilreach_steer::process::backend::Report;
use lentilreach_steer::request::segment::Flags;

/// An agent that was restarted soon after its backend server claimed to know the flows that
/// the process before had delivered, and open flows were reset. Neither the age of a backend
/// server nor its first report shows what an earlier process has delivered.
#[test]
fn a_restarted_agent_claims_no_flows_of_a_young_backend_server() {
    let known = |report: Report, started_ms: u64| {
        let mut agent = fixture::start_agent(NOW, 1, "a", limits());
        let now = NOW.after(started_ms);
        agent.report(now, report);
        agent.update_knowledge(now, &routing(1));
        agent.knows_all_flows()
    };

    assert!(!known(Report { cold_ms: 1_400, ..report(3) }, 100));
    assert!(!known(Report { cold_ms: 1_950, ..report(1) }, 100));
    assert!(!known(Report { cold_ms: 400, ..report(3) }, 100));
    assert!(!known(Report { cold_ms: 1_400, ..report(90) }, 100));
    assert!(!known(report(3), 100));
    // The agent has been running for longer than any flow may be idle.
    assert!(known(report(90), 15_100));
}

/// A backend server that started after its agent has no other flows. Without that claim,
/// flows that ended with their backend server would be searched for.
#[test]
fn an_agent_knows_all_flows_of_a_backend_server_that_started_after_it() {
    let new = || fixture::start_agent(NOW, 1, "a", limits());
    let next = Report { id: "i-2".into(), started_ms: Some(2_000), ..report(4) };

    let mut replaced = new();
    replaced.report(NOW, report(9));
    replaced.confirm_service(&routing(1));
    let knows_before = replaced.knows_all_flows();
    replace(NOW.after(900), &mut replaced, next.clone());
    let mut absent = new();
    absent.record_absence(NOW);
    absent.report(NOW.after(900), next);

    assert!(!knows_before);
    assert!(replaced.knows_all_flows() && absent.knows_all_flows());
}

/// An agent that had evicted flows of the instance before has missed none of the next one
/// only if that was before the next one started.
#[test]
fn an_agent_claims_no_flows_if_some_were_evicted_while_an_instance_was_replaced() {
    let few = Limits { flows: 1, ..limits() };
    let mut agent = fixture::start_agent(NOW, 1, "a", few);
    let roster = roster(NOW, 6, &["a", "b"]);
    agent.record_absence(NOW);
    agent.report(NOW, report(1));
    let flags = Flags { acknowledge: true, ..Flags::default() };
    for port in 1..=2_000 {
        let answer = from_backend(flow(port), flags, 9_000);
        agent.handle_backend_segment(NOW.after(300), &routing(1), &roster, &answer);
    }

    let next = Report { id: "i-2".into(), started_ms: Some(2_000), ..report(1) };
    agent.report(NOW.after(900), next);

    assert!(!agent.knows_all_flows());
}
