//! gRPC server of the stand-in store.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_io::Async;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use smol::Task;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tonic::body::Body;
use tower_service::Service as _;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::proto::etcdserverpb::kv_server::KvServer;
use lentilreach::process::store::proto::etcdserverpb::lease_server::LeaseServer;
use lentilreach::process::store::proto::etcdserverpb::watch_server::WatchServer;

use super::handle::Handle;
use super::service::Service;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 128;

/// HTTP/2 flow control window in bytes: room for a value of the maximum size plus framing.
const WINDOW_BYTES: u32 = 2 << 20;

/// A listening store server. Dropping it closes its connections.
#[derive(Debug)]
pub struct Server {
    /// Access to counters and fault injection.
    handle: Handle,
    /// The listening address.
    address: SocketAddr,
    /// Accepts connections and owns the tasks that serve them.
    _task: Task<()>,
}

impl Server {
    /// Starts listening on an address.
    pub(super) fn start(
        handle: Handle,
        address: SocketAddr,
        pool: &Pool,
    ) -> io::Result<Self> {
        if !address.ip().is_loopback() {
            let message =
                "the stand-in store has no authentication: address must be loopback";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        // Reserves the port while connections are refused, so that no other process takes it.
        let reservation = bind(address)?;
        let address =
            reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        let listener = listen(address)?;
        let acceptor = Acceptor {
            handle: handle.clone(),
            address,
            pool: pool.clone(),
            _reservation: reservation,
        };
        let task = pool.spawn(async move {
            if let Err(error) = acceptor.run(listener).await {
                log::error!("stand-in store at {address} stopped listening: {error}");
            }
        });
        Ok(Self { handle, address, _task: task })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Access to counters and fault injection.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

/// Accepts connections.
#[derive(Debug)]
struct Acceptor {
    /// Access to counters and fault injection.
    handle: Handle,
    /// The listening address.
    address: SocketAddr,
    /// Runs the connection tasks.
    pool: Pool,
    /// A socket bound to the address but not listening, which reserves the port.
    _reservation: Socket,
}

impl Acceptor {
    /// Listens, and closes the listener while connections are refused.
    async fn run(&self, listener: Async<TcpListener>) -> io::Result<()> {
        let mut listener = listener;
        loop {
            future::or(self.accept(&listener), async {
                self.handle.wait_until(Handle::is_refusing).await;
                Ok(())
            })
            .await?;
            drop(listener);
            self.handle.wait_until(|handle| !handle.is_refusing()).await;
            listener = listen(self.address)?;
        }
    }

    /// Accepts connections. Dropping the future closes all of them.
    async fn accept(&self, listener: &Async<TcpListener>) -> io::Result<()> {
        let mut connections: Vec<Task<()>> = Vec::new();
        loop {
            let (stream, _) = listener.accept().await?;
            connections.retain(|connection| !connection.is_finished());
            let connection = serve(self.handle.clone(), self.pool.clone(), stream);
            connections.push(self.pool.spawn(connection));
        }
    }
}

/// Serves a connection until the client or an injected fault closes it.
async fn serve(handle: Handle, pool: Pool, stream: Async<TcpStream>) {
    let epoch = handle.epoch();
    if stream.get_ref().set_nodelay(true).is_err() || handle.is_refusing() {
        return;
    }
    let (close, closed) = async_channel::bounded(1);
    let service = Service::new(handle.clone(), close);
    let routes = service_fn(move |request| route(service.clone(), request));
    let connection = async {
        // An error means that the client disconnected, which needs no handling.
        let _ = http2::Builder::new(pool)
            .timer(SmolTimer::new())
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .serve_connection(FuturesIo::new(stream), routes)
            .await;
    };
    let disconnected = handle.wait_until(|handle| handle.epoch() != epoch);
    let close_requested = async {
        let _ = closed.recv().await;
    };
    future::or(connection, future::or(disconnected, close_requested)).await;
}

/// Routes a request to the gRPC service that its path names.
async fn route(
    service: Service,
    request: http::Request<Incoming>,
) -> Result<http::Response<Body>, Infallible> {
    let service_name = request.uri().path().split('/').nth(1).unwrap_or_default();
    match service_name {
        "etcdserverpb.KV" => KvServer::new(service).call(request).await,
        "etcdserverpb.Lease" => LeaseServer::new(service).call(request).await,
        "etcdserverpb.Watch" => WatchServer::new(service).call(request).await,
        _ => Ok(tonic::Status::unimplemented("unknown service").into_http()),
    }
}

/// Binds a socket with address and port reuse, so that several can share the address.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Listens on an address that a socket from [`bind`] reserves.
fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}
