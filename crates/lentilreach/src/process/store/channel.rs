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

/// Flow control window of a stream and of the connection, in bytes: twice the size of the
/// largest value, as an answer also holds keys and other values.
const WINDOW_BYTES: u32 = 2 << 20;

/// A connection for the generated gRPC clients.
#[derive(Debug, Clone)]
pub(super) struct Channel {
    /// Sends requests to the connection's task.
    sender: SendRequest<Body>,
}

impl Channel {
    /// Connects and starts the connection's task on the pool.
    ///
    /// While a call or watch is open, a ping is sent at every interval `ping`. The connection
    /// counts as lost if the answer takes longer than one third of the interval. The task ends
    /// when the last clone of the channel and the last stream are dropped.
    pub(super) async fn connect(
        peer: SocketAddr,
        ping: Duration,
        pool: &Pool,
    ) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(peer).await?;
        stream.get_ref().set_nodelay(true)?;
        let (sender, connection) = http2::Builder::new(pool.clone())
            .timer(SmolTimer::new())
            .keep_alive_interval(ping)
            .keep_alive_timeout(ping / 3)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        pool.spawn(async move {
            // The error is also returned by each open call.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = Fault;
    // The type of hyper's future cannot be named. An allocation per call is acceptable, as
    // store calls are control traffic.
    type Future = BoxFuture<Self::Response, Fault>;

    /// Always ready. A closed connection is reported by the call instead, because the generated
    /// clients discard the type of an error that is returned here.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Fault>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let answer = self.sender.try_send_request(request);
        Box::pin(async move {
            answer.await.map_err(|mut error| {
                // hyper returns the request if no byte of it was written.
                let is_unsent = error.take_message().is_some();
                let cause = error.into_error();
                if is_unsent { Fault::NotSent(cause) } else { Fault::Broken(cause) }
            })
        })
    }
}

/// The reason why a request got no answer.
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

/// Runs hyper's tasks on the worker pool.
impl<F> hyper::rt::Executor<F> for Pool
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.spawn(future).detach();
    }
}
