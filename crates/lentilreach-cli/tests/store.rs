//! Runs `lentilreach` with the stand-in store on loopback.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::Txn;
use lentilreach::version::config::key;
use lentilreach_standin::store::{Builder, Outage, Server};
use serde_json::Value;
use tempfile::NamedTempFile;

/// Starts a store on a free port. Returns it and the threads that serve it.
fn store() -> (Server, Pool) {
    let pool = Pool::new(1).expect("a thread");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    (Builder::new().serve(address, &pool).expect("a free port"), pool)
}

/// Runs the command against a store; returns its exit status and its JSON report.
fn run(store: &Server, arguments: &[&str]) -> (i32, Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_lentilreach"))
        .args(["--report", "json", "--store", &store.address().to_string()])
        .args(arguments)
        .env("USER", "anna")
        .env_remove("LENTILREACH_ADMIN")
        .stdin(Stdio::null())
        .output()
        .expect("the command starts");
    let report = serde_json::from_slice(&output.stdout).expect("JSON");
    (output.status.code().expect("no signal ends the command"), report)
}

/// The codes of the findings in a report.
fn codes(report: &Value) -> Vec<&str> {
    let findings = report["findings"].as_array().into_iter().flatten();
    findings.filter_map(|finding| finding["code"].as_str()).collect()
}

/// Returns the path of an example file.
fn example(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name).display().to_string()
}

/// Writes a copy of `weilheim.jsonc` with a text replaced.
fn edited(from: &str, to: &str) -> NamedTempFile {
    let text = std::fs::read_to_string(example("weilheim.jsonc")).expect("an example");
    assert!(text.contains(from), "the example has no {from}");
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.replace(from, to).as_bytes()).expect("the file is writable");
    file
}

/// Starts a daemon that answers each poll with the next revision.
fn daemon(revisions: &'static [u64]) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for revision in revisions {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let lines = BufReader::new(&stream).lines();
            lines
                .map_while(Result::ok)
                .take_while(|line| !line.is_empty())
                .for_each(drop);
            let page =
                format!("# TYPE x gauge\nlentilreach_config_revision {revision}\n");
            let head =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
            let _ = stream.write_all(format!("{head}{page}").as_bytes());
        }
    });
    address
}

/// Guards against a configuration that `show` prints differently from what was submitted.
#[test]
fn submit_then_show() {
    let (store, _pool) = store();

    let (submitted, outcome) =
        run(&store, &["submit", "--yes", &example("weilheim.jsonc")]);
    let (again, unchanged) =
        run(&store, &["submit", "--yes", &example("weilheim.jsonc")]);
    let (shown, report) = run(&store, &["show", "abo-kalender"]);
    let (all, everything) = run(&store, &["show"]);
    let (unknown, nearest) = run(&store, &["show", "weilheim/abo-kalendar"]);

    assert_eq!((submitted, again, shown, all, unknown), (0, 0, 0, 0, 2));
    assert_eq!(outcome["outcome"], "took-effect");
    assert_eq!(unchanged["outcome"], "unchanged");
    let service = &report["services"][0];
    assert_eq!(service["operation"], outcome["operation"]);
    assert!(outcome["operation"].as_str().is_some_and(|name| name.starts_with("anna-")));
    assert_eq!(service["limits"]["connections"], 2000);
    assert_eq!(everything["domains"].as_array().map(Vec::len), Some(3));
    let hint = nearest["message"].as_str().expect("a text");
    assert!(hint.contains("weilheim/abo-kalender"), "{hint}");
}

/// Guards against `check --store` accepting an address that belongs to another organisation.
#[test]
fn check_compares_with_the_configuration_in_force() {
    let (store, _pool) = store();
    run(&store, &["submit", "--yes", &example("peakline.jsonc")]);
    let conflicting = edited("127.1.0.2:4433", "127.2.0.1:4433");

    let (status, report) =
        run(&store, &["check", &conflicting.path().display().to_string()]);

    assert_eq!(status, 2);
    let message = report["errors"][0]["message"].as_str().expect("a text");
    assert_eq!(message, "127.2.0.1:4433 already belongs to peakline/ropeledger");
}

/// Guards against a failure domain that no balancer is in going unnoticed.
#[test]
fn check_finds_a_failure_domain_without_balancers() {
    let (store, _pool) = store();
    let txn = Txn::new()
        .put(key::relay("raum-nord", 0), &b"{}"[..])
        .put(key::relay("raum-penzberg", 0), &b"{}"[..]);
    store.handle().write(&txn).expect("a valid key");

    let (status, report) = run(&store, &["check", &example("weilheim.jsonc")]);

    assert_eq!((status, codes(&report)), (0, vec!["empty-domain"]));
    let message = report["findings"][0]["message"].as_str().expect("a text");
    assert_eq!(message, "no balancer runs in failure domain raum-sued");
}

/// Guards against a document of segments that is not compared with the version in force, and
/// against a failure domain out of service that no VM is in going unnoticed.
#[test]
fn check_compares_a_document_of_segments_with_the_version_in_force() {
    let (store, _pool) = store();
    let document = |version: u64, flows: u32| {
        format!(
            r#"{{"version":{version},"routes":[{{"name":"r","host":"198.18.0.1",
            "prefix":"/443/","service":"shop"}}],"services":[{{"name":"shop",
            "maxConns":{flows}}}],"limits":{{"idleTimeoutMs":15000}}}}"#
        )
    };
    let txn = Txn::new()
        .put("op/config", document(3, 2_000).into_bytes())
        .put("op/evacuate/raum-nrod", &b"{}"[..]);
    store.handle().write(&txn).expect("valid keys");
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(document(4, 1_000).as_bytes()).expect("the file is writable");
    let path = file.path().display().to_string();

    let (status, report) = run(&store, &["check", "--front-end", "segments", &path]);
    store.handle().start_outage(Outage::Refuse);
    let (away, _) = run(&store, &["check", "--front-end", "segments", &path]);

    assert_eq!((status, codes(&report)), (0, vec!["empty-domain"]));
    let difference = &report["differences"][0];
    let text = "~ service shop: flows of a backend server: 2000 -> 1000";
    assert_eq!(
        (&difference["text"], &difference["tighter"]),
        (&text.into(), &true.into())
    );
    assert_eq!(away, 1);
}

/// Guards against a change that is written without confirmation.
#[test]
fn yes_is_required_without_a_terminal() {
    let (store, _pool) = store();

    let (status, report) = run(&store, &["submit", &example("weilheim.jsonc")]);

    assert_eq!((status, &report["outcome"]), (1, &"declined".into()));
    assert_eq!(store.handle().get(key::DOMAINS), None);
}

/// Guards against a list that does not show the state of a failure domain.
#[test]
fn domain_out_and_back() {
    let (store, _pool) = store();
    run(&store, &["submit", "--yes", &example("weilheim.jsonc")]);

    let (out, outcome) = run(&store, &["domain", "out", "raum-sued", "--yes"]);
    let (_, after_out) = run(&store, &["domain", "list"]);
    let (back, _) = run(&store, &["domain", "back", "raum-sued", "--yes"]);
    let (_, after_back) = run(&store, &["domain", "list"]);
    let (unknown, _) = run(&store, &["domain", "out", "raum-west", "--yes"]);

    assert_eq!((out, back, unknown), (0, 0, 2));
    let entry = &after_out["domains"][1];
    assert_eq!((&entry["name"], &entry["out"]), (&"raum-sued".into(), &true.into()));
    assert_eq!(entry["operation"], outcome["operation"]);
    assert_eq!(after_back["domains"][1]["out"], false);
    assert_eq!(after_back["domains"][1]["id"], 1);
}

/// Guards against guessing the outcome when the store's answer is lost: it must be read back.
/// If the store cannot be reached at all, the command must fail.
#[test]
fn outcome_is_read_back_if_the_answer_is_lost() {
    let (store, _pool) = store();
    run(&store, &["submit", "--yes", &example("weilheim.jsonc")]);
    let file = edited("\"slots\": 5", "\"slots\": 6");

    store.handle().drop_next_response();
    let (status, outcome) =
        run(&store, &["submit", "--yes", &file.path().display().to_string()]);
    store.handle().start_outage(Outage::Refuse);
    let (away, failed) = run(&store, &["submit", "--yes", &example("weilheim.jsonc")]);

    assert_eq!((status, &outcome["outcome"]), (0, &"took-effect".into()));
    assert!(outcome["message"].as_str().is_some_and(|text| text.contains("read back")));
    assert_eq!((away, &failed["status"]), (1, &"failed".into()));
}

/// Guards against `--wait` ending before every daemon has the change, or never ending.
#[test]
fn wait_polls_every_daemon() {
    let (store, _pool) = store();
    let weilheim = example("weilheim.jsonc");
    let (behind, ahead) = (daemon(&[0, 0, 99]), daemon(&[99]));
    let admin = format!("{behind},{ahead}");

    let (status, report) =
        run(&store, &["submit", "--yes", "--wait", "--admin", &admin, &weilheim]);

    assert_eq!((status, &report["in_force"]), (0, &true.into()));
    let stuck = daemon(&[0; 100]).to_string();
    let out = ["domain", "out", "raum-nord", "--yes", "--wait", "--timeout", "1"];
    let (status, report) = run(&store, &[&out[..], &["--admin", &stuck]].concat());
    assert_eq!((status, &report["in_force"]), (3, &false.into()));
}
