//! Interface between a balancer and the network of its callers.

pub mod direct;

pub use direct::Direct;

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::link::{Link, MAX_DATAGRAM_LEN};

/// Receives datagrams from callers and sends datagrams to them.
pub trait Ingress: Clone + Send + Sync + 'static {
    /// Waits for a caller's datagram; returns its position in `buffer`.
    ///
    /// `None` means that a datagram could not be parsed and should be counted as dropped.
    fn receive(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<Option<Received>>> + Send;

    /// Sends a datagram to a caller from the service address.
    ///
    /// # Errors
    /// If the system does not accept the datagram.
    fn send(
        &self,
        service: SocketAddr,
        caller: SocketAddr,
        datagram: &[u8],
    ) -> io::Result<()>;
}

/// A datagram received for a service address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The service address that the datagram was sent to.
    pub service: SocketAddr,
    /// Index of its first byte in the buffer.
    pub start: usize,
    /// Index after its last byte in the buffer.
    pub end: usize,
}

/// Header of a datagram between the fabric and a balancer; the caller's datagram follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FabricHeader {
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service address.
    pub service: SocketAddr,
}

impl FabricHeader {
    /// Writes the header and the datagram into `out`, replacing its contents.
    pub fn encode(&self, datagram: &[u8], out: &mut Vec<u8>) -> bool {
        out.clear();
        let Ok(header) = postcard::to_extend(self, std::mem::take(out)) else {
            return false;
        };
        *out = header;
        out.extend_from_slice(datagram);
        true
    }

    /// Splits an encapsulated datagram into the header and the caller's datagram.
    pub fn decode(bytes: &[u8]) -> Option<(Self, &[u8])> {
        postcard::take_from_bytes(bytes).ok()
    }
}

/// A fabric that encapsulates callers' datagrams with a [`FabricHeader`].
#[derive(Debug, Clone)]
pub struct Encapsulated<L> {
    /// Connection to the fabric.
    link: L,
    /// Address at which the fabric accepts datagrams for callers.
    fabric: SocketAddr,
}

impl<L: Link> Encapsulated<L> {
    /// Creates an ingress over a link; `fabric` receives the datagrams for callers.
    pub fn new(link: L, fabric: SocketAddr) -> Self {
        Self { link, fabric }
    }
}

impl<L: Link> Ingress for Encapsulated<L> {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<Option<Received>> {
        let (len, _) = self.link.receive(buffer).await?;
        let received =
            FabricHeader::decode(&buffer[..len]).map(|(header, rest)| Received {
                caller: header.caller,
                service: header.service,
                start: len - rest.len(),
                end: len,
            });
        Ok(received)
    }

    fn send(
        &self,
        service: SocketAddr,
        caller: SocketAddr,
        datagram: &[u8],
    ) -> io::Result<()> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
        FabricHeader { caller, service }.encode(datagram, &mut out);
        self.link.send(self.fabric, &out)
    }
}
