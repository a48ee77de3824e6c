//! Decoding of entries in the list of members.

mod fixture;

use lentilreach::process::store::Entry;
use lentilreach_steer::process::backend::record::{Instance, Recorded};
use lentilreach_steer::process::roster::Role;
use lentilreach_steer::process::roster::membership::{Listed, PREFIX};

/// An entry under a key after the prefix.
fn entry(key: &str, value: &[u8]) -> Entry {
    Entry {
        key: format!("{PREFIX}{key}").into(),
        value: value.to_vec().into(),
        created: 1,
        modified: 1,
    }
}

/// What a process writes must be what others read.
#[test]
fn members_are_decoded_as_they_were_written() {
    let recorded = Recorded { instance: Instance::from(&fixture::report(1)), era: 3 };
    for instance in [None, Some(recorded)] {
        let listed = Listed {
            address: "10.1.0.1:7700".parse().expect("an address"),
            role: Role::Agent,
            domain: "a".into(),
            instance,
        };
        let entry = entry("10.1.0.1:7700", &listed.value());

        assert_eq!(Listed::try_from(&entry), Ok(listed));
    }
}

/// Nodes of an earlier version name no instance, or one without the era of the store. Their
/// entries must not be left out, nor be taken for a statement about the backend server.
#[test]
fn entries_of_an_earlier_version_name_no_instance() {
    let instance = Some(Instance::from(&fixture::report(1)));
    let instance = postcard::to_allocvec(&instance).expect("encoded");
    for value in [&b"\x01\x01a"[..], &[b"\x01\x01a", &*instance].concat()] {
        let listed = Listed::try_from(&entry("10.1.0.1:7700", value));

        assert_eq!(listed.map(|listed| listed.instance), Ok(None), "{value:?}");
    }
}

/// An entry that names no reachable member must be left out. Messages to it would fail
/// again and again, and it would count as a silent agent.
#[test]
fn entries_without_a_usable_address_are_invalid() {
    let value = b"\x01\x01a";
    assert!(Listed::try_from(&entry("10.1.0.1:7700", value)).is_ok());
    for key in [
        "10.1.0.1:0",
        "10.1.0.1:65536",
        "10.1.0.1:-1",
        "10.1.0.1",
        "0.0.0.0:7700",
        "255.255.255.255:7700",
        "224.0.0.1:7700",
        "host:7700",
        "",
    ] {
        assert!(Listed::try_from(&entry(key, value)).is_err(), "{key}");
    }
    assert!(Listed::try_from(&entry("10.1.0.1:7700", b"\x01\x05a")).is_err());
    assert!(Listed::try_from(&entry("10.1.0.1:7700", b"")).is_err());
}
