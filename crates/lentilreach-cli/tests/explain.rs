//! Runs `lentilreach explain` on log lines.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Returns the root of the repository.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the command in the root of the repository.
fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach"));
    command.args(arguments).current_dir(root()).output().expect("the command runs")
}

/// Guards against transcripts in the operators' page that differ from the command's output.
#[test]
fn transcripts_in_the_page_match_the_output() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let mut count = 0;

    for block in page.split("```console\n").skip(1) {
        let block = block.split("```").next().unwrap_or_default();
        let Some((command, expected)) = block.split_once('\n') else { continue };
        let Some(arguments) = command.strip_prefix("$ lentilreach explain") else {
            continue;
        };
        let arguments = ["explain"].into_iter().chain(arguments.split_whitespace());
        let output = run(&arguments.collect::<Vec<_>>());

        let printed = String::from_utf8(output.stdout).expect("UTF-8");
        assert_eq!(printed.trim_end(), expected.trim_end(), "{command}");
        count += 1;
    }

    assert_eq!(count, 3, "one for each kind of failed request");
}

/// Guards against records that are not found because other text surrounds them.
#[test]
fn records_are_found_in_any_text() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("log");
    let text = "  1.25 front-1 {\"flow\":\"a\",\"time_ms\":7,\"event\":\"sent\",\"node\":\"b\"}  1.30 \
                side-1 {\"flow\":\"a\",\"time_ms\":9,\"event\":\"refused\",\"cause\":\"cold\",\
                \"node\":\"c\"}\nno record {\"broken\n{\"flow\":\"z\"}\n";
    std::fs::write(&path, text).expect("the file is writable");

    let output = run(&["explain", "a", &path.display().to_string(), "--report", "json"]);

    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(reply["cause"], "cold");
    assert_eq!(reply["records"].as_array().map(Vec::len), Some(2));
}

/// Guards against a flow that is not found by its addresses because the command and the
/// processes compute its identifier differently.
#[test]
fn a_flow_is_found_by_its_addresses() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("log");
    let key = lentilreach_steer::connection::flow::Key {
        caller: "100.64.0.7:40001".parse().expect("an address"),
        service: "198.18.0.1:443".parse().expect("an address"),
    };
    let line = format!("{{\"flow\":\"{key}\",\"time_ms\":1,\"event\":\"offered\"}}\n");
    std::fs::write(&path, line).expect("the file is writable");

    let file = path.display().to_string();
    let addresses = ["--caller", "100.64.0.7:40001", "--address", "198.18.0.1:443"];
    let found = run(&[&["explain", &file], &addresses[..]].concat());
    let missing = run(&["explain", "0000000000000000", &file]);

    assert_eq!(found.status.code(), Some(0));
    assert_eq!(missing.status.code(), Some(1));
}
