//! A fake balancer that uses the real routing.

use std::net::SocketAddr;

use lentilreach::process::clock::Millis;
use lentilreach::request::envelope::{Forward, HOME};
use lentilreach::request::packet::Packet;
use lentilreach::request::route::{Verdict, route};
use lentilreach::version::view::{Domain, Member, Service, Stage, View};

use super::{Body, Config, Message, Participant, Simulation, address, agent_at, id};

/// A member not heard from for this long gets no new flow, in milliseconds.
const SILENT_MS: u64 = 3_000;

/// Secret shared by all balancers.
const SALT: u64 = 77;

/// The state of a balancer.
#[derive(Default)]
pub struct Balancer {
    pub dead: bool,
    pub config: Config,
    /// Indexed by agent: service, sequence number and time of the last announcement, and its
    /// content.
    members: Vec<Option<(usize, u64, Millis, Member)>>,
    pub view: View,
}

impl Simulation {
    pub(super) fn deliver_to_balancer(&mut self, at: usize, message: Message) {
        if self.balancers[at].dead {
            return;
        }
        match message {
            Message::Datagram(caller, service, datagram, body) => {
                self.forward(at, caller, service, datagram, body);
            }
            Message::Return(caller, _) => {
                self.send(Participant::Caller(usize::from(caller.port()) % 100), message);
            }
            Message::Member(count, agent, member) => {
                self.record_member(at, count, agent, member)
            }
            Message::Config(config) => {
                let balancer = &mut self.balancers[at];
                self.counts.reverted += u32::from(adopt(&mut balancer.config, config));
                self.rebuild(at);
            }
            _ => {}
        }
    }

    /// Routes a datagram with the real decision logic.
    fn forward(
        &mut self,
        at: usize,
        caller: SocketAddr,
        service: SocketAddr,
        datagram: Vec<u8>,
        body: Body,
    ) {
        let Ok(packet) = Packet::parse(caller, service, &datagram) else { return };
        let (id, to, candidates) =
            match route(&self.balancers[at].view, &self.keys, &packet, SALT) {
                Verdict::Forward { service, agent } => (service, agent, Vec::new()),
                Verdict::Offer { service, home, candidates } => {
                    (service, home, candidates.as_slice().to_vec())
                }
                Verdict::Drop(_) => return,
            };
        let balancer = SocketAddr::from(([127, 3, 0, at as u8], 1));
        let view = &self.balancers[at].view;
        let mean = view.service(service).and_then(Service::mean);
        let opening = !candidates.is_empty();
        let forward = Forward {
            service: id,
            address: service,
            caller,
            balancer,
            home: opening.then_some(to),
            fewest_open: None,
            handed_back: false,
            position: if opening { HOME } else { 0 },
            mean,
            candidates,
        };
        self.send(agent_at(to), Message::Forward(forward, datagram, body));
    }

    /// Records an announcement unless a newer one is known.
    fn record_member(&mut self, at: usize, count: u64, agent: usize, member: Member) {
        let service = self.agents[agent].service;
        let now = self.now;
        let members = &mut self.balancers[at].members;
        members.resize(members.len().max(agent + 1), None);
        if members[agent].is_none_or(|(_, known, ..)| known < count) {
            members[agent] = Some((service, count, now, member));
        }
        self.rebuild(at);
    }

    /// Rebuilds the view from the known members.
    fn rebuild(&mut self, at: usize) {
        let now = self.now;
        let Balancer { members, view, config, .. } = &mut self.balancers[at];
        let services = (0..2).map(|service| {
            let of = members.iter().flatten().filter(|(other, ..)| *other == service);
            let list = of.map(|(_, _, heard, member)| {
                let silent = now.since(*heard) > SILENT_MS;
                let stage = if silent { Stage::Silent } else { member.stage };
                Member { stage, ..*member }
            });
            let list: Vec<_> = list.collect();
            let old = view.service(address(service));
            let same = old.and_then(|old| old.refresh(list.clone()));
            let new =
                || Service::new(address(service), id(service), "s".into(), list.clone());
            same.unwrap_or_else(new)
        });
        let domains = (0..).zip(config.out).map(|(id, out)| Domain {
            id: lentilreach::id::domain::Id(id),
            name: "d".into(),
            out,
        });
        *view = View::new(config.revision, services.collect(), domains.collect());
    }
}

/// Replaces `config` if `new` has a higher revision; returns whether the revision decreased.
pub fn adopt(config: &mut Config, new: Config) -> bool {
    let before = config.revision;
    if new.revision > config.revision {
        *config = new;
    }
    config.revision < before
}
