//! The operators' command as a process: output and exit statuses.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use insta::assert_snapshot;
use serde_json::Value;
use tempfile::NamedTempFile;

/// Runs the command without a terminal and without settings in the environment.
fn run(arguments: &[&str]) -> Output {
    start(arguments).wait_with_output().expect("the command ends")
}

/// Starts the command as [`run`] does.
fn start(arguments: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_lentilreach"))
        .args(arguments)
        .env_remove("LENTILREACH_STORE")
        .env_remove("LENTILREACH_ADMIN")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts")
}

/// The exit status of a run.
fn status(output: &Output) -> i32 {
    output.status.code().expect("the command ends by itself")
}

/// What a run printed to standard output and standard error.
fn printed(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

/// The path of an example.
fn example(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name).display().to_string()
}

/// A file with two mistakes.
fn faulty() -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    write!(file, "{{ \"organisation\": \"A\", \"domains\": [], \"services\": {{}} }}")
        .expect("writable");
    file
}

/// Guards against a valid file that scripts take for a faulty one.
#[test]
fn check_accepts_the_examples() {
    for (name, text) in [
        ("weilheim.jsonc", "organisation weilheim, 2 services, 3 failure domains"),
        ("peakline.jsonc", "organisation peakline, 2 services, 4 failure domains"),
    ] {
        let output = run(&["check", &example(name)]);

        assert_eq!(status(&output), 0);
        assert_eq!(printed(&output), (format!("no mistakes: {text}\n"), String::new()));
    }
}

/// Guards against mistakes that scripts cannot see or that are not all reported.
#[test]
fn check_reports_every_mistake() {
    let file = faulty();
    let path = file.path().display().to_string();

    let text = run(&["check", &path]);
    let json = run(&["check", &path, "--report", "json"]);

    assert_eq!((status(&text), status(&json)), (2, 2));
    let (out, err) = printed(&text);
    assert_eq!(out, "");
    assert_snapshot!(err.replace(&path, "FILE"));
    let (out, err) = printed(&json);
    assert_eq!(err, "");
    assert_snapshot!(out.replace(&path, "FILE"));
}

/// Guards against a missing file that ends in another status than bad input.
#[test]
fn missing_file_is_bad_input() {
    let output = run(&["check", "no-such-file.jsonc"]);

    assert_eq!(status(&output), 2);
    assert!(printed(&output).1.starts_with("no-such-file.jsonc:1:1: error: "));
}

/// Guards against commands that need the store and go on without one.
#[test]
fn store_is_required() {
    let weilheim = example("weilheim.jsonc");
    let commands: [&[&str]; 4] = [
        &["submit", &weilheim, "--yes"],
        &["show"],
        &["domain", "list"],
        &["domain", "out", "raum-nord", "--yes"],
    ];
    for arguments in commands {
        let output = run(arguments);

        assert_eq!(status(&output), 2, "{arguments:?}");
        assert!(printed(&output).1.contains("LENTILREACH_STORE"), "{arguments:?}");
    }
}

/// Guards against a failure that scripts take for success or for an unknown outcome.
#[test]
fn unreachable_store_is_a_failure() {
    let weilheim = example("weilheim.jsonc");
    // Port 1 of this address has no listener.
    let store = ["--store", "127.1.255.254:1", "--report", "json"];
    let commands: [&[&str]; 4] = [
        &["submit", &weilheim, "--yes"],
        &["show", "abo-kalender"],
        &["domain", "list"],
        &["check", &weilheim],
    ];
    // All at once, since each may spend its time for a call on retries.
    let children = commands.map(|arguments| start(&[&store, arguments].concat()));

    for (child, arguments) in children.into_iter().zip(commands) {
        let output = child.wait_with_output().expect("the command ends");
        assert_eq!(status(&output), 1, "{arguments:?}");
        let reply: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        assert_eq!(reply["status"], "failed");
        assert!(reply["message"].as_str().expect("a text").contains("127.1.255.254:1"));
    }
}

/// Guards against wrong usage with another status than bad input.
#[test]
fn wrong_usage_is_bad_input() {
    let weilheim = example("weilheim.jsonc");
    let commands: [&[&str]; 7] = [
        &[],
        &["chek"],
        &["check"],
        &["domain"],
        &["domain", "out"],
        &["--store", "store.example:2379", "show"],
        &["submit", "--wait", &weilheim],
    ];
    for arguments in commands {
        assert_eq!(status(&run(arguments)), 2, "{arguments:?}");
    }
}

/// Guards against a subcommand whose help lacks an example.
#[test]
fn every_help_has_an_example() {
    let commands: [&[&str]; 9] = [
        &[],
        &["check"],
        &["submit"],
        &["show"],
        &["domain"],
        &["domain", "out"],
        &["domain", "back"],
        &["domain", "list"],
        &["completions"],
    ];
    for arguments in commands {
        let output = run(&[arguments, &["--help"]].concat());

        assert_eq!(status(&output), 0, "{arguments:?}");
        let (help, _) = printed(&output);
        let example = help.split_once("Example:\n").expect("an example").1;
        let words = arguments.first().copied().unwrap_or("check");
        assert!(example.contains(words), "{help}");
    }
}

/// Guards against exit statuses that are not those of the help.
#[test]
fn help_documents_the_exit_statuses() {
    let (help, _) = printed(&run(&["--help"]));

    // Other subcommands may come; the statuses stay.
    let statuses = help.split_once("Exit statuses:\n").expect("exit statuses").1;
    assert_snapshot!(statuses);
}

/// Guards against a completion script without the subcommands.
#[test]
fn completions_know_the_subcommands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);

        assert_eq!(status(&output), 0);
        let (script, _) = printed(&output);
        for name in ["check", "submit", "show", "domain", "completions"] {
            assert!(script.contains(name), "{shell}: {name}");
        }
    }
}
