//! Tests of documents that pass from node to node.

use lentilreach::process::store::{Entry, Range};
use lentilreach_steer::process::documents::share::{Assembly, Encoded};
use lentilreach_steer::request::message::{Chunk, Message};

/// Documents with a configuration that doesn't become shorter by compression.
fn range(revision: u64, bytes: usize) -> Range {
    let entry = |key: &str, value: Vec<u8>| Entry {
        key: key.into(),
        value: value.into(),
        created: 3,
        modified: revision,
    };
    let mut rng = fastrand::Rng::with_seed(revision);
    let config: Vec<_> = (0..bytes).map(|_| rng.u8(..)).collect();
    let entries = vec![entry("op/config", config), entry("op/evacuate/a", Vec::new())];
    Range { revision: revision.into(), entries }
}

/// Adds chunks in an order. Returns what is complete.
fn assemble(assembly: &mut Assembly, chunks: &[Chunk<'_>]) -> Vec<Range> {
    chunks.iter().filter_map(|chunk| assembly.insert(chunk)).collect()
}

/// Documents must arrive as they were sent, whatever the order of their parts, and only
/// when all parts have arrived.
#[test]
fn documents_are_assembled_from_their_parts() {
    let range = range(7, 5_000);
    let encoded = Encoded::new(&range).expect("short enough");
    let mut chunks: Vec<_> = encoded.chunks().collect();
    assert!(chunks.len() > 3);
    for chunk in &chunks {
        assert!(Message::Documents(*chunk).encode().len() < 1_400, "fits a datagram");
    }
    chunks.reverse();
    let last = chunks.pop().expect("several chunks");

    let mut assembly = Assembly::default();
    assert_eq!(assemble(&mut assembly, &chunks), []);
    assert_eq!(assemble(&mut assembly, &chunks[..1]), [], "a duplicate is no other part");
    assert_eq!(assemble(&mut assembly, &[last]), [range]);
}

/// Parts of different revisions must not be mixed.
#[test]
fn parts_of_two_revisions_are_not_mixed() {
    let (old, new) = (range(7, 3_000), range(8, 3_000));
    let (old, encoded) = (Encoded::new(&old).expect("short"), Encoded::new(&new));
    let encoded = encoded.expect("short");
    let (old, chunks) =
        (old.chunks().collect::<Vec<_>>(), encoded.chunks().collect::<Vec<_>>());

    let mut assembly = Assembly::default();
    assert_eq!(assemble(&mut assembly, &old[..2]), []);
    assert_eq!(assemble(&mut assembly, &chunks[2..]), []);
    assert_eq!(assemble(&mut assembly, &chunks[..2]), [new]);
}

/// Invalid parts must neither end the process nor take much memory, and long documents are
/// left to the store.
#[test]
fn invalid_and_long_documents_are_left_out() {
    let chunk =
        |index, count| Chunk { revision: 1.into(), index, count, bytes: &[0xff; 9] };
    let mut assembly = Assembly::default();

    let invalid = [chunk(0, 0), chunk(3, 3), chunk(0, u16::MAX), chunk(0, 1)];

    assert_eq!(assemble(&mut assembly, &invalid), []);
    assert_eq!(Encoded::new(&range(1, 100_000)), None);
}

/// Long configurations were not passed on. Processes that don't watch the store asked for them
/// in vain, and had them in force 300 ms later than the others.
#[test]
fn a_long_configuration_fits() {
    let route = |number: u32| {
        format!(
            r#"{{"name":"route-{number}","host":"198.18.{}.{}","prefix":"/8443/",
            "service":"abo-kalender","routeType":"idempotent","timeoutMs":1500}}"#,
            number / 250,
            number % 250
        )
    };
    let routes: Vec<_> = (0..700).map(route).collect();
    let mut long = range(7, 0);
    long.entries[0].value = routes.join(",").into_bytes().into();
    assert!(long.entries[0].value.len() > 90_000);

    let encoded = Encoded::new(&long).expect("short enough");
    let chunks: Vec<_> = encoded.chunks().collect();

    assert_eq!(assemble(&mut Assembly::default(), &chunks), [long]);
}

/// A few parts can stand for far more bytes than a configuration may have.
#[test]
fn documents_that_are_too_long_once_expanded_are_left_out() {
    let mut long = range(7, 0);
    long.entries[0].value = vec![0; 3 << 20].into();
    let encoded = Encoded::new(&long).expect("short enough");
    let chunks: Vec<_> = encoded.chunks().collect();

    assert_eq!(assemble(&mut Assembly::default(), &chunks), []);
}
