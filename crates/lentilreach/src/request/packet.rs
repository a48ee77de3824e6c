//! The few QUIC header fields that routing reads (RFC 8999 and RFC 9000, section 17).

use std::net::SocketAddr;

use crate::connection::token;

/// Shortest datagram that can hold a short-header packet with a token.
const MIN_SHORT: usize = 1 + token::LENGTH;

/// Datagrams that open a connection are padded to this size (RFC 9000, section 14.1).
const MIN_INITIAL: usize = 1_200;

/// Longest connection ID of QUIC version 1.
const MAX_CONNECTION_ID: usize = 20;

/// A datagram with what routing needs of its first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet<'a> {
    /// Who sent it.
    pub caller: SocketAddr,
    /// The service address that it was sent to.
    pub service: SocketAddr,
    /// Its header form.
    pub form: Form,
    /// The destination connection ID.
    pub destination: &'a [u8],
}

/// Header form of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Long header, type Initial.
    Initial,
    /// Long header of another type.
    Long,
    /// Short header.
    Short,
}

/// Why a datagram is no QUIC packet for us.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Cut off within the header, or an Initial below the minimum size.
    Short,
    /// The fixed bit is unset or the connection ID is too long.
    NotQuic,
}

impl<'a> Packet<'a> {
    /// Reads the header of a datagram.
    ///
    /// # Errors
    /// If it cannot be QUIC version 1.
    pub fn parse(
        caller: SocketAddr,
        service: SocketAddr,
        datagram: &'a [u8],
    ) -> Result<Self, Fault> {
        let first = *datagram.first().ok_or(Fault::Short)?;
        if first & 0x40 == 0 {
            return Err(Fault::NotQuic);
        }
        let (form, destination) = if first & 0x80 == 0 {
            let id = datagram.get(1..MIN_SHORT).ok_or(Fault::Short)?;
            (Form::Short, id)
        } else {
            long(first, datagram)?
        };
        Ok(Self { caller, service, form, destination })
    }
}

/// Reads a long header: version (4 bytes), length of the connection ID (1), the ID.
fn long(first: u8, datagram: &[u8]) -> Result<(Form, &[u8]), Fault> {
    let length = usize::from(*datagram.get(5).ok_or(Fault::Short)?);
    if length > MAX_CONNECTION_ID {
        return Err(Fault::NotQuic);
    }
    let id = datagram.get(6..6 + length).ok_or(Fault::Short)?;
    let initial = first & 0x30 == 0;
    if initial && datagram.len() < MIN_INITIAL {
        return Err(Fault::Short);
    }
    Ok((if initial { Form::Initial } else { Form::Long }, id))
}
