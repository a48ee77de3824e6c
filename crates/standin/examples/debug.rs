//! Trial.
use lentilreach::id::*;
use lentilreach::process::spread::{core::*, entry::*, member::*};
use lentilreach_standin::network::*;
fn node(i: u64, role: Role) -> Node {
    let a = |p: u64| format!("10.0.0.{i}:{p}").parse().unwrap();
    Node {
        id: node::Id(i.wrapping_mul(0x9E3779B97F4A7C15)),
        counter: 0,
        name: format!("n{i}").into(),
        role,
        envelope: a(1),
        exchange: a(2),
        admin: a(3),
        domain: domain::Id((i % 3) as u8),
        set: "s".into(),
        organisation: "o".into(),
        stage: Stage::Active,
    }
}
fn main() {
    let mut net = Network::new(1, Faults::default(), |e| matches!(e, Entry::Pulse(_)));
    let n = 10;
    for i in 0..n {
        let x = net.start(node(i + 1, Role::Balancer));
        if i == 0 {
            net.event(x, Event::Complete)
        } else {
            net.event(x, Event::Join("10.0.0.1:2".parse().unwrap()))
        }
    }
    for i in n..n + 30 {
        let x = net.start(node(i + 1, Role::Agent));
        net.event(x, Event::Join("10.0.0.1:2".parse().unwrap()))
    }
    for t in 0..20 {
        net.run(1000);
        let c = net.core(3);
        let alive = c.members().filter(|(_, m)| m.status == Status::Alive).count();
        println!(
            "t={t} ready={} members={} alive={alive} log={} bytes={}",
            (0..40).filter(|i| net.core(*i).is_ready()).count(),
            c.members().count(),
            net.log.len(),
            net.traffic(3).bytes
        );
        net.reset_traffic();
    }
    for (n, m) in net.core(3).members().take(0) {
        println!(
            "{} {:?} {:?} {:?} orphan={:?} mon={:?}",
            n.name, n.role, m.status, m.pulse, m.orphan, m.attach
        );
    }
    for l in net.log.iter().take(30) {
        println!("{l:?}");
    }
}
