//! What both daemons do around their bodies: signals, endpoints, the end.

use std::net::SocketAddr;

use async_channel::Sender;
use lentilreach::process::admin::{Handler, Server};
use lentilreach::process::daemon::Error;
use lentilreach::process::input::Errors;
use lentilreach::process::pool::Pool;
use lentilreach::process::signal::{Signal, Stop};
use smol::Task;

/// An endpoint that serves until it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    /// Closed to end it.
    _running: Sender<()>,
    /// Serves.
    _task: Task<usize>,
}

impl Endpoint {
    /// Binds an address and serves it.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start<H: Handler>(
        pool: &Pool,
        address: SocketAddr,
        handler: H,
    ) -> Result<Self, Error> {
        let server = Server::bind(address).await;
        let server = server.map_err(|error| Error::new("listen", address, error))?;
        let (running, stopped) = async_channel::bounded::<()>(1);
        let task = pool.spawn(server.serve(handler, async move {
            // An error means that the channel is closed, which is the signal to stop.
            let _ = stopped.recv().await;
        }));
        Ok(Self { _running: running, _task: task })
    }
}

/// Waits for a signal to stop. At each signal that the settings changed, checks them.
///
/// Addresses and names of a running process do not change; `check` tells what is wrong with
/// the new settings, or that they take effect at the next start.
///
/// # Errors
/// If signals cannot be received.
pub async fn wait<T: PartialEq>(
    signals: &mut Stop,
    own: &T,
    load: impl Fn() -> Result<T, Errors>,
) -> Result<(), Error> {
    loop {
        let signal = signals.wait().await;
        match signal.map_err(|error| Error::new("signal", "system", error))? {
            Signal::Reload => reload(own, load()),
            Signal::Terminate | Signal::Interrupt => return Ok(()),
        }
    }
}

/// Records what became of changed settings.
fn reload<T: PartialEq>(own: &T, loaded: Result<T, Errors>) {
    match loaded {
        Ok(loaded) if loaded == *own => {
            log::info!(target: "reload", outcome = "unchanged"; "settings read again");
        }
        Ok(_) => {
            log::warn!(
                target: "reload", outcome = "deferred";
                "settings changed; they take effect when the process starts again"
            );
        }
        Err(errors) => {
            log::error!(
                target: "reload", outcome = "rejected", cause:% = errors;
                "settings are invalid; those in force stay"
            );
        }
    }
}
