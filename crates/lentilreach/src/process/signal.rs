//! Handling of the signals that ask the process to stop or to reload its settings.

use std::io;

use async_signal::Signals;
use futures_lite::StreamExt;

/// A received signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, which the platform sends to stop the process.
    Terminate,
    /// SIGINT, which a terminal sends to stop the process.
    Interrupt,
    /// SIGHUP: the settings file has changed. Received only with [`Listener::with_reload`].
    Reload,
}

/// Catches SIGTERM and SIGINT, and optionally SIGHUP, from its creation on.
///
/// Create it before the first await of the daemon: an earlier signal ends the process
/// immediately.
#[derive(Debug)]
pub struct Listener {
    /// The registered signals.
    signals: Signals,
}

impl Listener {
    /// Registers handlers for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// If the system refuses the registration.
    pub fn new() -> io::Result<Self> {
        use async_signal::Signal::{Int, Term};
        Ok(Self { signals: Signals::new([Term, Int])? })
    }

    /// Registers handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// If the system refuses the registration.
    pub fn with_reload() -> io::Result<Self> {
        use async_signal::Signal::{Hup, Int, Term};
        Ok(Self { signals: Signals::new([Term, Int, Hup])? })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    /// If the system reports an error for the pipe that carries signals.
    pub async fn wait(&mut self) -> io::Result<Signal> {
        match self.signals.next().await {
            Some(Ok(async_signal::Signal::Int)) => Ok(Signal::Interrupt),
            Some(Ok(async_signal::Signal::Hup)) => Ok(Signal::Reload),
            Some(Ok(_)) => Ok(Signal::Terminate),
            Some(Err(error)) => Err(error),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
