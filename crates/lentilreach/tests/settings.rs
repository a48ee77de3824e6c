//! Validation of the daemons' settings files.

use std::path::Path;

use insta::assert_snapshot;
use lentilreach::process::settings::{Agent, Balancer, Node};

/// The example settings of an agent with a part replaced.
fn agent(from: &str, to: &str) -> String {
    let text = include_str!("../../../examples/weilheim-agent.jsonc");
    assert!(text.contains(from), "the example has no {from}");
    text.replace(from, to)
}

/// The example settings of a balancer with a part replaced.
fn balancer(from: &str, to: &str) -> String {
    let text = include_str!("../../../examples/weilheim-balancer.jsonc");
    assert!(text.contains(from), "the example has no {from}");
    text.replace(from, to)
}

/// The errors in the settings of an agent as they are printed.
fn agent_report(text: &str) -> String {
    Agent::parse("agent.jsonc", text)
        .map_or_else(|errors| errors.to_string(), |_| "no errors".into())
}

/// The errors in the settings of a balancer as they are printed.
fn balancer_report(text: &str) -> String {
    Balancer::parse("balancer.jsonc", text)
        .map_or_else(|errors| errors.to_string(), |_| "no errors".into())
}

/// Guards against examples for operators that are refused, and against a key that is read into
/// another setting.
#[test]
fn examples_parse() {
    let balancer = Balancer::parse("b", &balancer("", "")).expect("valid settings");
    let agent = Agent::parse("a", &agent("", "")).expect("valid settings");
    let peakline = (
        Balancer::parse("b", include_str!("../../../examples/peakline-balancer.jsonc")),
        Agent::parse("a", include_str!("../../../examples/peakline-agent.jsonc")),
    );

    assert_snapshot!(format!("{balancer:#?}\n{agent:#?}"));
    assert_eq!(peakline.0.expect("valid settings").node.domain.as_ref(), "belper");
    assert_eq!(peakline.1.expect("valid settings").set.as_ref(), "rope");
}

/// Guards against a builder that yields other settings than a file with the same values.
#[test]
fn builder_agrees_with_the_file() {
    let address = |text: &str| text.parse().expect("an address");
    let from_file = Agent::parse("a", &agent("", "")).expect("valid settings");

    let built = Node::builder("raum-nord-abo-1", "weilheim", "raum-nord")
        .envelope(address("127.1.2.1:7000"))
        .exchange(address("127.1.2.1:7001"))
        .admin(address("127.1.2.1:9100"))
        .peers([address("127.1.1.1:7001"), address("127.1.1.2:7001")])
        .threads(2)
        .secret("/etc/lentilreach/fleet.secret")
        .agent(
            "abo",
            address("127.0.0.1:8080"),
            "/etc/lentilreach/weilheim.pem",
            "/etc/lentilreach/weilheim.key",
        );

    assert_eq!(built, from_file);
}

/// Guards against a report that ends at the first error, and against keys that are ignored.
#[test]
fn all_errors_are_reported() {
    let text = r#"{
  "name": "raum_nord", "organisation": 7, "domian": "raum-nord",
  "listen": { "envelope": "0.0.0.0:7000", "exchange": "[::1]:7000", "admin": "localhost:80",
    "service": "127.0.0.1:1" },
  "peers": [], "threads": 0, "threads": "two", "fleet_secret": " ",
  "server": "192.0.2.1:8080", "certificate": null
}"#;

    assert_snapshot!(agent_report(text));
}

/// Guards against daemons that peers cannot reach, and against two listeners on one address.
#[test]
fn listen_addresses() {
    let texts = [
        balancer("127.1.1.1:7001", "127.1.1.1:7000"),
        balancer("127.1.1.1:7000", "[::1]:7000"),
        balancer("127.1.1.1:7001", "0.0.0.0:7001"),
        balancer("\"admin\": \"127.1.1.1:9100\"", "\"admin\": \"127.1.1.1\""),
        balancer("\"service\": \"127.1.1.1:4433\",", ""),
    ];

    assert_snapshot!(texts.map(|text| balancer_report(&text)).join("\n"));
}

/// Guards against a balancer without a store, and against an agent without a balancer to attach
/// to.
#[test]
fn required_lists() {
    let texts = [
        balancer_report(&balancer("[\"127.1.0.250:2379\"]", "[]")),
        balancer_report(&balancer("\"store\": [\"127.1.0.250:2379\"],", "")),
        balancer_report(&balancer("\"peers\": [\"127.1.1.2:7001\"],", "")),
        balancer_report(&balancer("[\"127.1.0.250:2379\"]", "[\"store.example\", 7]")),
        agent_report(&agent("[\"127.1.1.1:7001\", \"127.1.1.2:7001\"]", "[]")),
    ];

    assert_snapshot!(texts.join("\n"));
}

/// Guards against a daemon that starts without its certificate or secret file and fails later.
#[test]
fn missing_files_are_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = |name: &str| directory.path().join(name);
    for name in ["weilheim.pem", "fleet.secret"] {
        std::fs::write(file(name), "x").expect("a file");
    }
    let path = file("agent.jsonc");
    let inside = format!("{}/", directory.path().display());
    std::fs::write(&path, agent("/etc/lentilreach/", &inside)).expect("a file");

    let errors = Agent::load(&path).expect_err("the key file is missing");

    let messages: Vec<_> = errors.as_slice().iter().map(|e| e.message.clone()).collect();
    let missing = file("weilheim.key");
    assert_eq!(
        messages,
        [format!("certificate_key: there is no file {}", missing.display())]
    );
    std::fs::write(missing, "x").expect("a file");
    assert!(Agent::load(&path).is_ok());
    assert!(Balancer::load(Path::new("no-such-file.jsonc")).is_err());
}
