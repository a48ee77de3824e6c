//! The daemon's behaviour towards operators: exit statuses, readiness and graceful stop.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::time::{Duration, Instant};

use lentilreach::process::pool::Pool;
use lentilreach::process::store::Txn;
use lentilreach::version::config::Domains;
use lentilreach_standin::store::{Builder, Server};

/// Limit for waiting on a condition, far longer than any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A loopback address that no concurrent run of the test uses.
fn ip() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.max(1), b, c)
}

/// The admin address of the daemon.
fn admin() -> SocketAddr {
    SocketAddr::from((ip(), 9_100))
}

/// Writes settings and the fleet secret into a directory; returns the path of the
/// settings.
fn settings(dir: &Path, store: SocketAddr) -> PathBuf {
    let secret = dir.join("secret");
    fs::write(&secret, "the secret of the fixture\n").expect("writable");
    let text = format!(
        r#"{{ "name": "b1", "organisation": "weilheim", "domain": "nord", "threads": 2,
  "listen": {{ "service": "{ip}:4433", "envelope": "{ip}:7000", "exchange": "{ip}:7001",
    "admin": "{admin}" }},
  "store": ["{store}"], "fleet_secret": "{secret}" }}"#,
        ip = ip(),
        admin = admin(),
        secret = secret.display()
    );
    let path = dir.join("settings.jsonc");
    fs::write(&path, text).expect("writable");
    path
}

/// The command that starts the daemon with arguments.
fn daemon(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach-balancer"));
    command.args(arguments).env("RUST_LOG", "warn");
    command
}

/// Runs the daemon until it exits.
fn run(arguments: &[&str]) -> Output {
    daemon(arguments).output().expect("the daemon starts")
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

/// Guards against exit statuses that do not distinguish invalid settings from a failure
/// at run time.
#[test]
fn exit_statuses_distinguish_invalid_input_from_failure() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = settings(dir.path(), ([127, 0, 0, 1], 1).into());
    let path = path.to_str().expect("UTF-8");
    let invalid = dir.path().join("invalid.jsonc");
    fs::write(&invalid, r#"{ "nmae": "b1" }"#).expect("writable");

    let checked = run(&["--settings", path, "--check"]);
    let rejected = run(&["--settings", invalid.to_str().expect("UTF-8"), "--check"]);
    let usage = run(&["--unknown"]);
    fs::write(dir.path().join("secret"), "short").expect("writable");
    let failed = run(&["--settings", path]);

    assert_eq!(checked.status.code(), Some(0), "{checked:?}");
    assert_eq!(rejected.status.code(), Some(2), "{rejected:?}");
    assert!(String::from_utf8_lossy(&rejected.stderr).contains("nmae"), "{rejected:?}");
    assert_eq!(usage.status.code(), Some(2), "{usage:?}");
    assert_eq!(failed.status.code(), Some(1), "{failed:?}");
    let message = String::from_utf8_lossy(&failed.stderr);
    assert!(message.contains("step=secret"), "{message}");
    assert!(!message.contains("short\""), "the secret was printed: {message}");
}

/// Guards against a daemon that reports ready without a configuration or while it stops,
/// and against one that does not release its relay slot or exit with status 0 after
/// SIGTERM.
#[test]
fn daemon_is_ready_with_a_configuration_and_stops_on_sigterm() {
    let dir = tempfile::tempdir().expect("a directory");
    let pool = Pool::new(1).expect("threads");
    let store: Server =
        Builder::new().serve(([127, 0, 0, 1], 0).into(), &pool).expect("a free port");
    let path = settings(dir.path(), store.address());
    let path = path.to_str().expect("UTF-8");
    let child = daemon(&["--settings", path]).spawn().expect("the daemon starts");
    let mut child = Guard(child);

    wait_for_readiness("no configuration was submitted yet");
    let domains = Domains::default().with_names(&["nord".into()], None).expect("a name");
    let txn = Txn::new().put("lentilreach/domain", domains.encode());
    store.handle().write(&txn).expect("accepted");
    wait_for_readiness("200 OK");
    let slot = |slot: u8| store.handle().get(&format!("lentilreach/relay/nord/{slot}"));
    assert!(slot(0).or(slot(1)).is_some(), "the daemon holds no relay slot");

    let pid = child.0.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs");
    assert!(sent.success());

    wait_for_readiness("the process is stopping");
    let status = child.0.wait().expect("a status");
    assert_eq!(status.code(), Some(0));
    assert!(slot(0).or(slot(1)).is_none(), "the relay slot was not released");
}
