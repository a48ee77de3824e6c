//! Waits for the signals that ask the process to stop.

use std::io;

use async_signal::Signals;
use futures_lite::StreamExt;

/// What the process is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, from the platform.
    Terminate,
    /// SIGINT, from a terminal.
    Interrupt,
    /// SIGHUP: the settings file has changed. Only with [`Stop::with_reload`].
    Reload,
}

/// Catches SIGTERM and SIGINT from its creation on.
///
/// Make it before the first await of the daemon: a signal that comes earlier ends the
/// process at once.
#[derive(Debug)]
pub struct Stop {
    /// The registered signals.
    signals: Signals,
}

impl Stop {
    /// Registers the signals.
    ///
    /// # Errors
    /// If the system refuses the registration.
    pub fn new() -> io::Result<Self> {
        use async_signal::Signal::{Int, Term};
        Ok(Self { signals: Signals::new([Term, Int])? })
    }

    /// Registers the signals, and the one that the settings file has changed.
    ///
    /// # Errors
    /// If the system refuses the registration.
    pub fn with_reload() -> io::Result<Self> {
        use async_signal::Signal::{Hup, Int, Term};
        Ok(Self { signals: Signals::new([Term, Int, Hup])? })
    }

    /// Waits for the next of the signals. Sleeps until one arrives.
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
