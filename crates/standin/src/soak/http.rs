//! Calls over HTTP/1.1, each on a connection of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::or;
use smol::io::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::TcpStream;

/// Time after which a call has failed: a process that stands still doesn't answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Makes a call; returns whether it was answered with status 200.
///
/// # Errors
/// If there is no answer within a second.
pub async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<bool> {
    let timeout = async {
        Timer::after(TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(exchange(to, method, path, body), timeout).await
}

/// Sends the call and reads the first line of the answer.
async fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<bool> {
    let mut stream = TcpStream::connect(to).await?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n");
    let text = format!("{head}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}
