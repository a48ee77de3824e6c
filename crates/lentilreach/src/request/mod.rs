//! State and logic with the lifetime of one datagram or one request.

pub mod admit;
pub mod envelope;
pub mod packet;
pub mod route;
pub mod rule;
pub mod serve;
