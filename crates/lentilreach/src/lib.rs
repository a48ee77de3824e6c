//! lentilreach, a layer-4 load balancer without per-flow state in its balancers.
//!
//! A datagram passes through the library in these steps:
//!
//! 1. A balancer receives it for a service address and reads the few QUIC header fields that
//!    matter ([`request::packet`]).
//! 2. It routes by the token in the connection ID or, for an opening packet, by an ordered
//!    list of candidates ([`request::route`]) from the current [`version::view`].
//! 3. It forwards the datagram in an authenticated [`request::envelope`] to an agent.
//! 4. Opening packets go from agent to agent until one takes the flow
//!    ([`connection::guide`]); the taker ends QUIC over a [`connection::socket`], and the
//!    connection IDs that it issues are a [`connection::token`].
//! 5. Each request of a [`connection::session`] passes the gate ([`request::admit`]) and,
//!    unless it is idempotent, the [`process::ledger`], and runs on the backend server
//!    ([`request::serve`]).
//! 6. The answer goes back through any balancer that was heard lately ([`process::heard`]).
//!
//! Configuration comes from the store through a few relays ([`process::relay`]) and spreads
//! between the nodes ([`process::spread`]); [`process::control`] puts it in force.
//!
//! Modules are laid out by life span: [`request`], [`connection`], [`version`], [`process`].
//! Decisions take events and the time as values and return actions. They hold no socket,
//! clock, codec, lock or thread.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::id;
pub use process::name::Name;
