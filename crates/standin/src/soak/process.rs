//! A daemon as a separate process. Only its own process is ever signalled, by its id.

use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};

/// Interval at which the end of a process is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the signal to stop until a process is killed, in seconds.
pub const STOP_S: u64 = 6;

/// A daemon that can be started many times.
#[derive(Debug)]
pub struct Process {
    /// The program.
    program: PathBuf,
    /// Its settings file.
    settings: PathBuf,
    /// The file that its output is appended to.
    log: PathBuf,
    /// The running process.
    state: Mutex<State>,
}

/// The running process.
#[derive(Debug)]
struct State {
    /// The process, if there is one.
    child: Option<Child>,
    /// Whether the run is over, so that no other process may be started.
    is_over: bool,
}

impl Process {
    /// Writes the settings and starts the daemon.
    ///
    /// # Errors
    /// If a file can't be written or the program can't be started.
    pub fn start(
        program: PathBuf,
        folder: &std::path::Path,
        name: &str,
        settings: &str,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings)?;
        let log = folder.join(format!("{name}.log"));
        let state = Mutex::new(State { child: None, is_over: false });
        let process = Self { program, settings: path, log, state };
        process.restart()?;
        Ok(process)
    }

    /// Starts the daemon after it has ended, unless the run is over.
    ///
    /// # Errors
    /// If the log can't be opened or the program can't be started.
    pub fn restart(&self) -> io::Result<()> {
        let mut state = self.state.lock();
        state.kill();
        if state.is_over {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        let error =
            |error| io::Error::other(format!("{}: {error}", self.program.display()));
        state.child = Some(command.spawn().map_err(error)?);
        Ok(())
    }

    /// Makes the process stand still.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets the process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop and waits until it has; kills it if that takes too long.
    pub async fn stop(&self) {
        self.signal(Signal::TERM);
        let polls = Duration::from_secs(STOP_S).as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            if self.has_ended() {
                break;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        self.kill();
    }

    /// Kills the process if it runs, and waits for its end.
    pub fn kill(&self) {
        self.state.lock().kill();
    }

    /// Kills the process, and lets no other one be started.
    pub fn end(&self) {
        let mut state = self.state.lock();
        state.is_over = true;
        state.kill();
    }

    /// Whether there is no process, or it has ended by itself.
    fn has_ended(&self) -> bool {
        let child = &mut self.state.lock().child;
        child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal. The id can't belong to another process: an ended process keeps it
    /// until it has been waited for, and the lock is held meanwhile.
    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.state.lock().child {
            // An error means that the process has ended.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }
}

impl State {
    /// Kills the process if it runs, and waits for its end.
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.kill();
    }
}
