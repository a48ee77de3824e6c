//! Serves HTTP/1.1 endpoints: the admin endpoint, and those of other front ends.

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

use crate::process::admin::{Admin, OVERWRITTEN, Reply, Source};

/// Connections served at the same time; others wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 32;

/// Bytes of a request's head at most; a longer one gets status 431.
const MAX_HEAD: usize = 16 * 1_024;

/// Time for a request's head, also for the next one on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for a whole connection unless the handler says otherwise.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for running requests after the stop.
const GRACE: Duration = Duration::from_secs(2);

/// Pause after the listener reported an error, as when file descriptors run out.
const PAUSE: Duration = Duration::from_millis(100);

/// Bytes of a request's body at most; a longer one gets status 413.
const MAX_BODY: usize = 64 * 1_024;

/// Answers the requests of an endpoint.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, method: &Method, uri: &Uri, body: &[u8]) -> Reply;

    /// Time for a whole connection, so that readers that do not read hold no place for long.
    fn connection_timeout(&self) -> Duration {
        CONNECTION_TIMEOUT
    }
}

impl<S: Source> Handler for Admin<S> {
    fn answer(&self, method: &Method, uri: &Uri, _: &[u8]) -> Reply {
        Admin::answer(self, method, uri)
    }
}

/// A bound endpoint.
#[derive(Debug)]
pub struct Server {
    /// Accepts connections.
    listener: TcpListener,
    /// Its address.
    local: SocketAddr,
}

impl Server {
    /// Binds the endpoint. Port 0 takes a free port. The endpoint has no authentication.
    ///
    /// # Errors
    /// If the address is in use or not on this machine.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let local = listener.local_addr()?;
        Ok(Self { listener, local })
    }

    /// The bound address.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Serves until `stop` is ready, then ends idle connections and gives running requests
    /// 2 s. Returns the number of connections that were cut off after that.
    pub async fn serve<H: Handler>(
        self,
        handler: H,
        stop: impl Future<Output = ()>,
    ) -> usize {
        let mut stop = pin!(stop);
        let (running, stopped) = async_channel::bounded::<()>(1);
        let mut open = FuturesUnordered::new();
        loop {
            let free = open.len() < MAX_CONNECTIONS;
            let ended = async {
                stop.as_mut().await;
                Step::Stop
            };
            let closed = async {
                match open.next().await {
                    Some(()) => Step::Closed,
                    None => pending().await,
                }
            };
            let accepted = async {
                if !free {
                    pending::<()>().await;
                }
                Step::Accepted(self.listener.accept().await)
            };
            match or(ended, or(closed, accepted)).await {
                Step::Stop => break,
                Step::Closed => {}
                Step::Accepted(Ok((stream, _))) => {
                    open.push(converse(&handler, stream, stopped.clone()));
                }
                Step::Accepted(Err(error)) => {
                    log::warn!("endpoint {}: accept: {error}", self.local);
                    Timer::after(PAUSE).await;
                }
            }
        }
        drop(self.listener);
        drop(running);
        let drained = async { while open.next().await.is_some() {} };
        or(drained, elapse(GRACE)).await;
        open.len()
    }
}

/// What the accept loop goes on with.
enum Step {
    /// The endpoint stops.
    Stop,
    /// A connection ended.
    Closed,
    /// A caller connected, or could not.
    Accepted(io::Result<(TcpStream, SocketAddr)>),
}

/// Serves one connection until it ends, its time is up, or `stopped` is closed.
async fn converse<H: Handler>(handler: &H, stream: TcpStream, stopped: Receiver<()>) {
    let service = service_fn(async |request: http::Request<hyper::body::Incoming>| {
        let (head, body) = request.into_parts();
        let reply = match Limited::new(body, MAX_BODY).collect().await {
            Ok(body) => handler.answer(&head.method, &head.uri, &body.to_bytes()),
            Err(_) => {
                Reply::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n")
            }
        };
        Ok::<_, Infallible>(response(reply))
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = async {
        // An error here is the peer's: it is told by status where possible.
        let _ = connection.as_mut().await;
        true
    };
    let stop = async {
        let _ = stopped.recv().await;
        false
    };
    let expired = async {
        elapse(handler.connection_timeout()).await;
        true
    };
    if !or(served, or(stop, expired)).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Waits.
async fn elapse(time: Duration) {
    Timer::after(time).await;
}

/// Translates a reply into HTTP.
fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, reply.content.as_str())
        .header(CACHE_CONTROL, "no-store");
    if reply.status == StatusCode::METHOD_NOT_ALLOWED {
        response = response.header(ALLOW, "GET, HEAD");
    }
    if let Some(overwritten) = reply.overwritten {
        response = response.header(OVERWRITTEN, overwritten);
    }
    response.body(Full::new(reply.body.into())).expect("all headers are valid")
}
