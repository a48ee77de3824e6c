//! Runs `lentilreach` as a process and checks its output and exit statuses.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use insta::assert_snapshot;
use serde_json::Value;
use tempfile::NamedTempFile;

/// Runs the command without a terminal and without its environment variables.
fn run(arguments: &[&str]) -> Output {
    start(arguments).wait_with_output().expect("the command exits")
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

/// Returns the exit status of a run.
fn status(output: &Output) -> i32 {
    output.status.code().expect("no signal ends the command")
}

/// Returns the standard output and the standard error of a run.
fn output_text(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

/// Returns the path of an example file.
fn example(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name).display().to_string()
}

/// Writes a configuration file with two errors.
fn invalid_file() -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file");
    write!(file, "{{ \"organisation\": \"A\", \"domains\": [], \"services\": {{}} }}")
        .expect("the file is writable");
    file
}

/// Guards against errors reported for valid files.
#[test]
fn check_accepts_the_examples() {
    for (name, text) in [
        ("weilheim.jsonc", "organisation weilheim, 2 services, 3 failure domains"),
        ("peakline.jsonc", "organisation peakline, 2 services, 4 failure domains"),
    ] {
        let output = run(&["check", &example(name)]);

        assert_eq!(status(&output), 0);
        assert_eq!(
            output_text(&output),
            (format!("no mistakes: {text}\n"), String::new())
        );
    }
}

/// Guards against errors that are missing from the text or the JSON output.
#[test]
fn check_reports_every_mistake() {
    let file = invalid_file();
    let path = file.path().display().to_string();

    let text = run(&["check", &path]);
    let json = run(&["check", &path, "--report", "json"]);

    assert_eq!((status(&text), status(&json)), (2, 2));
    let (out, err) = output_text(&text);
    assert_eq!(out, "");
    assert_snapshot!(err.replace(&path, "FILE"));
    let (out, err) = output_text(&json);
    assert_eq!(err, "");
    assert_snapshot!(out.replace(&path, "FILE"));
}

/// Writes a variant of the example of weilheim.
fn variant(replacements: &[(&str, &str)]) -> NamedTempFile {
    let mut text =
        std::fs::read_to_string(example("weilheim.jsonc")).expect("an example");
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("the file is writable");
    file
}

/// Guards against findings and differences that are missing from the output, and against
/// warnings that fail a check unless they are denied.
#[test]
fn check_reports_findings_and_differences() {
    let file = variant(&[
        ("\"leave_ms\": 10000", "\"leave_ms\": 4000"),
        ("\"queue\": 32", "\"queue\": 16"),
        ("\"127.1.0.1:4433\"", "\"127.1.0.3:4433\""),
    ]);
    let path = file.path().display().to_string();
    let against = example("weilheim.jsonc");

    let text = run(&["check", &path, "--against", &against]);
    let json = run(&["check", &path, "--against", &against, "--report", "json"]);
    let denied = run(&["check", &path, "--deny", "warnings"]);
    let allowed = run(&["check", &against, "--deny", "warnings"]);

    assert_eq!([&text, &json, &denied, &allowed].map(status), [0, 0, 1, 0]);
    assert_snapshot!(output_text(&text).0.replace(&path, "FILE"));
    assert_snapshot!(output_text(&json).0.replace(&path, "FILE"));
}

/// Guards against a document of the other front end that is read as an organisation's file,
/// and against errors that don't fail the check.
#[test]
fn check_reads_documents_of_segments() {
    let document = |service: &str| {
        format!(
            r#"{{"version":3,"routes":[{{"name":"r","host":"198.18.0.1","prefix":"/443/",
            "aimMs":300,"timeoutMs":1500,"priority":1,"service":"{service}"}}],
            "services":[{{"name":"shop","maxConns":2000}}],
            "limits":{{"idleTimeoutMs":15000}}}}"#
        )
    };
    let write = |text: String| {
        let mut file = NamedTempFile::new().expect("a temporary file");
        file.write_all(text.as_bytes()).expect("the file is writable");
        file
    };
    let (good, bad) = (write(document("shop")), write(document("shopp")));
    let path = |file: &NamedTempFile| file.path().display().to_string();

    let good_output = run(&["check", "--front-end", "segments", &path(&good)]);
    let bad_output = run(&[
        "check",
        "--front-end",
        "segments",
        &path(&bad),
        "--against",
        &path(&good),
    ]);

    assert_eq!((status(&good_output), status(&bad_output)), (0, 2));
    assert_snapshot!(output_text(&good_output).0);
    assert_snapshot!(output_text(&bad_output).1.replace(&path(&bad), "FILE"));
}

/// Guards against an exit status other than bad input for a missing file.
#[test]
fn missing_file_is_bad_input() {
    let output = run(&["check", "no-such-file.jsonc"]);

    assert_eq!(status(&output), 2);
    assert!(output_text(&output).1.starts_with("no-such-file.jsonc:1:1: error: "));
}

/// Guards against commands that need the store but do not require its address.
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
        assert!(output_text(&output).1.contains("LENTILREACH_STORE"), "{arguments:?}");
    }
}

/// Guards against an exit status of success or unknown outcome if the store cannot be
/// reached.
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
    // Started concurrently, since each may retry until its call times out.
    let children = commands.map(|arguments| start(&[&store, arguments].concat()));

    for (child, arguments) in children.into_iter().zip(commands) {
        let output = child.wait_with_output().expect("the command exits");
        assert_eq!(status(&output), 1, "{arguments:?}");
        let reply: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        assert_eq!(reply["status"], "failed");
        assert!(reply["message"].as_str().expect("a text").contains("127.1.255.254:1"));
    }
}

/// Guards against an exit status other than bad input for wrong usage.
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

/// Guards against a subcommand without an example in its help.
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
        let (help, _) = output_text(&output);
        let example = help.split_once("Example:\n").expect("an example").1;
        let subcommand = arguments.first().copied().unwrap_or("check");
        assert!(example.contains(subcommand), "{help}");
    }
}

/// Guards against unintended changes to the exit statuses in the help.
#[test]
fn help_documents_the_exit_statuses() {
    let (help, _) = output_text(&run(&["--help"]));

    // The list of subcommands may change; the statuses may not.
    let statuses = help.split_once("Exit statuses:\n").expect("exit statuses").1;
    assert_snapshot!(statuses);
}

/// Guards against a completion script that lacks a subcommand.
#[test]
fn completions_know_the_subcommands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);

        assert_eq!(status(&output), 0);
        let (script, _) = output_text(&output);
        for name in ["check", "submit", "show", "domain", "completions"] {
            assert!(script.contains(name), "{shell}: {name}");
        }
    }
}
