//! The deployments that a demo can run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::cluster::{COLD_SLOTS, COLD_START};
use crate::target::MAX_DRAIN;

/// A deployment: an organisation with its failure domains and services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// The organisation.
    pub organisation: &'static str,
    /// Its failure domains.
    pub domains: &'static [&'static str],
    /// One-way delay between failure domains.
    pub domain_delay: Duration,
    /// One-way delay to callers.
    pub caller_delay: Duration,
    /// Its services.
    pub services: Vec<Service>,
}

/// A service of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Number of backend servers.
    pub targets: usize,
    /// Concurrent requests that a warm backend server runs.
    pub slots: u16,
    /// The address that callers use.
    pub address: SocketAddr,
}

/// Connections per backend server in both deployments, at scale 1.
pub const CONNECTIONS: f64 = 2_000.0;

impl Deployment {
    /// Stadtwerke Weilheim Konfitürendienst.
    pub fn weilheim() -> Self {
        Self {
            organisation: "weilheim",
            domains: &["raum-nord", "raum-sued", "raum-penzberg"],
            domain_delay: Duration::from_millis(4),
            caller_delay: Duration::from_millis(3),
            services: vec![
                Service::new("abo-kalender", 7, 5, 1),
                Service::new("beleg-dienst", 3, 5, 2),
            ],
        }
    }

    /// Peakline Rope Makers Co-operative.
    pub fn peakline() -> Self {
        Self {
            organisation: "peakline",
            domains: &["belper", "wirksworth", "ashbourne", "matlock"],
            domain_delay: Duration::from_millis(3),
            caller_delay: Duration::from_millis(1),
            services: vec![
                Service::new("ropeledger", 7, 2, 3),
                Service::new("certdesk", 4, 2, 4),
            ],
        }
    }

    /// The configuration file, with one template per service for `flows` flows per backend
    /// server.
    pub fn document(&self, flows: u32) -> String {
        let services = self.services.iter();
        let templates = services.clone().map(|service| service.template(flows));
        let templates = templates.collect::<Vec<_>>().join(",\n");
        let services = services.map(|s| {
            let (name, address) = (s.name, s.address);
            format!(r#"  "{name}": {{ "template": "{name}", "address": "{address}", "set": "{name}" }}"#)
        });
        let services = services.collect::<Vec<_>>().join(",\n");
        let (organisation, domains) = (self.organisation, self.domains);
        format!(
            "{{ \"organisation\": \"{organisation}\", \"domains\": {domains:?},\n\
             \"templates\": {{\n{templates} }},\n\"services\": {{\n{services} }} }}"
        )
    }

    /// Finds a deployment by the name of its organisation.
    pub fn find(organisation: &str) -> Option<Self> {
        [Self::weilheim(), Self::peakline()]
            .into_iter()
            .find(|deployment| deployment.organisation == organisation)
    }
}

impl Service {
    /// The template for the service's backend servers. Allows three times the expected flows,
    /// so that a backend server can take over flows from others.
    fn template(&self, flows: u32) -> String {
        let (name, slots, connections) = (self.name, self.slots, 3 * flows);
        let (cold_ms, leave_ms) = (COLD_START.as_millis(), MAX_DRAIN.as_millis());
        format!(
            r#"  "{name}": {{ "slots": {slots}, "connections": {connections}, "cold_slots": {COLD_SLOTS},
    "cold_ms": {cold_ms}, "leave_ms": {leave_ms}, "queue": 64, "deadline_ms": 2500 }}"#
        )
    }

    /// Creates a service. `host` is the last byte of its loopback address.
    fn new(name: &'static str, targets: usize, slots: u16, host: u8) -> Self {
        // With port 0, the fabric selects a free port, so that concurrent runs do not collide.
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, 0, host)), 0);
        Self { name, targets, slots, address }
    }
}
