//! The choice of agents: placing, homes and the order of a walk.

mod fixture;

use fixture::{
    CALENDAR, INVOICES, agent_address, agent_heartbeat, flow, roster, routing,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::Stage;
use lentilreach_steer::request::placement::{
    self, Request, choose_agent, choose_share, homes,
};
use lentilreach_steer::version::routing::{Route, Share};

const NOW: Millis = Millis(10_000);

/// Guards against a walk that asks first where a flow hardly is: backend servers of other
/// services, and far ones.
#[test]
fn agents_of_the_service_and_the_domain_are_asked_first() {
    let mut roster = roster(NOW, 6, &["a", "b"]);
    let mut other = agent_heartbeat(2, "a", Stage::Ready, 0);
    other.offer.as_mut().expect("an offer").service = INVOICES.into();
    roster.record_heartbeat(NOW, agent_address(1), &other).expect("a later beat");

    let mut order: Vec<_> = (1..=6).map(agent_address).collect();
    placement::sort_by_likelihood(&routing(1), &roster, &flow(1), "a", &mut order);

    let near = [3, 5].map(agent_address);
    assert!(order[..2].iter().all(|agent| near.contains(agent)), "{order:?}");
    assert_eq!(order[5], agent_address(1));
}

/// Guards against homes that depend on the order in which members were heard.
#[test]
fn homes_are_the_same_at_all_nodes() {
    let forward = roster(NOW, 8, &["a", "b"]);
    let mut backward = Roster::new();
    for number in (1..=8).rev() {
        let heartbeat = agent_heartbeat(3, "a", Stage::Closed, 9);
        backward
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a first beat");
    }

    for port in 1..100 {
        let found = homes(&forward, &flow(port));

        assert_eq!(found, homes(&backward, &flow(port)));
        assert!(found[0].is_some() && found[1].is_some() && found[0] != found[1]);
    }
}

/// Guards against homes that move while other members come and go: at most the flows of the
/// lost home may get another first home.
#[test]
fn a_lost_member_moves_only_its_own_homes() {
    let before = roster(NOW, 8, &["a", "b"]);
    let mut after = roster(NOW, 8, &["a", "b"]);
    after.remove(agent_address(5));

    for port in 1..200 {
        let [first, second] = homes(&before, &flow(port));
        let expected = if first == Some(agent_address(5)) { second } else { first };
        assert_eq!(homes(&after, &flow(port))[0], expected);
    }
}

/// Guards against bytes between failure domains for flows that the own one can take.
#[test]
fn the_own_domain_comes_first_until_it_is_overloaded() {
    let mut roster = roster(NOW, 6, &["a", "b", "c"]);
    let key = flow(1);
    let request = Request { flow: &key, service: CALENDAR, domain: "b" };
    let domain_of = |roster: &Roster| {
        let agent = choose_agent(&routing(1), roster, request, &[]).expect("an agent");
        roster.get(agent).expect("a member").domain.to_string()
    };
    assert_eq!(domain_of(&roster), "b");

    for number in [2, 5] {
        let heartbeat = agent_heartbeat(2, "b", Stage::Ready, 60);
        roster
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a later beat");
    }

    assert_ne!(domain_of(&roster), "b");
}

/// Guards against flows to agents that may not or cannot take them.
#[test]
fn unfit_agents_get_no_flow() {
    let mut roster = roster(NOW, 4, &["a", "b", "c", "d"]);
    let mut routing = routing(1);
    routing.out = vec!["a".into()];
    let closed = agent_heartbeat(2, "b", Stage::Closed, 0);
    roster.record_heartbeat(NOW, agent_address(2), &closed).expect("a later beat");
    let cold = agent_heartbeat(2, "c", Stage::Cold, 0);
    roster.record_heartbeat(NOW, agent_address(3), &cold).expect("a later beat");

    let key = flow(1);
    let request = Request { flow: &key, service: CALENDAR, domain: "a" };
    let tried = [agent_address(4)];

    // The one in "a" is out, the second closed, and a warm one goes before a cold one.
    assert_eq!(choose_agent(&routing, &roster, request, &[]), Some(agent_address(4)));
    assert_eq!(choose_agent(&routing, &roster, request, &tried), Some(agent_address(3)));
    let tried = [agent_address(4), agent_address(3)];
    assert_eq!(choose_agent(&routing, &roster, request, &tried), None);
}

/// Guards against flows that pile up at one agent between its beats.
#[test]
fn flows_placed_since_the_last_beat_count() {
    let mut roster = roster(NOW, 4, &["a"]);

    for port in 0..40 {
        let key = flow(port);
        let request = Request { flow: &key, service: CALENDAR, domain: "a" };
        let agent = choose_agent(&routing(1), &roster, request, &[]).expect("an agent");
        roster.record_placement(agent);
    }

    let placed: Vec<_> = roster.agents().map(|member| member.placed).collect();
    assert_eq!(placed, [10, 10, 10, 10]);
}

/// Guards against a crowd at the least loaded agent: all balancers of its failure domain place
/// flows there until its next beat.
#[test]
fn flows_that_other_balancers_place_count() {
    let mut roster = Roster::new();
    for (number, open) in [(1, 0), (2, 20)] {
        let mut heartbeat = agent_heartbeat(1, "a", Stage::Ready, open);
        heartbeat.offer.as_mut().expect("an offer").balancers = 5;
        roster
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a first beat");
    }

    for port in 0..8 {
        let key = flow(port);
        let request = Request { flow: &key, service: CALENDAR, domain: "a" };
        let agent = choose_agent(&routing(1), &roster, request, &[]).expect("an agent");
        roster.record_placement(agent);
    }

    // Five balancers place 40 flows, so that each of the two agents has 30.
    let placed: Vec<_> = roster.agents().map(|member| member.placed).collect();
    assert_eq!(placed, [6, 2]);
}

/// Guards against shares that do not follow the weights, and against a service with weight 0.
#[test]
fn a_split_follows_its_weights() {
    let part = |name: &str, weight| Share { service: name.into(), weight };
    let split = vec![part("a", 90), part("b", 10), part("c", 0)];
    let route = Route { address: fixture::calendar(), split };

    let chosen: Vec<_> =
        (0..10_000).map(|port| choose_share(&route, &flow(port))).collect();

    let count = |name| chosen.iter().filter(|chosen| **chosen == Some(name)).count();
    assert!((8_800..9_200).contains(&count("a")), "{}", count("a"));
    assert_eq!(count("a") + count("b"), 10_000);
}
