//! Direct ingress: callers' datagrams arrive unchanged at the service addresses.

use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::Async;
use parking_lot::Mutex;
use quinn_udp::{RecvMeta, Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};

use crate::process::ingress::{Ingress, Received};

/// Buffer size for one system call, in bytes: the most that the system coalesces.
const MAX_BATCH_BYTES: usize = 65_536;

/// Socket buffer size, in bytes. Holds about 3,000 full datagrams while the workers are busy.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Receives at the service addresses and responds from them.
///
/// All services use the port of the socket. With an unspecified IP address it receives for
/// every address of the VM; the system reports the destination of each datagram.
#[derive(Debug, Clone)]
pub struct Direct {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of a [`Direct`].
#[derive(Debug)]
struct Shared {
    /// The socket.
    socket: Async<UdpSocket>,
    /// The socket features that the system supports.
    state: UdpSocketState,
    /// The bound address.
    local: SocketAddr,
    /// Datagrams received together. No other lock is taken while it is held.
    batch: Mutex<Batch>,
}

impl Direct {
    /// Binds the socket. Port 0 selects a free port.
    ///
    /// # Errors
    /// If the address is in use or does not belong to this machine.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let domain = Domain::for_address(address);
        let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
        // The system silently limits both sizes to its own maximum.
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let state = UdpSocketState::new((&socket).into())?;
        let socket = UdpSocket::from(socket);
        let local = socket.local_addr()?;
        let socket = Async::new_nonblocking(socket)?;
        let batch = Mutex::new(Batch::new());
        Ok(Self { shared: Arc::new(Shared { socket, state, local, batch }) })
    }

    /// The bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.local
    }
}

impl Ingress for Direct {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<Option<Received>> {
        let shared = &self.shared;
        shared.socket.read_with(|socket| shared.next_datagram(socket, buffer)).await
    }

    fn send(
        &self,
        service: SocketAddr,
        caller: SocketAddr,
        datagram: &[u8],
    ) -> io::Result<()> {
        let transmit = Transmit {
            destination: caller,
            ecn: None,
            contents: datagram,
            segment_size: None,
            src_ip: Some(service.ip()),
        };
        self.shared.state.try_send(self.shared.socket.get_ref().into(), &transmit)
    }
}

impl Shared {
    /// Returns the next datagram of the batch, or receives another batch.
    fn next_datagram(
        &self,
        socket: &UdpSocket,
        buffer: &mut [u8],
    ) -> io::Result<Option<Received>> {
        let mut batch = self.batch.lock();
        if batch.is_empty() {
            batch.receive(&self.state, socket)?;
        }
        let meta = batch.meta;
        let datagram = batch.next();
        let Some(destination) = buffer.get_mut(..datagram.len()) else { return Ok(None) };
        destination.copy_from_slice(datagram);
        let ip = match meta.dst_ip {
            Some(ip) => ip,
            None if !self.local.ip().is_unspecified() => self.local.ip(),
            None => return Ok(None),
        };
        let service = SocketAddr::new(ip, self.local.port());
        Ok(Some(Received { caller: meta.addr, service, start: 0, end: datagram.len() }))
    }
}

/// Datagrams that the system coalesced: all have the same sender, destination and length,
/// except that the last one may be shorter.
#[derive(Debug)]
struct Batch {
    /// Their bytes.
    bytes: Vec<u8>,
    /// Index of the first byte that was not returned yet.
    offset: usize,
    /// Metadata from the system.
    meta: RecvMeta,
}

impl Batch {
    /// Creates an empty batch.
    fn new() -> Self {
        let meta = RecvMeta { len: 0, stride: 0, ..RecvMeta::default() };
        Self { bytes: vec![0; MAX_BATCH_BYTES], offset: 0, meta }
    }

    /// Whether all datagrams were returned.
    fn is_empty(&self) -> bool {
        self.offset >= self.meta.len
    }

    /// Receives without waiting.
    fn receive(&mut self, state: &UdpSocketState, socket: &UdpSocket) -> io::Result<()> {
        let mut metas = [RecvMeta::default()];
        let mut slices = [IoSliceMut::new(&mut self.bytes)];
        state.recv(socket.into(), &mut slices, &mut metas)?;
        (self.offset, self.meta) = (0, metas[0]);
        Ok(())
    }

    /// Returns the next datagram.
    fn next(&mut self) -> &[u8] {
        let end = (self.offset + self.meta.stride.max(1)).min(self.meta.len);
        let start = std::mem::replace(&mut self.offset, end);
        &self.bytes[start..end.max(start)]
    }
}
