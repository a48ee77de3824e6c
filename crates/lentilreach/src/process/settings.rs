//! Settings of the daemons: files in JSON with comments, or a builder.

mod builder;
mod parse;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use builder::Builder;

use crate::process::input::{self, Errors};
use crate::process::name::Name;

/// The settings that every daemon has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The process in events and metrics; unique in the fleet.
    pub name: Name,
    /// The organisation that owns the VM.
    pub organisation: Name,
    /// The failure domain that the VM runs in.
    pub domain: Name,
    /// Where envelopes are received, over UDP. Peers send to it, so it is a concrete address.
    pub envelope: SocketAddr,
    /// Where messages of the gossip exchange are received, over UDP; a concrete address.
    pub exchange: SocketAddr,
    /// Where metrics, readiness and the timeline are served, over HTTP.
    pub admin: SocketAddr,
    /// The endpoints of the store. Never empty for a balancer.
    pub store: Vec<SocketAddr>,
    /// Exchange addresses of balancers that are asked first. Never empty for an agent.
    pub peers: Vec<SocketAddr>,
    /// Worker threads; at least 1.
    pub threads: usize,
    /// The file that holds the fleet secret.
    pub secret: PathBuf,
}

/// The settings of a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Balancer {
    /// What every daemon has.
    pub node: Node,
    /// Where the fabric delivers the callers' packets, over UDP.
    pub service: SocketAddr,
    /// Where the fabric takes encapsulated packets for callers. Without it packets come and
    /// go as they are, and all services have the port of `service`.
    pub fabric: Option<SocketAddr>,
}

/// The settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// What every daemon has.
    pub node: Node,
    /// The set that the backend server belongs to.
    pub set: Name,
    /// The backend server, over HTTP/1.1. A loopback address, since it is not encrypted.
    pub server: SocketAddr,
    /// The certificate chain for callers, as a PEM file.
    pub certificate: PathBuf,
    /// Its private key, as a PEM file.
    pub key: PathBuf,
}

impl Node {
    /// Starts to build settings for tests and the demo.
    ///
    /// Addresses are those of 127.0.0.1 with ports 7000 (envelope), 7001 (exchange) and 7002
    /// (admin), with one worker thread, until they are set.
    pub fn builder(name: &str, organisation: &str, domain: &str) -> Builder {
        Builder::new(name, organisation, domain)
    }
}

impl Balancer {
    /// Reads a settings file. Paths in it are relative to the working directory.
    ///
    /// # Errors
    /// Every mistake in the file, also files that it names and that are not there.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let text = input::load(path)?;
        parse::balancer(&path.display().to_string(), &text, Path::is_file)
    }

    /// Parses settings without a look at the files that they name.
    ///
    /// # Errors
    /// Every mistake in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        parse::balancer(file, text, |_| true)
    }
}

impl Agent {
    /// Reads a settings file. Paths in it are relative to the working directory.
    ///
    /// # Errors
    /// Every mistake in the file, also files that it names and that are not there.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let text = input::load(path)?;
        parse::agent(&path.display().to_string(), &text, Path::is_file)
    }

    /// Parses settings without a look at the files that they name.
    ///
    /// # Errors
    /// Every mistake in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        parse::agent(file, text, |_| true)
    }
}

/// Worker threads if the settings do not say: one for each core.
fn default_threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
