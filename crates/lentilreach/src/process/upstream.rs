//! HTTP/1.1 connections to the backend server of an agent.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use async_io::Async;
use bytes::Bytes;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;

use crate::process::pool::Pool;
use crate::request::serve::Upstream;

/// Maximum number of idle connections. More than the number of slots are never needed.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Sends requests to one backend server over persistent connections.
#[derive(Debug, Clone)]
pub struct Http {
    /// Shared by all request tasks.
    shared: Arc<Shared>,
}

/// State of an [`Http`].
#[derive(Debug)]
struct Shared {
    /// Where the backend server listens.
    address: SocketAddr,
    /// Runs the connections.
    pool: Pool,
    /// Idle connections, the most recently used at the end.
    idle: Mutex<Vec<Connection>>,
    /// Number of open connections, idle or in use.
    open: AtomicUsize,
    /// Notified when the backend server has closed the last open connection.
    closed: async_channel::Sender<()>,
}

/// Sends requests on an open connection.
type Connection = SendRequest<Full<Bytes>>;

impl Http {
    /// Creates a client for a backend server. The receiver is notified when the backend server
    /// has closed the last open connection, which happens on a restart but not when one
    /// connection exceeds its idle timeout.
    pub fn new(address: SocketAddr, pool: Pool) -> (Self, async_channel::Receiver<()>) {
        // One pending notification is enough: a second close adds no information.
        let (closed, receiver) = async_channel::bounded(1);
        let shared = Shared {
            address,
            pool,
            idle: Mutex::default(),
            closed,
            open: AtomicUsize::new(0),
        };
        (Self { shared: Arc::new(shared) }, receiver)
    }

    /// Returns an idle connection or opens a new one.
    async fn connect(&self) -> io::Result<Connection> {
        while let Some(idle) = self.shared.idle.lock().pop() {
            if idle.is_ready() {
                return Ok(idle);
            }
        }
        let stream = Async::<TcpStream>::connect(self.shared.address).await?;
        stream.get_ref().set_nodelay(true)?;
        let closed_by_server = Arc::new(AtomicBool::new(false));
        let socket = Socket { stream, closed_by_server: closed_by_server.clone() };
        let (sender, connection) =
            http1::handshake(FuturesIo::new(socket)).await.map_err(io::Error::other)?;
        let shared = self.shared.clone();
        shared.open.fetch_add(1, Ordering::AcqRel);
        let run = async move {
            let _ = connection.await;
            let last = shared.open.fetch_sub(1, Ordering::AcqRel) == 1;
            if last && closed_by_server.load(Ordering::Acquire) {
                let _ = shared.closed.try_send(());
            }
        };
        self.shared.pool.spawn(run).detach();
        Ok(sender)
    }
}

impl Upstream for Http {
    type Lease = Lease;

    async fn lease(&self) -> io::Result<Lease> {
        let connection = self.connect().await?;
        Ok(Lease { connection: Some(connection), shared: self.shared.clone() })
    }

    async fn call(
        lease: &mut Lease,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let connection = lease.connection.as_mut().expect("set until dropped");
        connection.send_request(request).await
    }
}

/// A connection in use; returned to the idle connections when dropped.
#[derive(Debug)]
pub struct Lease {
    /// Set until dropped.
    connection: Option<Connection>,
    /// The client that it is returned to.
    shared: Arc<Shared>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        let mut idle = self.shared.idle.lock();
        if !connection.is_closed() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}

/// The socket of a connection. Records that the backend server has closed or reset it.
///
/// How the connection ends does not tell who ended it: it also ends when the agent gives up a
/// request or a response, possibly long before the last handle to it is dropped.
#[derive(Debug)]
struct Socket {
    /// The socket.
    stream: Async<TcpStream>,
    /// Set once the end of the stream or an error was read or an error was written.
    closed_by_server: Arc<AtomicBool>,
}

impl Socket {
    /// Records the result of a call if it shows that the backend server closed the connection.
    fn record<T>(&self, result: io::Result<T>, is_end: bool) -> Poll<io::Result<T>> {
        if is_end || result.is_err() {
            self.closed_by_server.store(true, Ordering::Release);
        }
        Poll::Ready(result)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let is_end = !buffer.is_empty() && matches!(read, Ok(0));
        self.record(read, is_end)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buffer));
        self.record(written, false)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
