//! Settings files of the daemons of this front end, in JSON with comments.

use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use jsonc_parser::ast::Object;
use lentilreach::Name;
use lentilreach::process::input::{self, Errors, Reader};

use crate::process::daemon::Settings;

/// Maximum duration in a setting given in milliseconds: one hour.
const MAX_MS: u64 = 3_600_000;

/// Maximum duration in a setting given in seconds: one hour.
const MAX_SECONDS: f64 = 3_600.0;

/// Maximum rate in requests per second, and maximum factor applied to one, in a setting.
const MAX_RATE: f64 = 10_000.0;

/// Keys that both daemons have.
const COMMON_KEYS: [&str; 10] = [
    "front_end",
    "name",
    "domain",
    "listen",
    "store",
    "callers_port_of",
    "memory_mb",
    "flow_s",
    "stop_s",
    "threads",
];

/// Additional keys of an agent.
const AGENT_KEYS: [&str; 7] = [
    "server",
    "report_ms",
    "address_reuse_s",
    "cold_overage",
    "cold_slack",
    "zero_cold_rate",
    "placement",
];

/// Value of the key `address_reuse_s` if it is missing.
const DEFAULT_ADDRESS_REUSE: Duration = Duration::from_secs(2);

/// Value of the key `zero_cold_rate` by which a rate of zero is a limit.
const ZERO_IS_LIMIT: &str = "limit";

/// Value of the key `zero_cold_rate` by which a rate of zero means that none is stated.
const ZERO_IS_UNSTATED: &str = "unstated";

/// Value of the key `placement` by which flows go where the fewest are open. It is the value
/// if the key is missing.
const PLACEMENT_BY_FLOWS: &str = "open_flows";

/// Value of the key `placement` by which flows go where their requests are expected to be
/// answered first.
const PLACEMENT_BY_WORK: &str = "expected_work";

/// Value of the key `placement` by which the same applies only while the backend servers of
/// the service differ in speed.
const PLACEMENT_BY_NEED: &str = "auto";

/// Value of the key `front_end` that selects this front end.
const FRONT_END: &str = "segments";

/// Whether a settings file selects this front end. The daemons support two front ends.
pub fn is_selected(text: &str) -> bool {
    let mut reader = Reader::new("", text);
    let Some(root) = reader.root() else { return false };
    let value = root.get("front_end").and_then(|property| property.value.as_string_lit());
    value.is_some_and(|literal| literal.value == FRONT_END)
}

/// Settings that both daemons have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Name of the process in log lines.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address at which messages of other nodes are received over UDP.
    pub nodes: SocketAddrV4,
    /// Address at which readiness and metrics are served over HTTP.
    pub ready: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Port at which callers receive segments.
    pub callers_port: u16,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Maximum lifetime of a flow.
    pub max_flow_age: Duration,
    /// Time between the signal to stop and the moment when the process is killed.
    pub stop_timeout: Duration,
    /// Number of worker threads.
    pub threads: usize,
}

/// Settings of a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Balancer {
    /// Settings that both daemons have.
    pub node: Node,
    /// Address at which segments of callers are received over UDP.
    pub callers: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Agent {
    /// Settings that both daemons have.
    pub node: Node,
    /// Address at which segments of the backend server are received over UDP.
    pub backend: SocketAddr,
    /// Address at which reports of the backend server are received over HTTP.
    pub reports: SocketAddr,
    /// Address of the backend server. It receives segments there over UDP, and accepts TCP
    /// connections while it runs: if they are refused, it counts as gone.
    pub server: SocketAddr,
    /// Usual interval between reports of the backend server, in milliseconds.
    pub report_ms: u64,
    /// Time after the end of a backend server from which another service may use its
    /// address.
    pub address_reuse: Duration,
    /// Factor applied to the rate of requests that the service allows for a cold backend
    /// server.
    pub cold_overage: f64,
    /// Requests per second that are allowed in addition.
    pub cold_slack: f64,
    /// Whether the limits also apply to services whose configured rate is zero. Otherwise
    /// a cold backend server of such a service gets what its slots take.
    pub limits_zero_rate: bool,
    /// Where flows go that are placed on the backend server or its like.
    pub placement: Placement,
}

/// Where flows go.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Where the fewest are open.
    #[default]
    OpenFlows,
    /// Where their requests are expected to be answered first, if all agents of the service
    /// state what their backend server has to do.
    ExpectedWork,
    /// The same, but only while the backend servers of the service differ in speed.
    Auto,
}

impl Settings for Balancer {
    fn load(path: &Path) -> Result<Self, Errors> {
        Self::parse(&path.display().to_string(), &input::load(path)?)
    }

    fn node(&self) -> &Node {
        &self.node
    }
}

impl Balancer {
    /// Parses the text of a settings file. `file` is its name in error messages.
    ///
    /// # Errors
    /// All mistakes in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        let mut reader = Reader::new(file, text);
        let settings = reader.root().and_then(|root| {
            let mut parser = Parser { reader: &mut reader, root: &root };
            parser.reader.check_keys(&root, "the settings of a balancer", &COMMON_KEYS);
            let callers = parser.listen("callers", &["callers", "nodes", "ready"]);
            let node = parser.node();
            Some(Self { node: node?, callers: callers? })
        });
        reader.finish(settings)
    }
}

impl Settings for Agent {
    fn load(path: &Path) -> Result<Self, Errors> {
        Self::parse(&path.display().to_string(), &input::load(path)?)
    }

    fn node(&self) -> &Node {
        &self.node
    }
}

impl Agent {
    /// Parses the text of a settings file. `file` is its name in error messages.
    ///
    /// # Errors
    /// All mistakes in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Errors> {
        let mut reader = Reader::new(file, text);
        let settings = reader.root().and_then(|root| {
            let mut parser = Parser { reader: &mut reader, root: &root };
            let keys = [&COMMON_KEYS[..], &AGENT_KEYS[..]].concat();
            parser.reader.check_keys(&root, "the settings of an agent", &keys);
            let listen = ["backend", "reports", "nodes", "ready"];
            let backend = parser.listen("backend", &listen);
            let reports = parser.listen("reports", &listen);
            let server = parser.address("server");
            let report_ms = parser.integer("report_ms", 1, MAX_MS, "ms");
            let address_reuse = match root.get("address_reuse_s") {
                Some(_) => parser.seconds("address_reuse_s"),
                None => Some(DEFAULT_ADDRESS_REUSE),
            };
            let overage = parser.decimal("cold_overage", 0.0..=MAX_RATE);
            let slack = parser.decimal("cold_slack", 0.0..=MAX_RATE);
            let limits_zero_rate = parser.limits_zero_rate();
            let placement = parser.placement();
            let node = parser.node();
            Some(Self {
                node: node?,
                backend: backend?,
                reports: reports?,
                server: server?,
                report_ms: report_ms?,
                address_reuse: address_reuse?,
                cold_overage: overage?,
                cold_slack: slack?,
                limits_zero_rate: limits_zero_rate?,
                placement: placement?,
            })
        });
        reader.finish(settings)
    }
}

/// Reads typed values from a settings file.
struct Parser<'r, 'o, 'a> {
    /// Collects mistakes.
    reader: &'r mut Reader<'a>,
    /// The root object of the file.
    root: &'o Object<'a>,
}

impl Parser<'_, '_, '_> {
    /// Reads the settings that both daemons have.
    fn node(&mut self) -> Option<Node> {
        let name = self.name("name");
        let domain = self.name("domain");
        let listen = ["callers", "backend", "reports", "nodes", "ready"];
        let nodes = self.listen("nodes", &listen).and_then(|address| match address {
            SocketAddr::V4(address) => Some(address),
            SocketAddr::V6(_) => {
                let value = self.reader.require(self.root, "the file", "listen")?;
                let message = format!("listen.nodes is {address}, which is not IPv4");
                self.reader.error(value, message, Some("use an IPv4 address".into()));
                None
            }
        });
        let ready = self.listen("ready", &listen);
        let store = self.address("store");
        let port = self.address("callers_port_of").map(|address| address.port());
        let memory_mb = self.integer("memory_mb", 1, 1 << 20, "MB");
        let max_flow_age = self.seconds("flow_s");
        let stop_timeout = self.seconds("stop_s");
        let threads = self.integer("threads", 1, 256, "");
        Some(Node {
            name: name?,
            domain: domain?,
            nodes: nodes?,
            ready: ready?,
            store: store?,
            callers_port: port?,
            memory_mb: memory_mb?,
            max_flow_age: max_flow_age?,
            stop_timeout: stop_timeout?,
            threads: threads? as usize,
        })
    }

    /// Reads one of the listen addresses. `known` are all their keys; unknown keys are
    /// reported when the first of them is read.
    fn listen(&mut self, key: &str, known: &[&str]) -> Option<SocketAddr> {
        let value = self.reader.require(self.root, "the file", "listen")?;
        let object = self.reader.object(value, "listen")?;
        if key == known[0] {
            self.reader.check_keys(object, "listen", known);
        }
        let value = self.reader.require(object, "listen", key)?;
        self.reader.address(value, &format!("listen.{key}"))
    }

    /// Reads what a cold rate of zero means.
    fn limits_zero_rate(&mut self) -> Option<bool> {
        let key = "zero_cold_rate";
        let value = self.reader.require(self.root, "the file", key)?;
        match self.reader.string(value, key)? {
            ZERO_IS_LIMIT => Some(true),
            ZERO_IS_UNSTATED => Some(false),
            other => {
                let message = format!("{key} is {other:?}");
                let hint = format!("use \"{ZERO_IS_UNSTATED}\" or \"{ZERO_IS_LIMIT}\"");
                self.reader.error(value, message, Some(hint));
                None
            }
        }
    }

    /// Reads how flows are placed.
    fn placement(&mut self) -> Option<Placement> {
        let key = "placement";
        let Some(property) = self.root.get(key) else {
            return Some(Placement::default());
        };
        match self.reader.string(&property.value, key)? {
            PLACEMENT_BY_FLOWS => Some(Placement::OpenFlows),
            PLACEMENT_BY_WORK => Some(Placement::ExpectedWork),
            PLACEMENT_BY_NEED => Some(Placement::Auto),
            other => {
                let message = format!("{key} is {other:?}");
                let hint = format!(
                    "use \"{PLACEMENT_BY_FLOWS}\", \"{PLACEMENT_BY_WORK}\" or \
                     \"{PLACEMENT_BY_NEED}\""
                );
                self.reader.error(&property.value, message, Some(hint));
                None
            }
        }
    }

    /// Reads a name.
    fn name(&mut self, key: &str) -> Option<Name> {
        let value = self.reader.require(self.root, "the file", key)?;
        self.reader.name(value, key)
    }

    /// Reads an address and port.
    fn address(&mut self, key: &str) -> Option<SocketAddr> {
        let value = self.reader.require(self.root, "the file", key)?;
        self.reader.address(value, key)
    }

    /// Reads an integer.
    fn integer(&mut self, key: &str, min: u64, max: u64, unit: &str) -> Option<u64> {
        let value = self.reader.require(self.root, "the file", key)?;
        self.reader.integer(value, key, min..=max, unit)
    }

    /// Reads a duration in seconds.
    fn seconds(&mut self, key: &str) -> Option<Duration> {
        self.decimal(key, 0.001..=MAX_SECONDS).map(Duration::from_secs_f64)
    }

    /// Reads a decimal number.
    fn decimal(&mut self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.reader.require(self.root, "the file", key)?;
        self.reader.decimal(value, key, range)
    }
}
