//! Packets of clients and targets.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 8;
pub const ACK: u8 = 128;
pub const FIN: u8 = 1;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 2;

pub const HEADER: usize = 32;

/// Stands for the keyed sum of this sender; a reset of the system's own has 0.
const SUM: u32 = 0xa1b2_c3d5;

#[derive(Debug, Clone, PartialEq)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub flags: u8,
    pub sum: u32,
    pub sequence: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(
        source: SocketAddrV4,
        destination: SocketAddrV4,
        flags: u8,
        sequence: u32,
        ack: u32,
        data: &[u8],
    ) -> Self {
        Self { source, destination, flags, sum: SUM, sequence, ack, data: data.to_vec() }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(self.source.port().to_be_bytes());
        bytes.extend(self.source.ip().octets());
        bytes.extend(self.destination.ip().octets());
        bytes.extend(self.destination.port().to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.sum.to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(&self.data);
        bytes
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER {
            return None;
        }
        let short = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let long = |at: usize| u32::from(short(at)) << 16 | u32::from(short(at + 2));
        let address = |ip, port| SocketAddrV4::new(Ipv4Addr::from(long(ip)), short(port));
        Some(Self {
            source: address(2, 0),
            destination: address(6, 10),
            flags: bytes[30],
            sum: long(14),
            sequence: long(22),
            ack: long(26),
            data: bytes[HEADER..].to_vec(),
        })
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// The packet as a target returns it that can't accept it or doesn't hold its flow.
pub fn bounced(bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    bytes[30] |= BOUNCED;
    bytes[31] = 0;
    bytes
}
