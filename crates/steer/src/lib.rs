//! Steers the segments of flows that end at the backend servers themselves.
//!
//! The other front end of lentilreach, beside the one that ends QUIC. A segment of a caller
//! passes through the library in these steps:
//!
//! 1. A balancer receives it and reads its header ([`request::segment`]).
//! 2. An opening segment is placed at a backend server ([`request::placement`]) by the routes in
//!    force ([`version::routing`]) and the members heard of ([`process::roster`]). Any other
//!    segment follows its flow ([`connection::cache`]).
//! 3. It travels to an agent in an envelope ([`request::message`]).
//! 4. The agent has the last word ([`process::agent`]): it delivers the segment to its
//!    backend server, or passes it on to where the flow is ([`connection::index`]).
//! 5. Segments of the backend server go from its agent straight to the caller.
//!
//! Modules are laid out by life span, as in the library `lentilreach`. Decisions take events
//! and the time as values and return actions; [`process::driver`] does the I/O.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
