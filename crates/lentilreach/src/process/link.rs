//! Datagrams between processes: the edge behind which all UDP I/O lies.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::Async;
use socket2::{Domain, Protocol, Socket, Type};

/// Socket buffers in bytes. Room for about 3,000 full datagrams while a worker is busy.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Longest datagram that is received, in bytes.
pub const MAX_DATAGRAM: usize = 2_048;

/// Sends and receives datagrams. A test may put a fake or a lossy link in its place.
pub trait Link: Clone + Send + Sync + 'static {
    /// Waits for a datagram; returns its length and sender.
    fn receive(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<(usize, SocketAddr)>> + Send;

    /// Sends a datagram without waiting. A full socket buffer is an error.
    ///
    /// # Errors
    /// If the system does not take the datagram.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// The address that the link receives at.
    fn local(&self) -> SocketAddr;
}

/// A link over a UDP socket.
#[derive(Debug, Clone)]
pub struct Udp {
    /// The socket, shared by workers.
    socket: Arc<Async<UdpSocket>>,
    /// Its bound address.
    local: SocketAddr,
}

impl Udp {
    /// Binds a socket. Port 0 takes a free port.
    ///
    /// # Errors
    /// If the address is in use or not on this machine.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket =
            Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        // The system caps both sizes at its own limit without an error.
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let socket = UdpSocket::from(socket);
        let local = socket.local_addr()?;
        Ok(Self { socket: Arc::new(Async::new_nonblocking(socket)?), local })
    }
}

impl Link for Udp {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.socket.get_ref().send_to(bytes, to).map(|_| ())
    }

    fn local(&self) -> SocketAddr {
        self.local
    }
}

/// Whether a receive error concerns one datagram and not the socket.
///
/// A closed port at a peer shows up as "connection refused" on the next receive.
pub fn is_passing(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}
