//! The daemon with the front end for segments: its behaviour towards operators.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit for waiting on a condition, far longer than any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A loopback address that no concurrent test uses.
fn ip(test: u8) -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a ^ 0x40 | test, b, c)
}

/// Writes settings that name an address where no store listens; returns the path.
fn settings(dir: &Path, ip: Ipv4Addr, memory_mb: &str) -> PathBuf {
    let text = format!(
        r#"{{ // The front end.
  "front_end": "segments", "name": "b1", "domain": "nord",
  "listen": {{ "callers": "{ip}:8172", "nodes": "{ip}:7720", "ready": "{ip}:8167" }},
  "store": "{ip}:9", "callers_port_of": "{ip}:8172", "memory_mb": {memory_mb},
  "flow_s": 60, "stop_s": 0.2, "threads": 1 }}"#
    );
    let path = dir.join("settings.jsonc");
    fs::write(&path, text).expect("writable");
    path
}

/// Starts the daemon with its standard output in a file; returns the path of that file.
fn start(dir: &Path, settings: &Path) -> (Child, PathBuf) {
    let path = dir.join("lines");
    let lines = fs::File::create(&path).expect("writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach-balancer"));
    command.arg("--settings").arg(settings).stdout(Stdio::from(lines));
    (command.spawn().expect("the daemon starts"), path)
}

/// Sends a signal to the daemon.
fn signal(daemon: &Child, name: &str) {
    let sent = Command::new("kill").args(["-s", name, &daemon.id().to_string()]).status();
    assert!(sent.expect("kill runs").success());
}

/// Waits until `find` returns a value.
fn wait<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what}: not within {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Fetches a path; returns the whole response, or none while nothing listens.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Guards against a process that gets traffic without a configuration, against one that
/// exits when it reloads invalid settings, and against log lines that are not JSON
/// objects.
#[test]
fn it_runs_without_a_store_and_keeps_its_settings() {
    let dir = tempfile::tempdir().expect("a directory");
    let ip = ip(1);
    let path = settings(dir.path(), ip, "100");
    let (mut daemon, lines) = start(dir.path(), &path);
    let ready = SocketAddr::from((ip, 8_167));

    let answer = wait("it listens", || get(ready, "/lentilreach/readiness"));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.ends_with("no configuration has been read\n"), "{answer}");
    assert!(get(ready, "/metrics").expect("served").starts_with("HTTP/1.1 200"));

    settings(dir.path(), ip, "\"much\"");
    signal(&daemon, "HUP");
    let text = || fs::read_to_string(&lines).expect("readable");
    wait("the settings are rejected", || text().contains("\"rejected\"").then_some(()));
    wait("the store is lost", || text().contains("\"store\"").then_some(()));
    signal(&daemon, "TERM");
    let status = daemon.wait().expect("the daemon ends");

    assert_eq!(status.code(), Some(0));
    let text = text();
    for event in ["start", "store", "reload", "stop"] {
        assert!(text.contains(&format!("\"event\":\"{event}\"")), "{event}: {text}");
    }
    let is_object = |line: &str| line.starts_with('{') && line.ends_with('}');
    assert!(text.lines().all(is_object), "{text}");
}

/// Guards against a start with invalid settings, and against an error message without the
/// location of the mistake.
#[test]
fn it_rejects_invalid_settings_at_start() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = settings(dir.path(), ip(2), "0");

    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach-balancer"));
    let output = command.arg("--settings").arg(&path).output().expect("it starts");

    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    assert!(text.contains("settings.jsonc:4:"), "{text}");
    assert!(text.contains("memory_mb is 0"), "{text}");
}
