//! A QUIC socket that sends and receives its datagrams in envelopes.

use std::collections::VecDeque;
use std::fmt::{self, Debug, Formatter};
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

/// Maximum number of queued datagrams for the QUIC endpoint. Further ones are dropped, as with
/// a full socket buffer.
const MAX_QUEUED: usize = 4_096;

/// Sends datagrams to callers.
pub trait Egress: Send + Sync + 'static {
    /// Sends a datagram to a caller from the service address. QUIC recovers from loss.
    fn send(&self, service: SocketAddr, caller: SocketAddr, datagram: &[u8]);
}

/// The socket of one service's QUIC endpoint.
pub struct Socket<C> {
    /// The service address, which callers see as the address of the endpoint.
    service: SocketAddr,
    /// Sends outgoing datagrams.
    egress: C,
    /// Incoming datagrams.
    queue: Mutex<Queue>,
}

/// Incoming datagrams and the task that waits for them.
#[derive(Default)]
struct Queue {
    /// At most [`MAX_QUEUED`], oldest first.
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    /// Woken when a datagram arrives.
    waker: Option<Waker>,
}

impl<C: Egress> Socket<C> {
    /// Creates a socket for a service.
    pub fn new(service: SocketAddr, egress: C) -> Arc<Self> {
        Arc::new(Self { service, egress, queue: Mutex::default() })
    }

    /// Queues a datagram of a caller; returns `false` if the queue is full.
    pub fn push(&self, caller: SocketAddr, datagram: &[u8]) -> bool {
        let mut queue = self.queue.lock();
        if queue.datagrams.len() == MAX_QUEUED {
            return false;
        }
        queue.datagrams.push_back((caller, datagram.to_vec()));
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }
}

impl<C> Debug for Socket<C> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket").field("service", &self.service).finish_non_exhaustive()
    }
}

impl<C: Egress> AsyncUdpSocket for Socket<C> {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Ready)
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let size = transmit.segment_size.unwrap_or(transmit.contents.len()).max(1);
        for segment in transmit.contents.chunks(size) {
            self.egress.send(self.service, transmit.destination, segment);
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut queue = self.queue.lock();
        let mut count = 0;
        for (buffer, meta) in buffers.iter_mut().zip(meta) {
            let Some((caller, datagram)) = queue.datagrams.pop_front() else { break };
            let len = datagram.len().min(buffer.len());
            buffer[..len].copy_from_slice(&datagram[..len]);
            *meta = RecvMeta { addr: caller, len, stride: len, ecn: None, dst_ip: None };
            count += 1;
        }
        if count == 0 {
            queue.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.service)
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// Reports that sending is always possible: a datagram that cannot be sent is dropped.
#[derive(Debug)]
struct Ready;

impl UdpPoller for Ready {
    fn poll_writable(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
