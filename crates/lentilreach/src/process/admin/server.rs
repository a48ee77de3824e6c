//! HTTP/1.1 server for the admin endpoint and the endpoints of other front ends.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future::{or, pending};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE};
use http::{Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::process::admin::{Admin, OVERWRITTEN_HEADER, Reply, Source};

/// Maximum number of concurrent connections; others wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 32;

/// Maximum length of a request's head; a longer one gets status 431.
const MAX_HEAD_BYTES: usize = 16 * 1_024;

/// Timeout for reading a request's head, also for the next one on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Default limit for the lifetime of a connection, see [`Handler::connection_timeout`].
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for requests to finish after the server was asked to stop.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

/// Delay before accepting again after an error of the listener, for example when no file
/// descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum length of a request's body; a longer one gets status 413.
const MAX_BODY_BYTES: usize = 64 * 1_024;

/// Answers the requests to an endpoint.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, method: &Method, uri: &Uri, body: &[u8]) -> Reply;

    /// Maximum lifetime of a connection, so that clients that do not read responses
    /// cannot occupy the available connections.
    fn connection_timeout(&self) -> Duration {
        CONNECTION_TIMEOUT
    }
}

impl<S: Source> Handler for Admin<S> {
    fn answer(&self, method: &Method, uri: &Uri, _: &[u8]) -> Reply {
        Admin::answer(self, method, uri)
    }
}

/// A server that is bound to its address.
#[derive(Debug)]
pub struct Server {
    /// Accepts connections.
    listener: TcpListener,
    /// The bound address.
    local: SocketAddr,
}

impl Server {
    /// Binds the address; port 0 selects a free port. The server has no authentication.
    ///
    /// # Errors
    /// If the address is in use or not on this machine.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let local = listener.local_addr()?;
        Ok(Self { listener, local })
    }

    /// The bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.local
    }

    /// Serves until `stop` completes, then closes idle connections and allows 2 s for
    /// running requests. Returns the number of connections that were still open after
    /// that and aborted.
    pub async fn serve<H: Handler>(
        self,
        handler: H,
        stop: impl Future<Output = ()>,
    ) -> usize {
        let mut stop = pin!(stop);
        let (stop_guard, server_stop) = async_channel::bounded::<()>(1);
        let mut connections = FuturesUnordered::new();
        loop {
            let has_capacity = connections.len() < MAX_CONNECTIONS;
            let stop_requested = async {
                stop.as_mut().await;
                Wakeup::StopRequested
            };
            let closed = async {
                match connections.next().await {
                    Some(()) => Wakeup::Closed,
                    None => pending().await,
                }
            };
            let accepted = async {
                if !has_capacity {
                    pending::<()>().await;
                }
                Wakeup::Accepted(self.listener.accept().await)
            };
            match or(stop_requested, or(closed, accepted)).await {
                Wakeup::StopRequested => break,
                Wakeup::Closed => {}
                Wakeup::Accepted(Ok((stream, _))) => {
                    connections.push(serve_connection(
                        &handler,
                        stream,
                        server_stop.clone(),
                    ));
                }
                Wakeup::Accepted(Err(error)) => {
                    log::warn!(
                        "endpoint {}: failed to accept a connection: {error}",
                        self.local
                    );
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(self.listener);
        drop(stop_guard);
        let all_closed = async { while connections.next().await.is_some() {} };
        or(all_closed, sleep(SHUTDOWN_GRACE)).await;
        connections.len()
    }
}

/// Why the accept loop wakes up.
enum Wakeup {
    /// The server was asked to stop.
    StopRequested,
    /// A connection closed.
    Closed,
    /// A client connected, or accepting failed.
    Accepted(io::Result<(TcpStream, SocketAddr)>),
}

/// Serves one connection until it closes, its lifetime ends, or `server_stop` is closed.
async fn serve_connection<H: Handler>(
    handler: &H,
    stream: TcpStream,
    server_stop: Receiver<()>,
) {
    let service = service_fn(async |request: http::Request<hyper::body::Incoming>| {
        let (head, body) = request.into_parts();
        let reply = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => handler.answer(&head.method, &head.uri, &body.to_bytes()),
            Err(_) => {
                Reply::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n")
            }
        };
        Ok::<_, Infallible>(to_response(reply))
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = async {
        // Errors are caused by the client, which gets an error status where possible.
        let _ = connection.as_mut().await;
        true
    };
    let stop = async {
        let _ = server_stop.recv().await;
        false
    };
    let expired = async {
        sleep(handler.connection_timeout()).await;
        true
    };
    if !or(served, or(stop, expired)).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Waits for a duration.
async fn sleep(time: Duration) {
    Timer::after(time).await;
}

/// Converts a reply to an HTTP response.
fn to_response(reply: Reply) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, reply.content_type.as_str())
        .header(CACHE_CONTROL, "no-store");
    if reply.status == StatusCode::METHOD_NOT_ALLOWED {
        builder = builder.header(ALLOW, "GET, HEAD");
    }
    if let Some(overwritten) = reply.overwritten {
        builder = builder.header(OVERWRITTEN_HEADER, overwritten);
    }
    builder.body(Full::new(reply.body.into())).expect("all headers are valid")
}
