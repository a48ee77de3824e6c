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
    /// While a call or watch is open, the peer is pinged after each `ping`; without an answer
    /// for one third of that time the connection counts as lost. The task ends when the last
    /// clone of the channel and the last stream are dropped.
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

    /// Always ready: a closed connection is reported by the call, because the generated
    /// clients drop the kind of an error that is reported here.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Fault>> {
        Poll::Ready(Ok(()))
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
impl<F> hyper::rt::Executor<F> for Pool
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.spawn(future).detach();
    }
}
