//! Tests how an opening packet is passed from agent to agent.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lentilreach::connection::admission::{Limits, Outcome, Table};
use lentilreach::connection::directory::{Destination, Directory};
use lentilreach::connection::flow;
use lentilreach::connection::placement::{Placement, Step};
use lentilreach::id::service;
use lentilreach::process::clock::Millis;
use lentilreach::request::envelope::{Forward, HOME};

/// The agents of the fixture, indexed by the last octet of their address.
struct Agents(Vec<(Table, Directory)>);

impl Agents {
    /// Creates agents with these numbers of open flows, all far above the reported mean.
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

    /// Passes a packet on until an agent delivers or drops it. Returns the agent that admitted
    /// it, if any, and the number of visits.
    fn deliver(
        &mut self,
        now: u64,
        flow: flow::Key,
        forward: Forward,
    ) -> (Option<u8>, usize) {
        let mut at = forward.home.map_or(0, number);
        let mut forward = forward;
        for visits in 1.. {
            assert!(visits < 20, "the packet is passed on in a loop");
            match self.step(now, at, flow, forward) {
                Step::Deliver { outcome, notify_home } => {
                    if let Some(home) = notify_home {
                        let directory = &mut self.0[usize::from(number(home))].1;
                        directory.record_admitted(Millis(now), flow, agent(at));
                    }
                    let admitted = matches!(outcome, Outcome::Admit | Outcome::Known);
                    return (admitted.then_some(at), visits);
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

    /// Decides on a packet at one agent.
    fn step(&mut self, now: u64, at: u8, flow: flow::Key, forward: Forward) -> Step {
        let (flows, directory) = &mut self.0[usize::from(at)];
        let mut placement =
            Placement { own_address: agent(at), serves: true, flows, directory };
        placement.step(Millis(now), flow, forward)
    }
}

/// An agent's address.
fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 4433)
}

/// The index of an agent.
fn number(agent: SocketAddrV4) -> u8 {
    agent.ip().octets()[3]
}

/// The key of a flow.
fn key(port: u16) -> flow::Key {
    flow::Key::new(SocketAddr::from(([192, 0, 2, 1], port)), b"first id")
}

/// The header of an opening packet as sent by a balancer.
fn opening(home: u8, candidates: &[u8]) -> Forward {
    Forward {
        service: service::Id(1),
        address: SocketAddr::from(([192, 0, 2, 9], 443)),
        caller: SocketAddr::from(([192, 0, 2, 1], 1)),
        balancer: SocketAddr::from(([10, 0, 1, 1], 1)),
        mean: Some(10),
        home: Some(agent(home)),
        fewest_open: None,
        handed_back: false,
        position: HOME,
        candidates: candidates.iter().map(|number| agent(*number)).collect(),
    }
}

/// Guards against two agents responding to copies of one opening packet, which aborts the
/// caller's handshake. It happens when two balancers with different load reports forward the
/// copies.
#[test]
fn copies_reach_the_agent_that_admitted_the_flow() {
    let mut agents = Agents::new(&[5, 5, 5, 5]);
    let (first, _) = agents.deliver(0, key(1), opening(3, &[0, 1, 2]));

    let (copy, _) = agents.deliver(2_000, key(1), opening(3, &[2, 1, 0]));

    assert!(first.is_some());
    assert_eq!(copy, first);
}

/// Guards against a ClientHello in two datagrams whose second one is dropped or goes to other
/// candidates while the first is still in transit.
#[test]
fn second_datagram_follows_the_first() {
    let mut directory = Directory::default();
    let first = directory.lookup(Millis(0), key(1), &[agent(0), agent(1)]);

    let second = directory.lookup(Millis(1), key(1), &[agent(1), agent(0)]);

    assert_eq!(second, first);
    assert_eq!(first, Destination::Candidates([agent(0), agent(1)].into()));
}

/// Guards against a flow that never opens because its first candidate failed and lost the
/// packet.
#[test]
fn later_copy_goes_to_new_candidates() {
    let mut directory = Directory::default();
    directory.lookup(Millis(0), key(1), &[agent(0)]);

    let later = directory.lookup(Millis(1_000), key(1), &[agent(1)]);

    assert_eq!(later, Destination::Candidates([agent(1)].into()));
}

/// Guards against bursts in which all agents are above an outdated mean and each flow is
/// admitted by the balancer's last choice, however many flows that agent has.
#[test]
fn fewest_open_flows_win_when_all_exceed_mean() {
    for candidates in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut agents = Agents::new(&[40, 30, 50, 45]);

        let (admitted_by, _) = agents.deliver(0, key(1), opening(0, &candidates));

        let open = |at: u8| agents.0[usize::from(at)].0.open();
        let admitted_by = admitted_by.expect("no agent is full");
        assert!(
            open(admitted_by) <= 41,
            "admitted by {admitted_by} with {} open flows",
            open(admitted_by)
        );
    }
}

/// Guards against a loop between the agent that hands a flow back and one that is draining,
/// and against a refusal while a candidate can admit the flow.
#[test]
fn handing_back_to_a_draining_agent_ends() {
    let mut agents = Agents::new(&[30, 40, 50]);
    let forward = opening(0, &[0, 1, 2]);
    let Step::Send { forward, .. } = agents.step(0, 0, key(1), forward) else {
        panic!("the first agent is above the mean")
    };
    agents.0[0].0.set_draining(true);
    let rest = Forward { home: Some(agent(1)), ..forward };

    let (admitted_by, visits) = agents.deliver(0, key(1), rest);

    assert!(
        admitted_by.is_some_and(|admitted_by| admitted_by != 0),
        "admitted by {admitted_by:?}"
    );
    assert!(visits <= 6);
}
