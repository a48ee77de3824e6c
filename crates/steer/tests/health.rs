//! Tests of the detection of backend servers that reset their flows.

mod fixture;

use fixture::{
    CALENDAR, FIRST_SEQUENCE, NOW, agent_address, agent_and_roster, agent_heartbeat,
    flow, from_backend, open, roster, routing,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::Agent;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::process::schedule::health::Health;
use lentilreach_steer::request::message::Stage;
use lentilreach_steer::request::placement::{Request, choose_agent};
use lentilreach_steer::request::segment::Flags;

/// Records a number of flows that ended in the second before `now`.
fn end_flows(health: &mut Health, now: Millis, closes: u32, resets: u32) {
    (0..closes).for_each(|_| health.record_end(false));
    (0..closes).for_each(|_| health.record_answer());
    (0..resets).for_each(|_| health.record_end(true));
    health.tick(now);
}

/// A few resets are normal and must not take a backend server out.
#[test]
fn some_resets_are_no_failure() {
    let mut health = Health::default();

    end_flows(&mut health, NOW, 0, 3);
    assert!(!health.is_failing(NOW));

    end_flows(&mut health, NOW.after(1_000), 20, 10);
    assert!(!health.is_failing(NOW.after(1_000)));
}

/// A backend server that fails again each time it is tried must be tried less often, and
/// one that has recovered must not be punished for long ago.
#[test]
fn a_failing_backend_server_is_avoided_for_longer_each_time() {
    let mut health = Health::default();
    end_flows(&mut health, NOW, 0, 10);
    assert!(health.is_failing(NOW.after(1_999)));
    assert!(!health.is_failing(NOW.after(2_000)));

    end_flows(&mut health, NOW.after(3_000), 0, 10);
    assert!(health.is_failing(NOW.after(6_999)));
    assert!(!health.is_failing(NOW.after(7_000)));

    end_flows(&mut health, NOW.after(8_000), 10, 0);
    end_flows(&mut health, NOW.after(9_000), 0, 10);
    assert!(!health.is_failing(NOW.after(11_000)));
}

/// A backend server that leaves a part of its requests unanswered is as bad as one that
/// resets them.
#[test]
fn unanswered_requests_are_a_failure() {
    let mut health = Health::default();
    (0..20).for_each(|_| health.record_answer());
    health.record_unanswered(3);
    health.tick(NOW);
    assert!(!health.is_failing(NOW));

    (0..20).for_each(|_| health.record_answer());
    health.record_unanswered(7);
    health.tick(NOW.after(1_000));
    assert!(health.is_failing(NOW.after(1_000)));
}

/// Opens flows at an agent and lets its backend server reset them.
fn open_and_reset(agent: &mut Agent, roster: &Roster, flows: u16) {
    for port in 1..=flows {
        open(NOW, agent, roster, flow(port), FIRST_SEQUENCE);
        let flags = Flags { reset: true, ..Flags::default() };
        let reset = from_backend(flow(port), flags, FIRST_SEQUENCE + 1);
        agent.handle_backend_segment(NOW, &routing(1), roster, &reset);
    }
}

/// An agent must tell balancers that its backend server resets flows.
#[test]
fn an_agent_reports_that_its_backend_server_fails() {
    let (mut agent, roster) = agent_and_roster();
    let status = agent.backend_status(NOW, &routing(1), 1).expect("a report");
    assert!(!status.is_failing);

    open_and_reset(&mut agent, &roster, 6);
    agent.tick(NOW.after(200));

    let status = agent.backend_status(NOW.after(200), &routing(1), 1).expect("a report");
    assert!(status.is_failing);
}

/// A failing backend server seems to have no load, and must get no flows because of that.
/// If many fail, the others could not serve the flows of all of them.
#[test]
fn failing_agents_are_avoided_unless_they_are_many() {
    let chosen = |failing: u8| {
        let mut roster = roster(NOW, 6, &["a"]);
        for number in 1..=6 {
            let is_failing = number <= failing;
            let open = if is_failing { 0 } else { 20 };
            let mut heartbeat = agent_heartbeat(2, "a", Stage::Ready, open);
            let status = heartbeat.backend_status.as_mut().expect("a status");
            status.is_failing = is_failing;
            roster
                .record_heartbeat(NOW, agent_address(number), &heartbeat)
                .expect("a later heartbeat");
        }
        let key = flow(1);
        let request = Request { flow: &key, service: CALENDAR, domain: "a" };
        choose_agent(NOW, &routing(1), &roster, request, &[]).expect("an agent")
    };

    assert!(chosen(2) > agent_address(2));
    assert!(chosen(3) <= agent_address(3));
}
