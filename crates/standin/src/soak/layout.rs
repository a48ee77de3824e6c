//! Addresses of a run: one loopback address for each machine.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Port at which balancers receive segments of callers, and callers those of backend servers.
pub const CALLERS_PORT: u16 = 8_172;

/// Port of messages between nodes.
const NODES_PORT: u16 = 7_720;

/// Port of readiness checks.
const READY_PORT: u16 = 8_167;

/// Port at which an agent receives segments of its backend server.
const BACKEND_PORT: u16 = 8_162;

/// Port at which an agent receives reports of its backend server.
const REPORTS_PORT: u16 = 8_166;

/// Port at which a backend server receives segments.
const SERVER_PORT: u16 = 8_165;

/// Port of the store.
const STORE_PORT: u16 = 8_180;

/// Last byte of the address of the first balancer.
const FIRST_BALANCER: u8 = 1;

/// Last byte of the address of the first agent, on whose machine is a backend server.
const FIRST_AGENT: u8 = 33;

/// Last byte of the address of the first caller.
const FIRST_CALLER: u8 = 97;

/// Failure domains.
const DOMAINS: [&str; 2] = ["nord", "sued"];

/// Names of the services. Flows to the first address go to the first one. The others take
/// turns at the second address.
pub const SERVICES: [&str; 3] = ["abo", "kasse", "kasse-neu"];

/// Numbers of machines, and the network that they share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Layout {
    /// Second and third byte of all addresses.
    pub network: [u8; 2],
    /// Number of balancers.
    pub balancers: u8,
    /// Number of agents, each with a backend server.
    pub agents: u8,
    /// Number of callers.
    pub callers: u8,
}

impl Layout {
    /// A layout of the given size on a network that other runs of this machine don't use:
    /// it follows from the process id.
    pub fn new(balancers: u8, agents: u8, callers: u8) -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        Self { network: [0x40 | high & 0x3f, low], balancers, agents, callers }
    }

    /// The address of the store.
    pub fn store(&self) -> SocketAddr {
        SocketAddr::from((self.ip(0), STORE_PORT))
    }

    /// The address of a balancer's machine.
    pub fn balancer(&self, number: u8) -> Ipv4Addr {
        self.ip(FIRST_BALANCER + number)
    }

    /// The address of the machine of an agent and its backend server.
    pub fn agent(&self, number: u8) -> Ipv4Addr {
        self.ip(FIRST_AGENT + number)
    }

    /// The address of a caller.
    pub fn caller(&self, number: u8) -> Ipv4Addr {
        self.ip(FIRST_CALLER + number)
    }

    /// An address of the machine network.
    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }
}

/// The address at which a balancer receives segments, or a caller.
pub fn callers(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, CALLERS_PORT))
}

/// The address of messages between nodes.
pub fn nodes(ip: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(ip, NODES_PORT)
}

/// The address of readiness checks.
pub fn ready(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, READY_PORT))
}

/// The address at which an agent receives segments of its backend server.
pub fn backend(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, BACKEND_PORT))
}

/// The address at which an agent receives reports.
pub fn reports(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, REPORTS_PORT))
}

/// The address at which a backend server receives segments.
pub fn server(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, SERVER_PORT))
}

/// The failure domain of a balancer or agent.
pub fn domain(number: u8) -> &'static str {
    DOMAINS[usize::from(number) % DOMAINS.len()]
}

/// The service of a backend server.
pub fn service(number: u8) -> &'static str {
    SERVICES[usize::from(number / 2) % SERVICES.len()]
}

/// The addresses that callers use.
pub fn routes() -> [SocketAddrV4; 3] {
    [8_443, 8_444, 8_445]
        .map(|port| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port))
}
