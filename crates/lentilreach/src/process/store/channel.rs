//! A connection to the store: HTTP/2 over TCP on the worker pool.

use std::fmt::{self, Display, Formatter};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Async;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;
use tonic::codegen::BoxFuture;
use tower_service::Service;

use crate::process::pool::Pool;

/// Time between pings while a watch or call is open. etcd closes connections that ping more
/// often than every 5 s, or without an open stream.
const PING_INTERVAL: Duration = Duration::from_secs(6);

/// Time for the answer to a ping, after which the connection counts as lost.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Flow control window of a stream and of the connection, in bytes: one largest value with
/// room for its neighbours.
const WINDOW: u32 = 2 << 20;

/// A connection that can be called through the generated clients.
#[derive(Debug, Clone)]
pub(super) struct Channel {
    /// Hands requests to the connection's task.
    sender: SendRequest<Body>,
}

impl Channel {
    /// Connects and starts the connection's task on the pool.
    ///
    /// The task ends when the last clone of the channel and the last stream are dropped.
    pub(super) async fn connect(peer: SocketAddr, pool: &Pool) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(peer).await?;
        stream.get_ref().set_nodelay(true)?;
        let (sender, connection) = http2::Builder::new(Spawn(pool.clone()))
            .timer(SmolTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        pool.spawn(async move {
            // Each open call gets the error as well.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Whether the connection is gone.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = Fault;
    // Store calls are control traffic; the future of hyper has no name.
    type Future = BoxFuture<Self::Response, Fault>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Fault>> {
        self.sender.poll_ready(context).map_err(Fault::NotSent)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let answer = self.sender.try_send_request(request);
        Box::pin(async move {
            answer.await.map_err(|mut error| {
                // hyper hands the request back if no byte of it was written.
                let is_unsent = error.take_message().is_some();
                let cause = error.into_error();
                if is_unsent { Fault::NotSent(cause) } else { Fault::Broken(cause) }
            })
        })
    }
}

/// Why a request got no answer.
#[derive(Debug)]
pub(super) enum Fault {
    /// No byte of the request was written.
    NotSent(hyper::Error),
    /// The connection broke after the request may have been written.
    Broken(hyper::Error),
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Broken(cause) => write!(f, "connection lost: {cause}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Lets hyper start its tasks on the worker pool.
#[derive(Debug, Clone)]
struct Spawn(Pool);

impl<F> hyper::rt::Executor<F> for Spawn
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}
