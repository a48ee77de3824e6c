//! Parses and validates settings files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonc_parser::ast::{Object, Value};

use super::{Agent, Balancer, Node, default_threads};
use crate::process::input::{Errors, Reader};
use crate::process::name::Name;

/// The keys in the settings of every daemon.
const COMMON_KEYS: [&str; 8] = [
    "name",
    "organisation",
    "domain",
    "listen",
    "store",
    "peers",
    "threads",
    "fleet_secret",
];

/// The additional keys in the settings of a balancer.
const BALANCER_KEYS: [&str; 1] = ["fabric"];

/// The additional keys in the settings of an agent.
const AGENT_KEYS: [&str; 4] = ["set", "server", "certificate", "certificate_key"];

/// Maximum number of worker threads.
const MAX_THREADS: u64 = 256;

/// Parses the settings of a balancer. `exists` returns whether a file exists.
pub fn balancer(
    file: &str,
    text: &str,
    exists: impl Fn(&Path) -> bool,
) -> Result<Balancer, Errors> {
    let mut reader = Reader::new(file, text);
    let settings = reader.root().and_then(|root| {
        let mut parser = Parser { reader: &mut reader, root: &root, exists };
        let keys = [&COMMON_KEYS[..], &BALANCER_KEYS[..]].concat();
        parser.reader.check_keys(parser.root, "the settings of a balancer", &keys);
        let listen = parser.listen(true);
        let node = parser.node(&listen, Required { store: true, peers: false });
        let fabric = parser.fabric();
        Some(Balancer { node: node?, service: listen.service?, fabric: fabric? })
    });
    reader.finish(settings)
}

/// Parses the settings of an agent. `exists` returns whether a file exists.
pub fn agent(
    file: &str,
    text: &str,
    exists: impl Fn(&Path) -> bool,
) -> Result<Agent, Errors> {
    let mut reader = Reader::new(file, text);
    let settings = reader.root().and_then(|root| {
        let mut parser = Parser { reader: &mut reader, root: &root, exists };
        let keys = [&COMMON_KEYS[..], &AGENT_KEYS[..]].concat();
        parser.reader.check_keys(parser.root, "the settings of an agent", &keys);
        let listen = parser.listen(false);
        let node = parser.node(&listen, Required { store: false, peers: true });
        let (set, server) = (parser.name("set"), parser.server());
        let certificate = parser.file("certificate");
        let key = parser.file("certificate_key");
        let (node, set, server) = (node?, set?, server?);
        Some(Agent { node, set, server, certificate: certificate?, key: key? })
    });
    reader.finish(settings)
}

/// The valid listen addresses.
#[derive(Default)]
struct Listen {
    /// Receives packets from the fabric.
    service: Option<SocketAddr>,
    /// Receives envelopes.
    envelope: Option<SocketAddr>,
    /// Receives messages of the gossip exchange.
    exchange: Option<SocketAddr>,
    /// Serves HTTP.
    admin: Option<SocketAddr>,
}

/// Which lists must not be empty.
struct Required {
    /// The endpoints of the store.
    store: bool,
    /// The peers.
    peers: bool,
}

/// Reads the parts of a settings file.
struct Parser<'r, 'o, 'a, E> {
    /// Reads values and collects errors.
    reader: &'r mut Reader<'a>,
    /// The object at the top level of the file.
    root: &'o Object<'a>,
    /// Returns whether a file exists.
    exists: E,
}

impl<'a, E: Fn(&Path) -> bool> Parser<'_, '_, 'a, E> {
    /// Reads the settings that all daemons have in common.
    fn node(&mut self, listen: &Listen, required: Required) -> Option<Node> {
        let name = self.name("name");
        let organisation = self.name("organisation");
        let domain = self.name("domain");
        let store = self.addresses("store", required.store);
        let peers = self.addresses("peers", required.peers);
        let threads = self.threads();
        let secret = self.file("fleet_secret");
        Some(Node {
            name: name?,
            organisation: organisation?,
            domain: domain?,
            envelope: listen.envelope?,
            exchange: listen.exchange?,
            admin: listen.admin?,
            store: store?,
            peers: peers?,
            threads: threads?,
            secret: secret?,
        })
    }

    /// Reads the listen addresses; `service` tells whether that one is among them.
    fn listen(&mut self, service: bool) -> Listen {
        let value = self.reader.require(self.root, "the file", "listen");
        let Some(object) = value.and_then(|value| self.reader.object(value, "listen"))
        else {
            return Listen::default();
        };
        let keys = ["envelope", "exchange", "admin", "service"];
        let keys = if service { &keys[..] } else { &keys[..3] };
        self.reader.check_keys(object, "listen", keys);
        let mut seen = Vec::new();
        let mut read = |key: &str| self.listen_at(object, key, &mut seen);
        Listen {
            service: service.then(|| read("service")).flatten(),
            envelope: read("envelope"),
            exchange: read("exchange"),
            admin: read("admin"),
        }
    }

    /// Reads one listen address. `seen` holds the addresses that were read before.
    fn listen_at(
        &mut self,
        object: &Object<'a>,
        key: &str,
        seen: &mut Vec<SocketAddr>,
    ) -> Option<SocketAddr> {
        let value = self.reader.require(object, "listen", key)?;
        let address = self.reader.address(value, &format!("listen.{key}"))?;
        if seen.contains(&address) {
            let message = format!("{address} is already another listen address");
            self.reader.error(value, message, Some("use another port".into()));
            return None;
        }
        seen.push(address);
        if matches!(key, "envelope" | "exchange") && address.ip().is_unspecified() {
            let message =
                format!("listen.{key} is {address}, which peers cannot send to");
            let hint = "use the address of this VM";
            self.reader.error(value, message, Some(hint.into()));
            return None;
        }
        // A token carries the envelope address of an agent and has room for IPv4 only.
        if key == "envelope" && !address.is_ipv4() {
            let message = format!("listen.envelope is {address}, which is not IPv4");
            let hint = "envelopes use IPv4, because a token has no room for IPv6";
            self.reader.error(value, message, Some(hint.into()));
            return None;
        }
        Some(address)
    }

    /// Reads a name.
    fn name(&mut self, key: &str) -> Option<Name> {
        let value = self.reader.require(self.root, "the file", key)?;
        self.reader.name(value, key)
    }

    /// Reads a list of addresses. An absent list is the same as an empty one.
    fn addresses(&mut self, key: &str, required: bool) -> Option<Vec<SocketAddr>> {
        let Some(property) = self.root.get(key) else {
            if required {
                self.reader.require(self.root, "the file", key);
                return None;
            }
            return Some(Vec::new());
        };
        let list = self.reader.list(&property.value, key)?;
        if list.is_empty() && required {
            let hint = "list at least one address and port";
            self.reader.error(
                &property.value,
                format!("{key} is empty"),
                Some(hint.into()),
            );
            return None;
        }
        let read =
            |value: &Value<'a>| self.reader.address(value, &format!("an entry of {key}"));
        let addresses: Vec<_> = list.iter().map(read).collect();
        addresses.into_iter().collect()
    }

    /// Reads the address of the fabric, which is optional.
    fn fabric(&mut self) -> Option<Option<SocketAddr>> {
        let Some(property) = self.root.get("fabric") else { return Some(None) };
        self.reader.address(&property.value, "fabric").map(Some)
    }

    /// Reads the number of worker threads.
    fn threads(&mut self) -> Option<usize> {
        let Some(property) = self.root.get("threads") else {
            return Some(default_threads());
        };
        let range = 1..=MAX_THREADS;
        let threads = self.reader.integer(&property.value, "threads", range, "");
        threads.map(|threads| threads as usize)
    }

    /// Reads the address of the backend server.
    fn server(&mut self) -> Option<SocketAddr> {
        let value = self.reader.require(self.root, "the file", "server")?;
        let address = self.reader.address(value, "server")?;
        if !address.ip().is_loopback() {
            let message = format!("server is {address}, which is not a loopback address");
            let hint = "requests to the backend server are not encrypted; run the agent \
                        on the same VM";
            self.reader.error(value, message, Some(hint.into()));
            return None;
        }
        Some(address)
    }

    /// Reads the path of a file.
    fn file(&mut self, key: &str) -> Option<PathBuf> {
        let value = self.reader.require(self.root, "the file", key)?;
        let path = PathBuf::from(self.reader.non_empty_string(value, key)?);
        if !(self.exists)(&path) {
            let message = format!("{key}: there is no file {}", path.display());
            let hint = "paths are relative to the working directory";
            self.reader.error(value, message, Some(hint.into()));
            return None;
        }
        Some(path)
    }
}
