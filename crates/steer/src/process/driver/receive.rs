//! Receives datagrams until the socket fails.

use std::io;
use std::net::SocketAddr;

use lentilreach::process::link::{Link, MAX_DATAGRAM, is_passing};

use crate::process::metric;

/// Hands each datagram of a link to `handle`. Ends only if the socket fails.
pub async fn run<L: Link>(
    link: L,
    side: &'static str,
    mut handle: impl FnMut(SocketAddr, &mut [u8]) + Send,
) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        match link.receive(&mut buffer).await {
            Ok((length, from)) => handle(from, &mut buffer[..length]),
            Err(error) if is_passing(&error) => {}
            Err(error) => return log_failure(side, &error),
        }
    }
}

/// Counts a datagram that is dropped because it cannot be read.
pub fn count_invalid(reason: &'static str) {
    metric::count_labelled(&metric::INVALID, reason);
    log::warn!(target: "invalid", cause = reason; "datagram dropped");
}

/// Records that a socket does not work any more.
fn log_failure(side: &'static str, error: &io::Error) {
    log::error!(target: "socket", side = side, cause:% = error; "socket failed");
}
