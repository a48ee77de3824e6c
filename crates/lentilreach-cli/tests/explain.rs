//! Explaining flows from log lines.

use std::path::PathBuf;
use std::process::{Command, Output};

/// The root of the repository.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the command in the root of the repository.
fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach"));
    command.args(arguments).current_dir(root()).output().expect("the command runs")
}

/// Guards against a page for operators that shows what the command does not print.
#[test]
fn the_transcripts_of_the_page_are_real() {
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

/// Guards against lines that are overlooked because other text stands around them.
#[test]
fn records_are_found_in_any_text() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("log");
    let text = "  1.25 front-1 {\"flow\":\"a\",\"time_ms\":7,\"event\":\"sent\",\"node\":\"b\"}  1.30 \
                side-1 {\"flow\":\"a\",\"time_ms\":9,\"event\":\"refused\",\"cause\":\"cold\",\
                \"node\":\"c\"}\nno record {\"broken\n{\"flow\":\"z\"}\n";
    std::fs::write(&path, text).expect("writable");

    let output = run(&["explain", "a", &path.display().to_string(), "--report", "json"]);

    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(reply["cause"], "cold");
    assert_eq!(reply["records"].as_array().map(Vec::len), Some(2));
}

/// Guards against a flow whose identifier the command computes in another way than the
/// processes do.
#[test]
fn a_flow_is_found_by_its_addresses() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("log");
    let key = lentilreach_steer::connection::flow::Key {
        caller: "100.64.0.7:40001".parse().expect("an address"),
        service: "198.18.0.1:443".parse().expect("an address"),
    };
    let line = format!("{{\"flow\":\"{key}\",\"time_ms\":1,\"event\":\"offered\"}}\n");
    std::fs::write(&path, line).expect("writable");

    let file = path.display().to_string();
    let ends = ["--caller", "100.64.0.7:40001", "--address", "198.18.0.1:443"];
    let found = run(&[&["explain", &file], &ends[..]].concat());
    let missing = run(&["explain", "0000000000000000", &file]);

    assert_eq!(found.status.code(), Some(0));
    assert_eq!(missing.status.code(), Some(1));
}
