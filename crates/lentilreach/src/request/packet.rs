//! Parses the QUIC header fields that routing needs (RFC 8999 and RFC 9000, section 17).

use std::net::SocketAddr;

use crate::connection::token;

/// Minimum length of a datagram with a short header and a token.
const MIN_SHORT_LEN: usize = 1 + token::LENGTH;

/// Minimum length of a datagram with an Initial packet (RFC 9000, section 14.1).
const MIN_INITIAL_LEN: usize = 1_200;

/// Maximum length of a connection ID in QUIC version 1.
const MAX_CONNECTION_ID_LEN: usize = 20;

/// The routing information of a datagram, taken from its first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The service address that the datagram was sent to.
    pub service: SocketAddr,
    /// The header form.
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

/// Why a datagram is not a valid QUIC packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Truncated within the header, or an Initial packet below the minimum size.
    Short,
    /// The fixed bit is not set or the connection ID is too long.
    NotQuic,
}

impl<'a> Packet<'a> {
    /// Parses the header of a datagram.
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
            let id = datagram.get(1..MIN_SHORT_LEN).ok_or(Fault::Short)?;
            (Form::Short, id)
        } else {
            parse_long_header(first, datagram)?
        };
        Ok(Self { caller, service, form, destination })
    }
}

/// Parses a long header: version (4 bytes), length of the connection ID (1 byte), connection
/// ID.
fn parse_long_header(first: u8, datagram: &[u8]) -> Result<(Form, &[u8]), Fault> {
    let length = usize::from(*datagram.get(5).ok_or(Fault::Short)?);
    if length > MAX_CONNECTION_ID_LEN {
        return Err(Fault::NotQuic);
    }
    let id = datagram.get(6..6 + length).ok_or(Fault::Short)?;
    let is_initial = first & 0x30 == 0;
    if is_initial && datagram.len() < MIN_INITIAL_LEN {
        return Err(Fault::Short);
    }
    Ok((if is_initial { Form::Initial } else { Form::Long }, id))
}
