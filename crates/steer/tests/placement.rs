//! Tests of the selection of agents and home nodes, and of the order of a walk.

mod fixture;

use fixture::{
    CALENDAR, INCARNATION, INVOICES, agent_address, agent_heartbeat, flow, roster,
    routing,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::Stage;
use lentilreach_steer::request::placement::{
    self, Request, choose_agent, choose_share, homes,
};
use lentilreach_steer::version::routing::{Route, Share};

const NOW: Millis = Millis(10_000);

/// A walk must first visit agents of the route's services and of the local failure
/// domain, since the others are less likely to hold the flow.
#[test]
fn agents_of_the_service_and_the_domain_are_asked_first() {
    let mut roster = roster(NOW, 6, &["a", "b"]);
    let mut other = agent_heartbeat(2, "a", Stage::Ready, 0);
    other.backend_status.as_mut().expect("a backend status").service = INVOICES.into();
    roster.record_heartbeat(NOW, agent_address(1), &other).expect("a later heartbeat");

    let mut order: Vec<_> = (1..=6).map(agent_address).collect();
    placement::sort_by_likelihood(&routing(1), &roster, &flow(1), "a", &mut order);

    let near = [3, 5].map(agent_address);
    assert!(order[..2].iter().all(|agent| near.contains(agent)), "{order:?}");
    assert_eq!(order[5], agent_address(1));
}

/// Home nodes must not depend on the order in which members were discovered.
#[test]
fn homes_are_the_same_at_all_nodes() {
    let forward = roster(NOW, 8, &["a", "b"]);
    let mut backward = Roster::new();
    for number in (1..=8).rev() {
        let heartbeat = agent_heartbeat(3, "a", Stage::Closed, 9);
        backward
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a first heartbeat");
    }

    for port in 1..100 {
        let found = homes(&forward, &flow(port));

        assert_eq!(found, homes(&backward, &flow(port)));
        assert!(found[0].is_some() && found[1].is_some() && found[0] != found[1]);
    }
}

/// When a member is lost, only flows whose first home node it was may get another one.
#[test]
fn a_lost_member_moves_only_its_own_homes() {
    let before = roster(NOW, 8, &["a", "b"]);
    let mut after = roster(NOW, 8, &["a", "b"]);
    after.remove(agent_address(5), INCARNATION);

    for port in 1..200 {
        let [first, second] = homes(&before, &flow(port));
        let expected = if first == Some(agent_address(5)) { second } else { first };
        assert_eq!(homes(&after, &flow(port))[0], expected);
    }
}

/// Flows must not cause traffic between failure domains as long as the local one has
/// capacity.
#[test]
fn the_local_domain_is_preferred_until_it_is_overloaded() {
    let mut roster = roster(NOW, 6, &["a", "b", "c"]);
    let key = flow(1);
    let request = Request { flow: &key, service: CALENDAR, domain: "b" };
    let domain_of = |roster: &Roster| {
        let agent =
            choose_agent(NOW, &routing(1), roster, request, &[]).expect("an agent");
        roster.get(agent).expect("a member").domain.to_string()
    };
    assert_eq!(domain_of(&roster), "b");

    for number in [2, 5] {
        let heartbeat = agent_heartbeat(2, "b", Stage::Ready, 60);
        roster
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a later heartbeat");
    }

    assert_ne!(domain_of(&roster), "b");
}

/// Agents that can't accept flows must not get any.
#[test]
fn ineligible_agents_get_no_flow() {
    let mut roster = roster(NOW, 4, &["a", "b", "c", "d"]);
    let mut routing = routing(1);
    routing.domains_out = vec!["a".into()];
    let closed = agent_heartbeat(2, "b", Stage::Closed, 0);
    roster.record_heartbeat(NOW, agent_address(2), &closed).expect("a later heartbeat");
    let cold = agent_heartbeat(2, "c", Stage::Cold, 0);
    roster.record_heartbeat(NOW, agent_address(3), &cold).expect("a later heartbeat");

    let key = flow(1);
    let request = Request { flow: &key, service: CALENDAR, domain: "a" };
    let tried = [agent_address(4)];

    // Domain "a" is out of service, agent 2 is closed, and a warm agent is preferred to a
    // cold one.
    assert_eq!(
        choose_agent(NOW, &routing, &roster, request, &[]),
        Some(agent_address(4))
    );
    assert_eq!(
        choose_agent(NOW, &routing, &roster, request, &tried),
        Some(agent_address(3))
    );
    let tried = [agent_address(4), agent_address(3)];
    assert_eq!(choose_agent(NOW, &routing, &roster, request, &tried), None);
}

/// Flows must not accumulate on one agent between two of its heartbeats.
#[test]
fn flows_placed_since_the_last_heartbeat_count() {
    let mut roster = roster(NOW, 4, &["a"]);

    for port in 0..40 {
        let key = flow(port);
        let request = Request { flow: &key, service: CALENDAR, domain: "a" };
        let agent =
            choose_agent(NOW, &routing(1), &roster, request, &[]).expect("an agent");
        roster.record_placement(NOW, agent);
    }

    let loads: Vec<_> = roster.agents().map(|member| member.load(NOW)).collect();
    assert_eq!(loads, [2.0, 2.0, 2.0, 2.0]);
}

/// The load estimate must include flows that the other balancers of a failure domain
/// place on an agent before its next heartbeat.
#[test]
fn flows_that_other_balancers_place_count() {
    let mut roster = Roster::new();
    for (number, open) in [(1, 0), (2, 20)] {
        let mut heartbeat = agent_heartbeat(1, "a", Stage::Ready, open);
        heartbeat.backend_status.as_mut().expect("a backend status").balancers = 5;
        roster
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a first heartbeat");
    }

    for port in 0..8 {
        let key = flow(port);
        let request = Request { flow: &key, service: CALENDAR, domain: "a" };
        let agent =
            choose_agent(NOW, &routing(1), &roster, request, &[]).expect("an agent");
        roster.record_placement(NOW, agent);
    }

    // Five balancers place 40 flows in total, so that each of the two agents has 30
    // flows.
    let loads: Vec<_> = roster.agents().map(|member| member.load(NOW)).collect();
    assert_eq!(loads, [6.0, 6.0]);
}

/// Services are selected in proportion to their weights, and never with weight 0.
#[test]
fn a_split_follows_its_weights() {
    let part = |name: &str, weight| Share { service: name.into(), weight };
    let split = vec![part("a", 90), part("b", 10), part("c", 0)];
    let address = fixture::calendar();
    let route =
        Route { address, split, objective_ms: 200, deadline_ms: None, priority: 1 };

    let chosen: Vec<_> =
        (0..10_000).map(|port| choose_share(&route, &flow(port))).collect();

    let count = |name| chosen.iter().filter(|chosen| **chosen == Some(name)).count();
    assert!((8_800..9_200).contains(&count("a")), "{}", count("a"));
    assert_eq!(count("a") + count("b"), 10_000);
}
