//! The record of where routes lead and have led, which agents keep in the store.
//!
//! Answers a restart of all processes after a change of routes: open flows stay at the backend
//! servers of the service that their route led to before, and the operators' documents name only
//! the present one. A search that leaves those backend servers out shows the segments of a flow
//! to others only. So some agents write down where the routes lead as soon as a configuration is
//! active, and every agent reads that when it starts.

use std::net::{Ipv4Addr, SocketAddrV4};

use lentilreach::Name;
use lentilreach::process::store::{Entry, MAX_VALUE_BYTES};
use serde::{Deserialize, Serialize};

use crate::version::routing::{Route, Routing};

/// The record's key in the store.
pub const KEY: &str = "lentilreach/routes";

/// Time for which a lead remains in the record after it has ended, in seconds. Ten times the
/// life of a flow, since the time of day differs between VMs and may jump.
const RETENTION_S: u64 = 600;

/// Where routes lead and have led.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Leads {
    /// Sorted by address and service, without duplicates.
    leads: Vec<Lead>,
}

/// A service that a route leads to or has led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lead {
    /// Address of the route.
    pub address: SocketAddrV4,
    /// The service.
    pub service: Name,
    /// When the route was first seen not to lead to it any more, in seconds since the Unix
    /// epoch.
    pub ended_s: Option<u64>,
}

impl Leads {
    /// The leads, sorted by address and service.
    pub fn iter(&self) -> impl Iterator<Item = &Lead> {
        self.leads.iter()
    }

    /// The leads that have ended, as far as a process knows. The time of day only matters in the
    /// store: processes count from when they learn of them.
    pub fn ended(routing: &Routing, unix_s: u64) -> Self {
        let earlier = routing.history.iter().map(|earlier| Lead {
            address: earlier.address,
            service: earlier.service.clone(),
            ended_s: Some(unix_s),
        });
        Self { leads: earlier.collect() }
    }

    /// Whether all present and earlier leads of a routing are recorded.
    pub fn covers(&self, routing: &Routing) -> bool {
        let earlier = routing.history.iter();
        let mut all = present(&routing.routes)
            .chain(earlier.map(|earlier| (earlier.address, &earlier.service)));
        all.all(|(address, service)| self.find(address, service).is_ok())
    }

    /// The record with the leads of the active routing, without those that ended long ago.
    pub fn update(&self, routing: &Routing, unix_s: u64) -> Self {
        let mut next = Self::ended(routing, unix_s);
        for lead in &self.leads {
            let ended_s = lead.ended_s.unwrap_or(unix_s);
            if unix_s.saturating_sub(ended_s) < RETENTION_S {
                next.insert(Lead { ended_s: Some(ended_s), ..lead.clone() });
            }
        }
        for (address, service) in present(&routing.routes) {
            next.insert(Lead { address, service: service.clone(), ended_s: None });
        }
        next
    }

    /// The value stored under [`KEY`]; `None` if it is too long for the store.
    pub fn value(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_allocvec(&Record::from(self));
        let bytes = bytes.expect("every field has a known length");
        (bytes.len() <= MAX_VALUE_BYTES).then_some(bytes)
    }

    /// Adds a lead, or replaces it.
    fn insert(&mut self, lead: Lead) {
        match self.find(lead.address, &lead.service) {
            Ok(index) => self.leads[index] = lead,
            Err(index) => self.leads.insert(index, lead),
        }
    }

    /// The index of a lead, or its insertion point.
    fn find(&self, address: SocketAddrV4, service: &str) -> Result<usize, usize> {
        self.leads.binary_search_by(|lead| {
            (lead.address, &*lead.service).cmp(&(address, service))
        })
    }
}

/// The services that routes lead to, with the addresses of the routes.
pub fn present(routes: &[Route]) -> impl Iterator<Item = (SocketAddrV4, &Name)> {
    routes.iter().flat_map(|route| {
        let shares = route.split.iter().filter(|share| share.weight > 0);
        shares.map(|share| (route.address, &share.service))
    })
}

/// A store entry that is no record of leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl TryFrom<&Entry> for Leads {
    type Error = Invalid;

    fn try_from(entry: &Entry) -> Result<Self, Invalid> {
        let record: Record<'_> =
            postcard::from_bytes(&entry.value).map_err(|_| Invalid)?;
        let services: Vec<Name> =
            record.services.iter().map(|service| (*service).into()).collect();
        let mut leads = Self::default();
        for recorded in &record.leads {
            let service = services.get(usize::from(recorded.service)).ok_or(Invalid)?;
            let address = SocketAddrV4::new(Ipv4Addr::from(recorded.ip), recorded.port);
            let (service, ended_s) = (service.clone(), recorded.ended_s);
            leads.insert(Lead { address, service, ended_s });
        }
        Ok(leads)
    }
}

/// The encoded record. Many routes lead to few services.
#[derive(Serialize, Deserialize)]
struct Record<'a> {
    /// Names of services.
    #[serde(borrow)]
    services: Vec<&'a str>,
    /// The leads.
    leads: Vec<RecordedLead>,
}

/// An encoded lead.
#[derive(Serialize, Deserialize)]
struct RecordedLead {
    /// IP of the route's address.
    ip: u32,
    /// Port of the route's address.
    port: u16,
    /// Index of the service.
    service: u16,
    /// When it ended, in seconds since the Unix epoch.
    ended_s: Option<u64>,
}

impl<'a> From<&'a Leads> for Record<'a> {
    fn from(leads: &'a Leads) -> Self {
        let mut services: Vec<&str> = leads.iter().map(|lead| &*lead.service).collect();
        services.sort_unstable();
        services.dedup();
        let encode = |lead: &Lead| {
            let index = services.binary_search(&&*lead.service).ok()?;
            Some(RecordedLead {
                ip: (*lead.address.ip()).into(),
                port: lead.address.port(),
                service: u16::try_from(index).ok()?,
                ended_s: lead.ended_s,
            })
        };
        let encoded = leads.iter().filter_map(encode).collect();
        Self { leads: encoded, services }
    }
}
