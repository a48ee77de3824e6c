//! Receives datagrams until the socket fails.

use std::io;
use std::net::SocketAddr;

use lentilreach::process::link::{Link, MAX_DATAGRAM_LEN, is_transient};

use crate::process::metric;

/// Calls `handle` for each datagram received on a socket. Only returns if the socket
/// fails.
pub async fn run<L: Link>(
    link: L,
    side: &'static str,
    mut handle: impl FnMut(SocketAddr, &mut [u8]) + Send,
) {
    let mut buffer = [0; MAX_DATAGRAM_LEN];
    loop {
        match link.receive(&mut buffer).await {
            Ok((length, from)) => handle(from, &mut buffer[..length]),
            Err(error) if is_transient(&error) => {}
            Err(error) => return log_failure(side, &error),
        }
    }
}

/// Counts a datagram that is dropped because it is invalid.
pub fn count_invalid(reason: &'static str) {
    metric::count_labelled(&metric::INVALID, reason);
    log::warn!(target: "invalid", cause = reason; "datagram dropped");
}

/// Logs that a socket has failed.
fn log_failure(side: &'static str, error: &io::Error) {
    log::error!(target: "socket", side = side, cause:% = error; "socket failed");
}
