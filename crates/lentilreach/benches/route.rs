//! Measures the routing decision by number of targets and addresses.
//!
//! Goals: a median below 150 ns, and at 4,000 targets at most 1.5 times that at 7. Parsing the
//! header and decoding the token are included.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use criterion::{BenchmarkId, Criterion, criterion_main};
use lentilreach::connection::token::{self, Token};
use lentilreach::id::{domain, node, service};
use lentilreach::request::packet::Packet;
use lentilreach::request::route::route;
use lentilreach::version::view::{Domain, Load, Member, Service, Stage, View};

/// Number of different packets, so that caches and branch prediction do not see the same
/// packet only.
const PACKETS: usize = 4_096;

/// Length of the part of a datagram that routing reads, in bytes.
const HEADER: usize = 24;

/// The first bytes of a datagram.
type Header = [u8; HEADER];

criterion_main!(benches);

/// Runs all benchmarks.
fn benches() {
    decisions(&mut Criterion::default().configure_from_args());
}

/// Routes packets of established and opening flows in views of several sizes.
fn decisions(criterion: &mut Criterion) {
    let keys = token::Keys::new(vec![token::Key::new(1, &[7; 32])], 1);
    for (form, headers) in
        [("established", established as fn(&token::Keys) -> _), ("opening", opening)]
    {
        let mut group = criterion.benchmark_group(form);
        for addresses in [1, 1_100] {
            for targets in [7, 400, 4_000] {
                let view = view(addresses, targets);
                let headers: Vec<Header> = headers(&keys);
                let mut datagram = [0; 1_200];
                let id = BenchmarkId::new(format!("{addresses} addresses"), targets);
                let mut next = 0;
                group.bench_function(id, |bencher| {
                    bencher.iter(|| {
                        next = (next + 1) % PACKETS;
                        // A datagram that was just received is in the cache.
                        datagram[..HEADER].copy_from_slice(&headers[next]);
                        let datagram = black_box(&datagram);
                        let packet = Packet::parse(caller(next), address(0), datagram);
                        packet.map(|packet| route(black_box(&view), &keys, &packet, 7))
                    });
                });
            }
        }
        group.finish();
    }
}

/// Returns a view whose first service has all targets; the others have one each.
fn view(addresses: u16, targets: u64) -> View {
    let services = (0..addresses).map(|index| {
        let targets = if index == 0 { targets } else { 1 };
        let members = (0..targets).map(member).collect();
        let id = service::Id(u32::from(index));
        Service::new(address(index), id, format!("org/{index}").into(), members)
    });
    let domains = (0..10).map(|id| Domain {
        id: domain::Id(id),
        name: format!("domain-{id}").into(),
        out: id == 9,
    });
    View::new(1, services.collect(), domains.collect())
}

/// Returns a member with some load.
fn member(index: u64) -> Member {
    Member {
        node: node::Id(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        agent: agent(index),
        domain: domain::Id((index % 9) as u8),
        stage: Stage::Active,
        load: Load { open: 1_000 + index as u32 % 50, limit: 2_000, ..Load::default() },
    }
}

/// Returns short headers with tokens of many agents.
fn established(keys: &token::Keys) -> Vec<Header> {
    let header = |index: usize| {
        let token = Token {
            service: service::Id(0),
            domain: domain::Id((index % 9) as u8),
            agent: agent(index as u64),
            incarnation: 1,
            nonce: index as u32,
        };
        let mut header = [0x40; HEADER];
        header[1..1 + token::LENGTH]
            .copy_from_slice(&keys.encode(&token).expect("there is a key"));
        header
    };
    (0..PACKETS).map(header).collect()
}

/// Returns Initial headers with random 8-byte connection IDs, like those that callers choose.
fn opening(_: &token::Keys) -> Vec<Header> {
    let mut rng = fastrand::Rng::with_seed(1);
    let header = |_| {
        let mut header = [0; HEADER];
        header[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        header[6..14].copy_from_slice(&rng.u64(..).to_be_bytes());
        header
    };
    (0..PACKETS).map(header).collect()
}

/// The address of a service.
fn address(index: u16) -> SocketAddr {
    let [high, low] = index.to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 4433))
}

/// The address of one of many callers.
fn caller(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), 40_000))
}

/// The address of an agent.
fn agent(index: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x7f02_0000 + index as u32), 7_000)
}
