//! Front end that steers the segments of flows that are terminated by the backend servers
//! themselves. An agent runs next to each backend server; below, the agent is said to
//! hold the flows of its backend server.
//!
//! This is the second front end of lentilreach, next to the one that terminates QUIC. A
//! segment from a caller is processed in these steps:
//!
//! 1. A balancer receives the segment and parses its header ([`request::segment`]).
//! 2. For an opening segment the balancer selects an agent ([`request::placement`])
//!    according to the active routes ([`version::routing`]) and the known members
//!    ([`process::roster`]). Any other segment is sent to the agent that holds its flow
//!    ([`connection::cache`]).
//! 3. The balancer sends the segment to the agent in an envelope ([`request::message`]).
//! 4. The agent makes the final decision ([`process::agent`]): it delivers the segment to
//!    its backend server or forwards it to the agent that holds the flow. Two agents, the
//!    home nodes of the flow, know which one that is ([`connection::index`]).
//! 5. The agent sends segments of the backend server directly to the caller.
//!
//! As in the library `lentilreach`, modules are grouped by the lifetime of the state they
//! hold. The decision code receives events and the current time as values and returns
//! actions; [`process::driver`] performs the I/O.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
