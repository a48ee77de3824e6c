//! Settings of the daemons, from files in JSON with comments or from a builder.

mod builder;
mod parse;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use builder::Builder;

use crate::process::input::{self, Errors};
use crate::process::name::Name;

/// The settings that all daemons have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The name of the process in events and metrics; unique in the fleet.
    pub name: Name,
    /// The organisation that owns the VM.
    pub organisation: Name,
    /// The failure domain that the VM runs in.
    pub domain: Name,
    /// The UDP address that receives envelopes. It must not be unspecified, because peers send
    /// to it.
    pub envelope: SocketAddr,
    /// The UDP address that receives messages of the gossip exchange. It must not be
    /// unspecified, because peers send to it.
    pub exchange: SocketAddr,
    /// The HTTP address that serves metrics, readiness and the timeline.
    pub admin: SocketAddr,
    /// The endpoints of the store. Never empty for a balancer.
    pub store: Vec<SocketAddr>,
    /// Exchange addresses of the balancers to contact first. Never empty for an agent.
    pub peers: Vec<SocketAddr>,
    /// Number of worker threads; at least 1.
    pub threads: usize,
    /// The file with the fleet secret.
    pub secret: PathBuf,
}

/// The settings of a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Balancer {
    /// The settings that all daemons have in common.
    pub node: Node,
    /// The UDP address to which the fabric delivers packets of callers.
    pub service: SocketAddr,
    /// The address at which the fabric accepts encapsulated packets for callers. If it is
    /// absent, packets are not encapsulated, and all services have the port of `service`.
    pub fabric: Option<SocketAddr>,
}

/// The settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// The settings that all daemons have in common.
    pub node: Node,
    /// The set that the backend server belongs to.
    pub set: Name,
    /// The HTTP/1.1 address of the backend server. It must be a loopback address, because the
    /// connection is not encrypted.
    pub server: SocketAddr,
    /// The PEM file with the certificate chain that is presented to callers.
    pub certificate: PathBuf,
    /// The PEM file with the private key of the certificate.
    pub key: PathBuf,
}

impl Node {
    /// Creates a builder for the settings of tests and the demo.
    ///
    /// The defaults are one worker thread and addresses on 127.0.0.1 with the ports 7000
    /// (envelope), 7001 (exchange) and 7002 (admin).
    pub fn builder(name: &str, organisation: &str, domain: &str) -> Builder {
        Builder::new(name, organisation, domain)
    }
}

impl Balancer {
    /// Reads a settings file. Paths in the file are relative to the working directory.
    ///
    /// # Errors
    /// Returns all errors in the file, including missing files that it refers to.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let text = input::load(path)?;
        parse::balancer(&path.display().to_string(), &text, Path::is_file)
    }

    /// Parses settings without checking that the files they refer to exist.
    ///
    /// # Errors
    /// Returns all errors in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        parse::balancer(file, text, |_| true)
    }
}

impl Agent {
    /// Reads a settings file. Paths in the file are relative to the working directory.
    ///
    /// # Errors
    /// Returns all errors in the file, including missing files that it refers to.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let text = input::load(path)?;
        parse::agent(&path.display().to_string(), &text, Path::is_file)
    }

    /// Parses settings without checking that the files they refer to exist.
    ///
    /// # Errors
    /// Returns all errors in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        parse::agent(file, text, |_| true)
    }
}

/// The default number of worker threads: one for each core.
fn default_threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
