//! Compares the datagram throughput of a balancer with that of a plain UDP relay.
//!
//! Both receive and send one datagram at a time, on the same number of tasks in the same pool.
//! The relay only forwards datagrams, so its throughput is the upper bound. The target for the
//! balancer is 0.8 of it.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use criterion::{Criterion, Throughput, criterion_main};
use lentilreach::connection::token::Token;
use lentilreach::id::{domain, node, service};
use lentilreach::process::balancer::Balancer;
use lentilreach::process::ingress::{Encapsulated, FabricHeader};
use lentilreach::process::key::{Keyring, Secret};
use lentilreach::process::link::{Link, MAX_DATAGRAM_LEN, Udp};
use lentilreach::process::pool::Pool;
use lentilreach::process::tables::Tables;
use lentilreach::version::view::{Service, View};
use smol::Task;

/// Datagrams in flight. They fit into a socket buffer, so that none is lost.
const DATAGRAMS_IN_FLIGHT: usize = 64;

/// Size of a caller's datagram in bytes; typical for QUIC.
const DATAGRAM_SIZE: usize = 1_200;

/// Number of tasks of the relay; equal to those of a balancer per direction.
const RELAY_TASKS: usize = 2;

/// The loopback address with port 0, which selects a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A socket with a receive timeout.
fn socket() -> UdpSocket {
    let socket = UdpSocket::bind(loopback()).expect("loopback has free ports");
    let limit = Some(Duration::from_secs(5));
    socket.set_read_timeout(limit).expect("the limit is not zero");
    socket
}

/// Starts a relay that forwards to a sink; returns its address.
fn relay(pool: &Pool, sink: SocketAddr) -> (SocketAddr, Vec<Task<()>>) {
    let link = Udp::bind(loopback()).expect("loopback has free ports");
    let address = link.local_addr();
    let forward = |link: Udp| async move {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        while let Ok((len, _)) = link.receive(&mut buffer).await {
            // A send error, such as a full buffer, fails the benchmark at the sink.
            let _ = link.send(sink, &buffer[..len]);
        }
    };
    let tasks = (0..RELAY_TASKS).map(|_| pool.spawn(forward(link.clone()))).collect();
    (address, tasks)
}

/// Starts a balancer whose agent is the sink; returns its address and a datagram for the sink.
fn balancer(pool: &Pool, sink: SocketAddr) -> (SocketAddr, Vec<u8>, Balancer) {
    let SocketAddr::V4(agent) = sink else { unreachable!("loopback is IPv4") };
    let address = SocketAddr::from(([127, 1, 0, 1], 4433));
    let id = service::Id::of("weilheim", "abo");
    let secret = Secret::fleet(b"the secret of the benchmark");
    let keyring = Keyring::new(node::Id(1), std::slice::from_ref(&secret), secret.id);
    let token =
        Token { service: id, domain: domain::Id(0), agent, incarnation: 1, nonce: 1 };
    let token = keyring.tokens.encode(&token).expect("there is a key");
    let tables = Arc::new(Tables::new(keyring));
    let services = vec![Service::new(address, id, "weilheim/abo".into(), Vec::new())];
    tables.set_view(View::new(1, services, Vec::new()));
    let entry = Udp::bind(loopback()).expect("loopback has free ports");
    let to = entry.local_addr();
    let link = Udp::bind(loopback()).expect("loopback has free ports");
    let balancer =
        Balancer::start(pool, tables, Encapsulated::new(entry, loopback()), link);
    let mut packet = vec![0x40; DATAGRAM_SIZE];
    packet[1..1 + token.len()].copy_from_slice(&token);
    let mut datagram = Vec::new();
    let caller = SocketAddr::from(([127, 0, 0, 2], 40_000));
    FabricHeader { caller, service: address }.encode(&packet, &mut datagram);
    (to, datagram, balancer)
}

/// Sends a window of datagrams and waits until all have arrived at the sink.
fn send_window(source: &UdpSocket, to: SocketAddr, datagram: &[u8], sink: &UdpSocket) {
    let mut buffer = [0; MAX_DATAGRAM_LEN];
    for _ in 0..DATAGRAMS_IN_FLIGHT {
        source.send_to(datagram, to).expect("the buffer has room");
    }
    for _ in 0..DATAGRAMS_IN_FLIGHT {
        sink.recv(&mut buffer).expect("no datagram is lost");
    }
}

/// Benchmarks the relay and the balancer.
fn compare(criterion: &mut Criterion) {
    let pool = Pool::new(2).expect("threads");
    let (source, sink) = (socket(), socket());
    let address = sink.local_addr().expect("the sink is bound");
    let (relay, _tasks) = relay(&pool, address);
    let (balancer, datagram, _balancer) = balancer(&pool, address);
    let mut group = criterion.benchmark_group("datagrams");
    group.throughput(Throughput::Elements(DATAGRAMS_IN_FLIGHT as u64));
    group.bench_function("relay", |b| {
        b.iter(|| send_window(&source, relay, &datagram, &sink));
    });
    group.bench_function("balancer", |b| {
        b.iter(|| send_window(&source, balancer, &datagram, &sink));
    });
    group.finish();
}

/// Runs the benchmarks with command line options.
fn benches() {
    let mut criterion = Criterion::default().configure_from_args();
    compare(&mut criterion);
    criterion.final_summary();
}

criterion_main!(benches);
