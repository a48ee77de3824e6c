//! Tests tokens, envelopes and packet headers with forged, truncated and foreign input.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lentilreach::connection::token::{self, Token};
use lentilreach::id::{domain, node, service};
use lentilreach::request::envelope::{self, Forward, HOME, Header, Sealer};
use lentilreach::request::packet::{self, Form, Packet};
use lentilreach::request::route::{Reason, Verdict, route};
use lentilreach::version::view::{Domain, Load, Member, Service, Stage, View};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A fixed seed makes every run give the same result.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    }
}

fn keys() -> token::Keys {
    token::Keys::new(vec![token::Key::new(1, &[1; 32]), token::Key::new(2, &[2; 32])], 2)
}

fn sealer(secret: u8) -> Sealer {
    Sealer::new(node::Id(9), vec![envelope::Key::new(1, &[secret; 16])], 1)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, 1], port))
}

fn agent(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 2, 0, index), 7_000)
}

fn token(service: u32, domain: u8) -> Token {
    Token {
        service: service::Id(service),
        domain: domain::Id(domain),
        agent: agent(1),
        incarnation: 3,
        nonce: 5,
    }
}

fn forward() -> Forward {
    Forward {
        service: service::Id(1),
        address: address(1),
        caller: address(2),
        balancer: address(3),
        position: 0,
        candidates: vec![agent(1), agent(2)],
        mean: Some(25),
        home: Some(agent(1)),
        fewest_open: Some((agent(2), 7)),
        handed_back: false,
    }
}

/// A service on port 1 with a member in each of the failure domains 0 (in service) and 1
/// (out).
fn view(stages: [Stage; 2]) -> View {
    let member = |(index, stage)| Member {
        node: node::Id(index),
        agent: agent(index as u8),
        domain: domain::Id(index as u8),
        stage,
        load: Load::default(),
    };
    let members = (0..).zip(stages).map(member).collect();
    let service = Service::new(address(1), service::Id(1), "org/svc".into(), members);
    let out = |id| Domain { id: domain::Id(id), name: "d".into(), out: id == 1 };
    View::new(1, vec![service], vec![out(0), out(1)])
}

fn datagram(first: u8, id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![first];
    if first & 0x80 != 0 {
        datagram.extend([0, 0, 0, 1, id.len() as u8]);
    }
    datagram.extend(id);
    datagram.resize(1_200, 0);
    datagram
}

fn decide(view: &View, port: u16, datagram: &[u8]) -> Verdict {
    let packet = Packet::parse(address(9), address(port), datagram).expect("it is QUIC");
    route(view, &keys(), &packet, 1)
}

/// Guards against tokens of an earlier key becoming invalid on key rotation.
#[test]
fn token_survives_rotation() {
    let old = token::Keys::new(vec![token::Key::new(1, &[1; 32])], 1);

    let id = old.encode(&token(1, 0)).expect("there is a key");

    assert_eq!(keys().decode(&id), Ok(token(1, 0)));
}

/// Guards against accepting a token made with an unknown key, or one of another length.
#[test]
fn token_of_unknown_key_is_refused() {
    let other = token::Keys::new(vec![token::Key::new(3, &[1; 32])], 3);
    let id = other.encode(&token(1, 0)).expect("there is a key");

    assert_eq!(keys().decode(&id), Err(token::Fault::UnknownKey));
    assert_eq!(keys().decode(&id[..19]), Err(token::Fault::Length));
}

/// Guards against routing an established flow to the wrong service or to a failure domain that
/// is out.
#[test]
fn established_packet_reaches_its_agent_only() {
    let view = view([Stage::Silent, Stage::Active]);
    let cases = [
        (token(1, 0), Verdict::Forward { service: service::Id(1), agent: agent(1) }),
        (token(2, 0), Verdict::Drop(Reason::ForeignToken)),
        (token(1, 1), Verdict::Drop(Reason::DomainOut)),
    ];
    for (token, expected) in cases {
        let id = keys().encode(&token).expect("there is a key");

        assert_eq!(decide(&view, 1, &datagram(0x40, &id)), expected);
        assert_eq!(decide(&view, 1, &datagram(0xc0, &id)), expected, "long header");
        let unknown = Verdict::Drop(Reason::UnknownService);
        assert_eq!(decide(&view, 2, &datagram(0x40, &id)), unknown);
    }
}

/// Guards against packets without a token that open flows, and against offers to members that
/// are out or draining while others are available.
#[test]
fn only_initial_packets_open_flows() {
    let forged = Verdict::Drop(Reason::ForgedToken);
    let views = [
        (view([Stage::Active, Stage::Active]), vec![agent(0)]),
        (view([Stage::Leaving, Stage::Active]), vec![agent(0)]),
    ];
    for (view, expected) in views {
        let Verdict::Offer { candidates, .. } =
            decide(&view, 1, &datagram(0xc0, &[1; 8]))
        else {
            panic!("an opening packet is offered");
        };

        assert_eq!(candidates.as_slice(), expected);
        assert_eq!(
            decide(&view, 1, &datagram(0xe0, &[1; 8])),
            forged,
            "handshake packet"
        );
        assert_eq!(decide(&view, 1, &datagram(0x40, &[1; 20])), forged);
    }
}

/// Guards against reading beyond the datagram, and against accepting packets that are not QUIC
/// version 1.
#[test]
fn malformed_headers_are_refused() {
    let initial = datagram(0xc0, &[1; 8]);
    let cases = [
        (&initial[..0], packet::Fault::Short),
        (&initial[..5], packet::Fault::Short),
        (&initial[..1_199], packet::Fault::Short),
        (&[0x40; 20], packet::Fault::Short),
        (&[0x80; 1_200], packet::Fault::NotQuic),
        (&[0xc0, 0, 0, 0, 1, 21], packet::Fault::NotQuic),
    ];
    for (datagram, fault) in cases {
        assert_eq!(Packet::parse(address(9), address(1), datagram), Err(fault));
    }
    let packet = Packet::parse(address(9), address(1), &initial).expect("it is valid");
    assert_eq!((packet.form, packet.destination), (Form::Initial, &[1; 8][..]));
}

/// Guards against a loop of agents that hand a datagram on to each other.
#[test]
fn handing_on_ends() {
    let (second, next) = forward().next().expect("one is left");

    assert_eq!((second, next.position, next.remaining()), (agent(2), 1, 0));
    assert_eq!(next.next(), None);
    assert_eq!(Forward { position: HOME - 1, ..forward() }.next(), None);
    let (first, from_home) = Forward { position: HOME, ..forward() }.next().expect("two");
    assert_eq!((first, from_home.position, from_home.remaining()), (agent(1), 0, 1));
}

/// Guards against accepting an envelope of another fleet, and against reusing a nonce.
#[test]
fn envelopes_need_the_key() {
    let (mut first, mut second) = (Vec::new(), Vec::new());
    let header = Header::Forward(forward());
    let mine = sealer(1);

    assert!(mine.seal(&header, b"datagram", &mut first));
    assert!(mine.seal(&header, b"datagram", &mut second));

    assert_eq!(mine.open(&first), Ok((header, &b"datagram"[..])));
    assert_ne!(first[2..14], second[2..14], "nonce");
    assert_eq!(sealer(2).open(&first), Err(envelope::Fault::Tag));
}

proptest! {
    #![proptest_config(fixed())]

    /// Guards against accepting a modified or truncated token or envelope.
    #[test]
    fn no_changed_byte_passes(at in 0_usize..200, flip in 1_u8.., cut in 0_usize..200) {
        let id = keys().encode(&token(1, 0)).expect("there is a key");
        let mut envelope = Vec::new();
        sealer(1).seal(&Header::Forward(forward()), &[7; 100], &mut envelope);

        let (mut forged, mut damaged) = (id, envelope.clone());
        forged[at % id.len()] ^= flip;
        damaged[at % envelope.len()] ^= flip;

        prop_assert!(keys().decode(&forged).is_err());
        prop_assert!(sealer(1).open(&damaged).is_err());
        prop_assert!(sealer(1).open(&envelope[..cut % envelope.len()]).is_err());
    }

    /// Guards against a panic on any input.
    #[test]
    fn no_input_panics(bytes in proptest::collection::vec(any::<u8>(), 0..64), first: u8) {
        let mut padded = bytes.clone();
        padded.insert(0, first);
        padded.resize(1_200, 0);
        for input in [&bytes, &padded] {
            if let Ok(packet) = Packet::parse(address(9), address(1), input) {
                route(&view([Stage::Active; 2]), &keys(), &packet, 1);
            }
            prop_assert!(sealer(1).open(input).is_err());
        }
    }
}
