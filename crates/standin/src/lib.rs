//! Stand-ins for the systems that surround lentilreach, and a demo that runs them together.
//!
//! The daemons do not depend on this crate. A demo run works as follows:
//!
//! 1. [`deployment`] defines the failure domains, services and sizes of an organisation.
//! 2. [`demo`] starts a [`loopback`] network with delay and loss, a [`fabric`], balancers, agents
//!    and [`backend`] servers, all over real sockets on loopback.
//! 3. [`caller`]s open flows and send requests while a [`plan`] changes the deployment.
//! 4. The [`record`] collects what callers and backend servers observe, for the report.

pub mod backend;
pub mod balancer;
pub mod caller;
pub mod cluster;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod fabric;
pub mod history;
pub mod http3;
pub mod loopback;
pub mod measure;
pub mod network;
pub mod operator;
pub mod payload;
pub mod plan;
pub mod plot;
pub mod record;
pub mod report;
pub mod rush;
pub mod soak;
pub mod store;
pub mod target;
pub mod tls;
