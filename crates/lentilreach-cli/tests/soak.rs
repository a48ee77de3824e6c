//! `lentilreach soak`: it ends the processes that it started.

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit for waiting on a condition, far longer than any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of balancers and agents of a run.
const PROCESSES: usize = 2 + 6;

/// Writes programs in place of the daemons, which never become ready. They append their ids to
/// the file `pids`.
fn write_programs(dir: &Path) {
    for name in ["lentilreach-balancer", "lentilreach-agent"] {
        let path = dir.join(name);
        let pids = dir.join("pids");
        let text = format!("#!/bin/sh\necho $$ >> {}\nexec sleep 1000\n", pids.display());
        fs::write(&path, text).expect("writable");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("own file");
    }
}

/// Starts a soak with the programs of a folder.
fn soak(dir: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilreach"));
    command.args(["soak", "--balancers", "2", "--agents", "6", "--programs"]).arg(dir);
    command.arg("--logs").arg(dir).stderr(Stdio::null()).stdout(Stdio::null());
    command.spawn().expect("it starts")
}

/// The ids in the file `pids`.
fn pids(dir: &Path) -> Vec<String> {
    let text = fs::read_to_string(dir.join("pids")).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

/// Guards against daemons that are left behind when a run is interrupted.
#[test]
fn interrupted_runs_leave_no_process() {
    for signal in ["INT", "TERM"] {
        let dir = tempfile::tempdir().expect("a directory");
        write_programs(dir.path());
        let mut child = soak(dir.path());
        let end = Instant::now() + WAIT_TIMEOUT;
        while pids(dir.path()).len() < PROCESSES {
            assert!(Instant::now() < end, "only {:?} started", pids(dir.path()));
            std::thread::sleep(Duration::from_millis(20));
        }

        let pid = child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
        let status = child.wait().expect("a status");

        assert_eq!(status.code(), Some(1), "{signal}");
        let left: Vec<_> =
            pids(dir.path()).into_iter().filter(|pid| is_sleeping(pid)).collect();
        assert_eq!(left, Vec::<String>::new(), "{signal}");
    }
}

/// Guards against a missing program that is taken for a broken promise or a success.
#[test]
fn missing_programs_are_named() {
    let dir = tempfile::tempdir().expect("a directory");
    let output = Command::new(env!("CARGO_BIN_EXE_lentilreach"))
        .args(["soak", "--programs"])
        .arg(dir.path())
        .output()
        .expect("it starts");

    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("step=start peer=balancer-0"), "{message}");
}

/// Whether a process still is one of the programs. Its id may belong to another one by now.
fn is_sleeping(pid: &str) -> bool {
    let line = fs::read_to_string(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    line.starts_with("sleep")
}
