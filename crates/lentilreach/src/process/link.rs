//! Datagrams between processes. All UDP I/O between them is behind this interface.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::Async;
use socket2::{Domain, Protocol, Socket, Type};

/// Socket buffer size, in bytes. Holds about 3,000 full datagrams while the workers are busy.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Maximum length of a received datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 2_048;

/// Sends and receives datagrams. Tests can substitute a fake or lossy link.
pub trait Link: Clone + Send + Sync + 'static {
    /// Waits for a datagram; returns its length and sender.
    fn receive(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<(usize, SocketAddr)>> + Send;

    /// Sends a datagram without waiting. A full socket buffer is an error.
    ///
    /// # Errors
    /// If the system does not accept the datagram.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// The local address of the link.
    fn local_addr(&self) -> SocketAddr;
}

/// A link over a UDP socket.
#[derive(Debug, Clone)]
pub struct Udp {
    /// The socket, shared by the workers.
    socket: Arc<Async<UdpSocket>>,
    /// Its bound address.
    local: SocketAddr,
}

impl Udp {
    /// Binds a socket. Port 0 selects a free port.
    ///
    /// # Errors
    /// If the address is in use or does not belong to this machine.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket =
            Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        // The system silently limits both sizes to its own maximum.
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

    fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

/// Whether a receive error is transient, so that the socket remains usable.
///
/// A closed port at a peer is reported as "connection refused" by the next receive.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}
