//! The key document and the rotation of secrets.

use bytes::Bytes;
use lentilreach::id::node;
use lentilreach::process::control::keys::Keys;
use lentilreach::process::key::document::{self, Fault};
use lentilreach::process::key::rotate::{
    self, ACTIVATION_DELAY_MS, RETENTION_MS, Secrets, rotate,
};
use lentilreach::process::key::{Keyring, Secret};
use lentilreach::process::tables::Tables;
use lentilreach::request::envelope::{Header, Return};

/// The wall-clock time of the first rotation, in milliseconds since the Unix epoch.
const NOW: u64 = 1_796_000_000_000;

/// The fleet secret.
fn fleet() -> Secret {
    Secret::fleet(b"the secret of the fixture")
}

/// The secrets after a number of rotations at intervals of an hour, and the time of the last
/// rotation.
fn rotated(count: u64) -> (Secrets, u64) {
    let mut secrets = Secrets::default();
    let mut now = NOW;
    for index in 0..count {
        now = NOW + index * 3_600_000;
        secrets = rotate(&secrets, now, [index as u8; 32]).expect("allowed");
    }
    (secrets, now)
}

/// The identifiers of the valid secrets.
fn valid(secrets: &Secrets, wall_ms: u64) -> Vec<u8> {
    secrets.valid(wall_ms).map(|secret| secret.id).collect()
}

/// Guards against a secret that is used before every process has it.
#[test]
fn new_secret_is_used_after_the_activation_delay() {
    let (secrets, now) = rotated(1);

    assert_eq!(secrets.current(now + ACTIVATION_DELAY_MS - 1), Secret::FLEET);
    assert_eq!(secrets.current(now + ACTIVATION_DELAY_MS), 1);
    assert_eq!(valid(&secrets, now), [1], "valid before its activation");
}

/// Guards against secrets that are dropped while flows still use them, and against secrets that
/// are never dropped.
#[test]
fn old_secrets_stay_for_the_longest_flow() {
    let (secrets, now) = rotated(2);
    let replaced = now + ACTIVATION_DELAY_MS;

    assert_eq!(valid(&secrets, replaced + RETENTION_MS - 1), [1, 2]);
    assert_eq!(valid(&secrets, replaced + RETENTION_MS), [2]);
    let next = rotate(&secrets, replaced + RETENTION_MS, [9; 32]).expect("allowed");
    let ids: Vec<u8> = next.secrets().iter().map(|dated| dated.secret.id).collect();
    assert_eq!(ids, [2, 3], "dropped from the document");
}

/// Guards against a new secret with the identifier of another valid secret or of the fleet
/// secret, after identifiers wrapped around.
#[test]
fn identifiers_are_reused_only_when_free() {
    let mut secrets = Secrets::default();
    let mut now = NOW;
    for _ in 0..600 {
        now += RETENTION_MS;
        secrets = rotate(&secrets, now, [1; 32]).expect("allowed");
    }

    assert!(secrets.secrets().len() <= 3);
    assert!(secrets.secrets().iter().all(|dated| dated.secret.id != Secret::FLEET));
    let early = rotate(&secrets, now + 1, [1; 32]);
    assert_eq!(early, Err(rotate::Fault::Early { wait_ms: ACTIVATION_DELAY_MS - 1 }));
}

/// Guards against a document that another fleet can read or change, and against secrets in
/// debug output.
#[test]
fn document_opens_with_the_fleet_secret_only() {
    let (secrets, _) = rotated(2);
    let sealed = document::seal(&secrets, &fleet(), [3; 12]);

    assert_eq!(document::open(&sealed, &fleet()), Ok(secrets.clone()));
    let other = Secret::fleet(b"another secret of a fleet");
    assert_eq!(document::open(&sealed, &other), Err(Fault::Seal));
    let mut damaged = sealed.to_vec();
    damaged[20] ^= 1;
    assert_eq!(document::open(&damaged, &fleet()), Err(Fault::Seal));
    assert_eq!(document::open(b"short", &fleet()), Err(Fault::Short));
    let printed = format!("{secrets:?} {:?}", fleet());
    assert!(!printed.contains("bytes"), "{printed}");
}

/// Guards against a process that drops its keys because of a damaged or deleted document.
#[test]
fn damaged_document_leaves_the_keys() {
    let (secrets, now) = rotated(1);
    let sealed = document::seal(&secrets, &fleet(), [3; 12]);
    let mut keys = Keys::new(node::Id(1), fleet());
    assert!(keys.update(now).is_none(), "the fleet secret is used from the start");
    keys.read(Some(&sealed)).expect("valid");
    let added = keys.update(now).expect("a new secret");
    assert_eq!((added.current, added.gossip.len()), (Secret::FLEET, 2));

    let damaged = keys.read(Some(&Bytes::from_static(b"damaged document")));
    keys.read(None).expect("a deletion is no error");

    assert!(damaged.is_err());
    let used = keys.update(now + ACTIVATION_DELAY_MS).expect("the secret becomes active");
    assert_eq!(used.current, 1);
}

/// Guards against a nonce that is used twice with the same key after the key ring was replaced.
#[test]
fn replaced_ring_continues_with_new_nonces() {
    let keyring = || Keyring::new(node::Id(5), &[fleet()], Secret::FLEET);
    let address = ([127, 0, 0, 1], 1).into();
    let header = Header::Return(Return { address, caller: address });
    let seal = |keyring: &Keyring| {
        let mut envelope = Vec::new();
        assert!(keyring.sealer.seal(&header, b"datagram", &mut envelope));
        envelope[2..14].to_vec()
    };
    let tables = Tables::new(keyring());
    let old = tables.keys();
    let first = seal(&old);

    tables.set_keys(keyring());

    let (second, third) = (seal(&tables.keys()), seal(&old));
    assert!(first != second && second != third && first != third);
}
