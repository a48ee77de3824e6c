//! The daemon's behaviour towards operators: exit statuses, readiness and graceful stop.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Limit for waiting on a condition, far longer than any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A loopback address that no concurrent run of the test uses.
fn ip() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.max(1), b, c)
}

/// The admin address of the daemon.
fn admin() -> SocketAddr {
    SocketAddr::from((ip(), 9_101))
}

/// Writes settings, and the files that they name, into a directory; returns the path of
/// the settings.
fn settings(dir: &Path) -> PathBuf {
    let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]);
    let certified = certified.expect("a certificate");
    fs::write(dir.join("chain.pem"), certified.cert.pem()).expect("writable");
    fs::write(dir.join("key.pem"), certified.signing_key.serialize_pem())
        .expect("writable");
    fs::write(dir.join("secret"), "the secret of the fixture").expect("writable");
    let text = format!(
        r#"{{ "name": "a1", "organisation": "weilheim", "domain": "nord", "threads": 2,
  "listen": {{ "envelope": "{ip}:7100", "exchange": "{ip}:7101", "admin": "{admin}" }},
  "peers": ["{ip}:7001"], "set": "abo", "server": "127.0.0.1:1",
  "certificate": "{dir}/chain.pem", "certificate_key": "{dir}/key.pem",
  "fleet_secret": "{dir}/secret" }}"#,
        ip = ip(),
        admin = admin(),
        dir = dir.display()
    );
    let path = dir.join("settings.jsonc");
    fs::write(&path, text).expect("writable");
    path
}

/// The command that starts the daemon with a settings file.
fn daemon(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach-agent"));
    command.arg("--settings").arg(settings).env("RUST_LOG", "warn");
    command
}

/// Fetches `/ready`; returns the whole response, or none if the daemon does not listen.
fn fetch_readiness() -> Option<String> {
    let mut stream = TcpStream::connect(admin()).ok()?;
    stream
        .write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Waits until the response to `/ready` contains a text.
fn wait_for_readiness(text: &str) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !fetch_readiness().is_some_and(|answer| answer.contains(text)) {
        assert!(Instant::now() < end, "never {text}: {:?}", fetch_readiness());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Kills the daemon when dropped, also when the test fails.
struct Guard(Child);

impl Drop for Guard {
    fn drop(&mut self) {
        // Errors are ignored: the daemon may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against an invalid certificate that only callers notice, and against exit
/// statuses that do not distinguish invalid settings from a failure at run time.
#[test]
fn exit_statuses_distinguish_invalid_input_from_failure() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = settings(dir.path());
    let invalid = dir.path().join("invalid.jsonc");
    fs::write(&invalid, "{}").expect("writable");

    let checked = daemon(&path).arg("--check").output().expect("it starts");
    let rejected = daemon(&invalid).output().expect("it starts");
    fs::write(dir.path().join("chain.pem"), "no certificate").expect("writable");
    let failed = daemon(&path).output().expect("it starts");

    assert_eq!(checked.status.code(), Some(0), "{checked:?}");
    assert_eq!(rejected.status.code(), Some(2), "{rejected:?}");
    assert_eq!(failed.status.code(), Some(1), "{failed:?}");
    let message = String::from_utf8_lossy(&failed.stderr);
    assert!(message.contains("step=certificate"), "{message}");
}

/// Guards against an agent that reports ready before it has a configuration, and against
/// one that stops without draining.
#[test]
fn agent_waits_for_a_configuration_and_drains_on_sigterm() {
    let dir = tempfile::tempdir().expect("a directory");
    let child = daemon(&settings(dir.path())).spawn().expect("the daemon starts");
    let mut child = Guard(child);
    wait_for_readiness("waiting for the configuration");

    let pid = child.0.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs");
    assert!(sent.success());

    wait_for_readiness("the process is stopping");
    let status = child.0.wait().expect("a status");
    assert_eq!(status.code(), Some(0));
}
