//! The packet format of the users' pages: a header of 32 bytes, then data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 8;
pub const ACK: u8 = 128;
pub const FIN: u8 = 1;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 2;

const HEAD: usize = 32;
const KEY: u32 = 0x5eed_1e55;

/// A packet between a client and a target.
#[derive(Debug, Clone)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
    /// Whether `sum` was that of the sender; a reset of the system has none.
    pub is_genuine: bool,
}

impl Packet {
    pub fn new(
        from: SocketAddrV4,
        to: SocketAddrV4,
        flags: u8,
        seq: u32,
        ack: u32,
    ) -> Self {
        Self { from, to, echo: 0, seq, ack, flags, data: Vec::new(), is_genuine: true }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut b = vec![0; HEAD];
        b[0..2].copy_from_slice(&self.from.port().to_be_bytes());
        b[2..6].copy_from_slice(&self.from.ip().octets());
        b[6..10].copy_from_slice(&self.to.ip().octets());
        b[10..12].copy_from_slice(&self.to.port().to_be_bytes());
        b[12..14].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        b[18..22].copy_from_slice(&self.echo.to_be_bytes());
        b[22..26].copy_from_slice(&self.seq.to_be_bytes());
        b[26..30].copy_from_slice(&self.ack.to_be_bytes());
        b[30] = self.flags;
        b.extend_from_slice(&self.data);
        let sum = sum(&b);
        b[14..18].copy_from_slice(&sum.to_be_bytes());
        b
    }

    pub fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < HEAD
            || b.len() != HEAD + usize::from(u16::from_be_bytes([b[12], b[13]]))
        {
            return None;
        }
        let word =
            |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        let port = |at: usize| u16::from_be_bytes([b[at], b[at + 1]]);
        Some(Self {
            from: SocketAddrV4::new(Ipv4Addr::from(word(2)), port(0)),
            to: SocketAddrV4::new(Ipv4Addr::from(word(6)), port(10)),
            echo: word(18),
            seq: word(22),
            ack: word(26),
            flags: b[30],
            data: b[HEAD..].to_vec(),
            is_genuine: word(14) == sum(b),
        })
    }
}

/// Keyed sum over all fields except `echo`, `pad` and BOUNCED.
fn sum(b: &[u8]) -> u32 {
    let mut hash = KEY;
    for (at, byte) in b.iter().enumerate() {
        let byte = match at {
            14..=21 | 31 => continue,
            30 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(16_777_619).rotate_left(5);
    }
    hash | 1
}
