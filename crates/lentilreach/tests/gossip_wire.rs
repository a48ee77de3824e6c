//! The wire format and the seal of gossip messages, with random and malformed input.

use std::sync::Arc;

use lentilreach::id::{domain, node};
use lentilreach::process::clock::Stamp;
use lentilreach::process::gossip::digest::Scope;
use lentilreach::process::gossip::entry::{
    Attachment, Condition, Entry, Health, Load, Node, Role, Stage,
};
use lentilreach::process::gossip::message::{
    Ack, Body, Chunk, Heartbeat, MAX_DATAGRAM, Pull,
};
use lentilreach::process::gossip::seal::{self, Key, Sealer};
use lentilreach::process::gossip::wire::{self, Fault, VERSION};
use proptest::collection::vec;
use proptest::prelude::*;

/// A time stamp with the longest encoding.
const STAMP: Stamp = Stamp { wall_ms: u64::MAX, count: u32::MAX };

/// Any entry, with fields up to their limits.
fn entry() -> impl Strategy<Value = Entry> {
    let bytes = proptest::option::of(vec(any::<u8>(), 0..400));
    let document =
        ("[a-z/]{0,200}", any::<u64>(), bytes).prop_map(|(key, revision, v)| {
            Entry::document(key.into(), revision, v.map(Into::into))
        });
    let node = (any::<[u64; 2]>(), "[a-z]{0,40}", any::<[bool; 2]>(), any::<u16>());
    let node = node.prop_map(|([id, version], name, [agent, six], port)| {
        let ip = if six { [0xfd; 16].into() } else { std::net::IpAddr::from([10; 4]) };
        let address = (ip, port).into();
        Entry::Node(Arc::new(Node {
            id: node::Id(id),
            version,
            name: name.clone().into(),
            role: if agent { Role::Agent } else { Role::Balancer },
            envelope_address: address,
            gossip_address: address,
            admin_address: address,
            domain: domain::Id(port as u8),
            set: name.clone().into(),
            organisation: name.into(),
            stage: Stage::Leaving,
        }))
    });
    let attach = (any::<[u64; 2]>(), any::<[Option<u32>; 3]>());
    let attach = attach.prop_map(|([id, version], monitors)| {
        Entry::Attachment(Attachment { node: node::Id(id), version, monitors })
    });
    let health = any::<[u64; 3]>().prop_map(|[id, sequence, age_ms]| {
        let (node, role, condition) = (node::Id(id), Role::Agent, Condition::Dead);
        Entry::Health(Health { node, role, sequence, condition, age_ms })
    });
    let load = (any::<[u64; 2]>(), any::<[u32; 2]>(), any::<[u16; 2]>());
    let load = load.prop_map(|([id, version], [open, limit], [busy, slots])| {
        Entry::Load(Load { node: node::Id(id), version, open, limit, busy, slots })
    });
    prop_oneof![document, node, attach, health, load]
}

/// Any message.
fn body() -> impl Strategy<Value = Body> {
    let scope = prop_oneof![
        Just(Scope::All),
        "[a-z]{0,60}".prop_map(|name| Scope::Leaf(name.into()))
    ];
    let heartbeat = (any::<[u64; 3]>(), any::<bool>(), any::<u32>(), vec(entry(), 0..2));
    let heartbeat = heartbeat.prop_map(
        |([sequence, node_version, attachment_version], wants_ack, root, entries)| {
            Body::Heartbeat(Heartbeat {
                sequence,
                node_version,
                attachment_version,
                wants_ack,
                root,
                entries,
            })
        },
    );
    let ack = (any::<[u64; 3]>(), any::<u32>()).prop_map(
        |([sequence, node_version, attachment_version], root)| {
            Body::Ack(Ack { sequence, node_version, attachment_version, root })
        },
    );
    let chunk = (any::<u64>(), any::<[u16; 2]>(), vec(any::<u8>(), 0..=Chunk::BYTES));
    let chunk = chunk.prop_map(|(revision, [index, count], bytes)| {
        let (key, bytes) = ("domain".into(), bytes.into());
        Body::Chunk(Chunk { key, revision, index, count, bytes })
    });
    let query = any::<[u64; 3]>().prop_map(|[id, sequence, attachment_version]| {
        Body::Query { node: node::Id(id), sequence, attachment_version }
    });
    let hashes = (scope.clone(), any::<bool>(), vec(any::<u32>(), 256));
    let hashes =
        hashes.prop_map(|(scope, ready, sums)| Body::Hashes { scope, ready, sums });
    let known = vec(any::<u32>(), 0..=Pull::MAX_KNOWN);
    let pull = (scope, vec(0..256_u16, 1..=Pull::MAX_BUCKETS), any::<bool>(), known);
    let pull = pull.prop_map(|(scope, buckets, allow_reverse, known)| {
        Body::Pull(Pull { scope, bucket_count: 256, buckets, allow_reverse, known })
    });
    let fill = (any::<u16>(), any::<bool>(), vec(entry(), 0..2));
    let fill = fill.prop_map(|(bucket, last, entries)| Body::Fill {
        bucket,
        number: 255,
        ready: last,
        last,
        entries,
    });
    let push = vec(entry(), 0..3).prop_map(Body::Push);
    prop_oneof![heartbeat, ack, chunk, query, hashes, pull, fill, push]
}

/// An encoded message.
fn encoded(body: &Body) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    wire::encode(STAMP, body, &mut bytes).ok().map(|()| bytes)
}

/// A sealer of the given process with two keys; the second one is current.
fn sealer(id: u64) -> Sealer {
    let keys = vec![Key::new(0, &[1; 16]), Key::new(1, &[2; 16])];
    Sealer::new(node::Id(id), keys, 1)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against fields that change in a round trip, and against a size estimate below the
    /// encoding, which would break the budget and the datagram limit.
    #[test]
    fn messages_round_trip_within_size_estimate(body in body()) {
        let Some(plain) = encoded(&body) else {
            prop_assert!(body.size() > MAX_DATAGRAM, "a message that fits was rejected");
            return Ok(());
        };
        let mut sealed = Vec::new();
        sealer(1).seal(1, &plain, &mut sealed).expect("the key is known");

        let decoded = wire::decode(&plain);

        prop_assert!(sealed.len() <= body.size(), "{} > {}", sealed.len(), body.size());
        prop_assert!(sealed.len() <= MAX_DATAGRAM);
        prop_assert_eq!(decoded, Ok((STAMP, body)));
    }

    /// Guards against a panic on a truncated message, and against one that is accepted.
    #[test]
    fn truncated_message_is_refused(body in body(), share in 0.0..1.0_f64) {
        let Some(plain) = encoded(&body) else { return Ok(()) };
        let length = (plain.len() as f64 * share) as usize;

        let decoded = wire::decode(&plain[..length]);

        prop_assert!(decoded.is_err());
    }

    /// Guards against a panic or unbounded memory use on arbitrary bytes.
    #[test]
    fn random_bytes_are_rejected(mut bytes in vec(any::<u8>(), 0..1_500), version in 0..3_u8) {
        let _ = wire::decode(&bytes);
        if let Some(first) = bytes.first_mut() {
            *first = version;
        }
        let _ = wire::decode(&bytes);

        let opened = sealer(1).open(&mut bytes).map(|opened| opened.sender);

        prop_assert!(opened.is_err());
    }

    /// Guards against a tampered datagram that is accepted.
    #[test]
    fn changed_datagram_is_refused(body in body(), at in any::<usize>(), bit in 0..8_u8) {
        let Some(plain) = encoded(&body) else { return Ok(()) };
        let mut sealed = Vec::new();
        sealer(1).seal(1, &plain, &mut sealed).expect("the key is known");
        let at = at % sealed.len();

        sealed[at] ^= 1 << bit;

        prop_assert!(sealer(2).open(&mut sealed).is_err());
    }
}

/// Guards against a message of a later format version that is misread.
#[test]
fn unknown_version_is_refused() {
    let mut plain = encoded(&Body::Push(Vec::new())).expect("it is short");
    plain[0] = VERSION + 1;

    assert_eq!(wire::decode(&plain), Err(Fault::Version));
}

/// Guards against trailing bytes and messages above the datagram limit.
#[test]
fn oversized_message_is_refused() {
    let mut plain = encoded(&Body::Push(Vec::new())).expect("it is short");
    plain.push(0);
    let long = Entry::document("domain".into(), 1, Some(vec![0; MAX_DATAGRAM].into()));

    assert_eq!(wire::decode(&plain), Err(Fault::Format));
    assert_eq!(wire::decode(&[VERSION; MAX_DATAGRAM + 1]), Err(Fault::Size));
    assert_eq!(encoded(&Body::Push(vec![long])), None);
}

/// Guards against replays at the edges of the window, and against two incarnations that share
/// a window.
#[test]
fn replay_window_is_exact() {
    let (mut sender, mut receiver) = (sealer(1), sealer(9));
    let mut datagrams = Vec::new();
    for _ in 0..200 {
        let mut sealed = Vec::new();
        sender.seal(1, b"x", &mut sealed).expect("the key is known");
        datagrams.push(sealed);
    }
    let mut open = |index: usize| {
        let mut bytes = datagrams[index].clone();
        receiver.open(&mut bytes).map(|opened| opened.sender)
    };

    assert_eq!(open(150), Ok(node::Id(1)));
    assert_eq!(open(150), Err(seal::Fault::Replay));
    assert_eq!(open(23), Ok(node::Id(1)), "127 late");
    assert_eq!(open(23), Err(seal::Fault::Replay));
    assert_eq!(open(22), Err(seal::Fault::Replay), "128 late");
    assert_eq!(open(199), Ok(node::Id(1)));
    assert_eq!(open(151), Ok(node::Id(1)));
    let mut other = Vec::new();
    sealer(2).seal(1, b"x", &mut other).expect("the key is known");
    assert_eq!(receiver.open(&mut other).map(|opened| opened.sender), Ok(node::Id(2)));
}

/// Guards against messages that are lost during a key rotation, and against a key that
/// stays valid after it was removed.
#[test]
fn keys_rotate() {
    let (mut sender, mut receiver) = (sealer(1), sealer(2));
    let (mut old, mut new) = (Vec::new(), Vec::new());
    sender.seal(0, b"x", &mut old).expect("the key is known");
    sender.seal(1, b"x", &mut new).expect("the key is known");
    let mut again = old.clone();

    assert_eq!(receiver.open(&mut old).map(|opened| opened.key), Ok(0));
    assert_eq!(receiver.open(&mut new).map(|opened| opened.key), Ok(1));
    receiver.rotate(vec![Key::new(1, &[2; 16])], 1);
    assert_eq!(receiver.open(&mut again), Err(seal::Fault::UnknownKey));
    assert_eq!(receiver.seal(0, b"x", &mut again), Err(seal::Fault::UnknownKey));
}
