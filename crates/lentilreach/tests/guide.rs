//! The way of an opening packet from agent to agent.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lentilreach::connection::directory::{Directory, Way};
use lentilreach::connection::flow;
use lentilreach::connection::guide::{Guide, Step};
use lentilreach::connection::open::{Limits, Outcome, Table};
use lentilreach::id::service;
use lentilreach::process::clock::Millis;
use lentilreach::request::envelope::{Forward, HOME};

/// Agents of the fixture, by the last part of their address.
struct Agents(Vec<(Table, Directory)>);

impl Agents {
    /// Agents with so many open flows each, and a reported mean far below.
    fn new(open: &[u16]) -> Self {
        let limits = Limits { flows: 100, cold_flows: 100, half_open_ms: 5_000 };
        let agents = open.iter().map(|open| {
            let mut table = Table::new(limits);
            for port in 0..*open {
                table.offer(Millis(0), key(10_000 + port), 0);
            }
            (table, Directory::default())
        });
        Self(agents.collect())
    }

    /// Takes a packet from agent to agent; returns who delivered it, and the visits.
    fn walk(
        &mut self,
        now: u64,
        flow: flow::Key,
        forward: Forward,
    ) -> (Option<u8>, usize) {
        let mut at = forward.home.map_or(0, number);
        let mut forward = forward;
        for visits in 1.. {
            assert!(visits < 20, "the packet goes round in a loop");
            match self.step(now, at, flow, forward) {
                Step::Deliver { outcome, tell } => {
                    if let Some(home) = tell {
                        let directory = &mut self.0[usize::from(number(home))].1;
                        directory.settle(Millis(now), flow, agent(at));
                    }
                    let taken = matches!(outcome, Outcome::Admit | Outcome::Known);
                    return (taken.then_some(at), visits);
                }
                Step::Send { to, forward: next, .. } => {
                    at = number(to);
                    forward = next;
                }
                Step::Drop => return (None, visits),
            }
        }
        unreachable!("the loop returns")
    }

    /// The step of one agent.
    fn step(&mut self, now: u64, at: u8, flow: flow::Key, forward: Forward) -> Step {
        let (flows, directory) = &mut self.0[usize::from(at)];
        let mut guide = Guide { me: agent(at), serves: true, flows, directory };
        guide.step(Millis(now), flow, forward)
    }
}

/// An agent's address.
fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 4433)
}

/// The number of an agent.
fn number(agent: SocketAddrV4) -> u8 {
    agent.ip().octets()[3]
}

/// A flow.
fn key(port: u16) -> flow::Key {
    flow::Key::new(SocketAddr::from(([192, 0, 2, 1], port)), b"first id")
}

/// An opening packet as a balancer sends it.
fn opening(home: u8, candidates: &[u8]) -> Forward {
    Forward {
        service: service::Id(1),
        address: SocketAddr::from(([192, 0, 2, 9], 443)),
        caller: SocketAddr::from(([192, 0, 2, 1], 1)),
        balancer: SocketAddr::from(([10, 0, 1, 1], 1)),
        mean: Some(10),
        home: Some(agent(home)),
        fewest: None,
        returned: false,
        position: HOME,
        candidates: candidates.iter().map(|number| agent(*number)).collect(),
    }
}

/// Guards against two agents that answer copies of one opening packet, which two balancers
/// with different reports of load sent on: the caller's handshake breaks off then.
#[test]
fn copies_reach_the_agent_that_took_the_flow() {
    let mut agents = Agents::new(&[5, 5, 5, 5]);
    let (first, _) = agents.walk(0, key(1), opening(3, &[0, 1, 2]));

    let (copy, _) = agents.walk(2_000, key(1), opening(3, &[2, 1, 0]));

    assert!(first.is_some());
    assert_eq!(copy, first);
}

/// Guards against a client hello in two datagrams whose second one is dropped or takes
/// another way while the first is still under way.
#[test]
fn second_datagram_follows_the_first() {
    let mut directory = Directory::default();
    let first = directory.look(Millis(0), key(1), &[agent(0), agent(1)]);

    let second = directory.look(Millis(1), key(1), &[agent(1), agent(0)]);

    assert_eq!(second, first);
    assert_eq!(first, Way::Candidates([agent(0), agent(1)].into()));
}

/// Guards against a flow that is never opened, since its first candidate died with the
/// packet.
#[test]
fn later_copy_takes_the_new_candidates() {
    let mut directory = Directory::default();
    directory.look(Millis(0), key(1), &[agent(0)]);

    let later = directory.look(Millis(1_000), key(1), &[agent(1)]);

    assert_eq!(later, Way::Candidates([agent(1)].into()));
}

/// Guards against a burst in which all agents are ahead of an old mean and flows end at the
/// candidate that the balancer likes least, however many flows it has.
#[test]
fn fewest_open_flows_win_when_all_are_ahead() {
    for candidates in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut agents = Agents::new(&[40, 30, 50, 45]);

        let (taker, _) = agents.walk(0, key(1), opening(0, &candidates));

        let open = |at: u8| agents.0[usize::from(at)].0.open();
        let taker = taker.expect("nobody is full");
        assert!(open(taker) <= 41, "taken by {taker} with {} open flows", open(taker));
    }
}

/// Guards against a loop between the agent that hands back and one that is draining, and
/// against a refusal while a candidate has room.
#[test]
fn handing_back_to_a_draining_agent_ends() {
    let mut agents = Agents::new(&[30, 40, 50]);
    let forward = opening(0, &[0, 1, 2]);
    let Step::Send { forward, .. } = agents.step(0, 0, key(1), forward) else {
        panic!("the first is ahead of the mean")
    };
    agents.0[0].0.set_leaving(true);
    let rest = Forward { home: Some(agent(1)), ..forward };

    let (taker, visits) = agents.walk(0, key(1), rest);

    assert!(taker.is_some_and(|taker| taker != 0), "taken by {taker:?}");
    assert!(visits <= 6);
}
