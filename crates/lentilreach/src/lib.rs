//! lentilreach, a layer-4 load balancer whose balancers keep no per-flow state.
//!
//! A datagram passes through the library in these steps:
//!
//! 1. A balancer receives it for a service address and parses the QUIC header fields that
//!    routing needs ([`request::packet`]).
//! 2. It routes by the token in the connection ID or, for the opening packet of a flow, by an
//!    ordered list of candidates ([`request::route`]) from the current [`version::view`].
//! 3. It forwards the datagram in an authenticated [`request::envelope`] to an agent.
//! 4. Opening packets are offered to one agent after another until one admits the flow
//!    ([`connection::placement`]). That agent terminates QUIC over a [`connection::socket`],
//!    and every connection ID that it issues is a [`connection::token`].
//! 5. Each request of a [`connection::session`] passes admission control ([`request::admit`])
//!    and, unless it is idempotent, is recorded in the [`process::ledger`]. It then runs on
//!    the backend server ([`request::serve`]).
//! 6. The response returns through any balancer that the agent heard from recently
//!    ([`process::return_path`]).
//!
//! A few relays read the configuration from the store ([`process::relay`]) and it spreads
//! between the nodes by gossip ([`process::gossip`]); [`process::control`] applies it.
//!
//! Modules are grouped by lifetime: [`request`], [`connection`], [`version`], [`process`].
//! Modules that make decisions take events and the time as values and return actions. They
//! hold no socket, clock, codec, lock or thread.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::id;
pub use process::name::Name;
