//! Checks whether a process listens at an address.

use std::io;
use std::net::SocketAddr;

use futures_lite::future::or;
use smol::net::TcpStream;

use super::sleep;

/// Time within which a system on the same machine accepts or refuses a connection, in
/// milliseconds.
const TIMEOUT_MS: u64 = 100;

/// Whether the system refuses connections to an address on this machine, because no process
/// listens there. Without an answer in time, nothing is known.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connect = async {
        let connected = TcpStream::connect(address).await;
        connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    };
    let timeout = async {
        sleep(TIMEOUT_MS).await;
        false
    };
    or(connect, timeout).await
}
