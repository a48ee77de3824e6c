//! The stand-in store over sockets.

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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

/// Flow control window in bytes: one largest value with room for its neighbours.
const WINDOW: u32 = 2 << 20;

/// A listening store. Dropping it closes its connections.
#[derive(Debug)]
pub struct Server {
    /// Counts and faults.
    handle: Handle,
    /// Where it listens.
    address: SocketAddr,
    /// Accepts connections and owns their tasks.
    _task: Task<()>,
}

impl Server {
    /// Listens on an address.
    pub(super) fn start(
        handle: Handle,
        address: SocketAddr,
        pool: &Pool,
    ) -> io::Result<Self> {
        if !address.ip().is_loopback() {
            let message = "the store stand-in lets everyone in; give a loopback address";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        // Holds the port while connections are refused, so that no other process gets it.
        let holder = bind(address)?;
        let address =
            holder.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        let listener = listen(address)?;
        let door =
            Door { handle: handle.clone(), address, pool: pool.clone(), _holder: holder };
        let task = pool.spawn(async move {
            if let Err(error) = door.run(listener).await {
                log::error!("store stand-in at {address} stopped listening: {error}");
            }
        });
        Ok(Self { handle, address, _task: task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts and faults.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

/// Accepts connections.
#[derive(Debug)]
struct Door {
    /// Counts and faults.
    handle: Handle,
    /// Where it listens.
    address: SocketAddr,
    /// Runs the connections.
    pool: Pool,
    /// Bound to the address but not listening.
    _holder: Socket,
}

impl Door {
    /// Listens, except while connections are refused.
    async fn run(&self, listener: Async<TcpListener>) -> io::Result<()> {
        let mut listener = listener;
        loop {
            future::or(self.accept(&listener), async {
                self.handle.until(Handle::is_refusing).await;
                Ok(())
            })
            .await?;
            drop(listener);
            self.handle.until(|handle| !handle.is_refusing()).await;
            listener = listen(self.address)?;
        }
    }

    /// Accepts connections and keeps them until the store refuses them.
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

/// Serves a connection until one side closes it or a fault breaks it.
async fn serve(handle: Handle, pool: Pool, stream: Async<TcpStream>) {
    let epoch = handle.epoch();
    if stream.get_ref().set_nodelay(true).is_err() || handle.is_refusing() {
        return;
    }
    let (hangup, broken) = async_channel::bounded(1);
    let service = Service::new(handle.clone(), hangup);
    let answer = service_fn(move |request| answer(service.clone(), request));
    let connection = async {
        // A client that goes away is no concern of the store.
        let _ = http2::Builder::new(pool)
            .timer(SmolTimer::new())
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .serve_connection(FuturesIo::new(stream), answer)
            .await;
    };
    let cut = handle.until(|handle| handle.epoch() != epoch);
    let lost = async {
        let _ = broken.recv().await;
    };
    future::or(connection, future::or(cut, lost)).await;
}

/// Hands a request to the service that its path names.
async fn answer(
    service: Service,
    request: http::Request<Incoming>,
) -> Result<http::Response<Body>, Infallible> {
    let group = request.uri().path().split('/').nth(1).unwrap_or_default();
    match group {
        "etcdserverpb.KV" => KvServer::new(service).call(request).await,
        "etcdserverpb.Lease" => LeaseServer::new(service).call(request).await,
        "etcdserverpb.Watch" => WatchServer::new(service).call(request).await,
        _ => Ok(tonic::Status::unimplemented("no such service").into_http()),
    }
}

/// A socket bound to an address, beside others of this process.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Listens on an address that [`bind`] holds.
fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}
