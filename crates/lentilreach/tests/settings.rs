//! Settings of the daemons: what is accepted, and how mistakes are reported.

use std::path::Path;

use insta::assert_snapshot;
use lentilreach::process::settings::{Agent, Balancer, Node};

/// The settings of an agent with a part replaced.
fn agent(from: &str, to: &str) -> String {
    let text = include_str!("../../../examples/weilheim-agent.jsonc");
    assert!(text.contains(from), "the example has no {from}");
    text.replace(from, to)
}

/// The settings of a balancer with a part replaced.
fn balancer(from: &str, to: &str) -> String {
    let text = include_str!("../../../examples/weilheim-balancer.jsonc");
    assert!(text.contains(from), "the example has no {from}");
    text.replace(from, to)
}

/// The mistakes in the settings of an agent as they are printed.
fn agent_mistakes(text: &str) -> String {
    Agent::parse("agent.jsonc", text)
        .map_or_else(|errors| errors.to_string(), |_| "no mistakes".into())
}

/// The mistakes in the settings of a balancer as they are printed.
fn balancer_mistakes(text: &str) -> String {
    Balancer::parse("balancer.jsonc", text)
        .map_or_else(|errors| errors.to_string(), |_| "no mistakes".into())
}

/// Guards against examples that operators copy and that are refused, and against a key that
/// is read into another setting.
#[test]
fn examples_parse() {
    let balancer = Balancer::parse("b", &balancer("", "")).expect("no mistakes");
    let agent = Agent::parse("a", &agent("", "")).expect("no mistakes");
    let peakline = (
        Balancer::parse("b", include_str!("../../../examples/peakline-balancer.jsonc")),
        Agent::parse("a", include_str!("../../../examples/peakline-agent.jsonc")),
    );

    assert_snapshot!(format!("{balancer:#?}\n{agent:#?}"));
    assert_eq!(peakline.0.expect("no mistakes").node.domain.as_ref(), "belper");
    assert_eq!(peakline.1.expect("no mistakes").set.as_ref(), "rope");
}

/// Guards against a builder that makes other settings than a file with the same values.
#[test]
fn builder_agrees_with_the_file() {
    let address = |text: &str| text.parse().expect("an address");
    let from_file = Agent::parse("a", &agent("", "")).expect("no mistakes");

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

/// Guards against a report that ends at the first mistake, and settings that are ignored.
#[test]
fn all_mistakes_are_reported() {
    let text = r#"{
  "name": "raum_nord", "organisation": 7, "domian": "raum-nord",
  "listen": { "envelope": "0.0.0.0:7000", "exchange": "[::1]:7000", "admin": "localhost:80",
    "service": "127.0.0.1:1" },
  "peers": [], "threads": 0, "threads": "two", "fleet_secret": " ",
  "server": "192.0.2.1:8080", "certificate": null
}"#;

    assert_snapshot!(agent_mistakes(text));
}

/// Guards against daemons that cannot be reached by their peers or take each other's packets.
#[test]
fn listen_addresses() {
    let texts = [
        balancer("127.1.1.1:7001", "127.1.1.1:7000"),
        balancer("127.1.1.1:7000", "[::1]:7000"),
        balancer("127.1.1.1:7001", "0.0.0.0:7001"),
        balancer("\"admin\": \"127.1.1.1:9100\"", "\"admin\": \"127.1.1.1\""),
        balancer("\"service\": \"127.1.1.1:4433\",", ""),
    ];

    assert_snapshot!(texts.map(|text| balancer_mistakes(&text)).join("\n"));
}

/// Guards against a balancer without a store, and an agent without a balancer to attach to.
#[test]
fn lists_that_are_needed() {
    let texts = [
        balancer_mistakes(&balancer("[\"127.1.0.250:2379\"]", "[]")),
        balancer_mistakes(&balancer("\"store\": [\"127.1.0.250:2379\"],", "")),
        balancer_mistakes(&balancer("\"peers\": [\"127.1.1.2:7001\"],", "")),
        balancer_mistakes(&balancer("[\"127.1.0.250:2379\"]", "[\"store.example\", 7]")),
        agent_mistakes(&agent("[\"127.1.1.1:7001\", \"127.1.1.2:7001\"]", "[]")),
    ];

    assert_snapshot!(texts.join("\n"));
}

/// Guards against a daemon that starts without its certificate or secret and fails later.
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
