//! Starts a balancer or an agent with its gossip service.

use std::io;
use std::sync::Arc;

use crate::id::{domain, node};
use crate::process::control::agent::Worker as AgentWorker;
use crate::process::control::balancer::Worker as BalancerWorker;
use crate::process::control::keys::Keys;
use crate::process::control::{Agent, Balancer, StatusSource};
use crate::process::endpoint::Identity;
use crate::process::event::{self, Kind, Recorder};
use crate::process::gossip::core::Core;
use crate::process::gossip::driver::Gossip;
use crate::process::gossip::entry::{Node, Role, Stage};
use crate::process::gossip::seal::Sealer;
use crate::process::ingress::Ingress;
use crate::process::key::Secret;
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::pool::Pool;
use crate::process::relay::{self, Relay};
use crate::process::store::Store;
use crate::process::tables::Tables;
use crate::process::{agent, balancer, clock, settings};
use crate::version::assembly::Config;
use crate::version::config;

/// Failure domain that is announced until the configuration names the own one. Agents that
/// announce it get no flows.
const UNKNOWN_DOMAIN: domain::Id = domain::Id(u8::MAX);

/// Parameters of a process to start.
#[derive(Debug, Clone)]
pub struct Builder {
    /// Runs tasks.
    pool: Pool,
    /// Name, failure domain, peers. The links replace the addresses to listen at.
    settings: settings::Node,
    /// The fleet secret.
    secret: Secret,
    /// Records events.
    recorder: Recorder,
    /// The incarnation.
    node: node::Id,
    /// Seed of the random choices of gossip.
    seed: u64,
}

impl Builder {
    /// Takes the settings; draws incarnation and seed at random.
    pub fn new(
        pool: &Pool,
        settings: &settings::Node,
        secret: Secret,
        recorder: Recorder,
    ) -> Self {
        let settings = settings.clone();
        let (node, seed) = (node::Id(fastrand::u64(..)), fastrand::u64(..));
        Self { pool: pool.clone(), settings, secret, recorder, node, seed }
    }

    /// Sets the incarnation.
    #[must_use]
    pub fn node(mut self, node: node::Id) -> Self {
        self.node = node;
        self
    }

    /// Sets the seed of the random choices of gossip.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts a balancer. `envelopes` and `messages` are the links for envelopes and for
    /// gossip.
    pub fn balancer<I: Ingress, L: Link, X: Link, S: Store>(
        self,
        ingress: I,
        envelopes: L,
        messages: X,
        store: S,
    ) -> Balancer<X> {
        let keys = Keys::new(self.node, self.secret.clone());
        let tables = Arc::new(Tables::new(keys.keyring()));
        let status_source = self.status_source(event::Role::Balancer);
        let announcement =
            self.announcement(Role::Balancer, Name::from(""), &envelopes, &messages);
        let address = messages.local_addr();
        let gossip = self.gossip(announcement, messages);
        let settings = relay::Settings {
            node: self.node,
            domain: self.settings.domain.clone(),
            gossip_address: address,
            has_peers: !self.settings.peers.is_empty(),
        };
        let relay = Relay::start(
            &self.pool,
            store,
            gossip.clone(),
            self.recorder.clone(),
            settings,
        );
        let worker = BalancerWorker {
            gossip: gossip.clone(),
            tables: tables.clone(),
            status_source: status_source.clone(),
            recorder: self.recorder.clone(),
            clock: clock::Clock::new(),
            keys,
            domain: self.settings.domain.clone(),
            config: Config::default(),
            peers: Vec::new(),
            has_view: false,
        };
        let data_plane =
            balancer::Balancer::start(&self.pool, tables.clone(), ingress, envelopes);
        let task = self.pool.spawn(worker.run());
        Balancer {
            gossip,
            tables,
            status_source,
            relay,
            _data_plane: data_plane,
            _task: task,
        }
    }

    /// Starts an agent. `envelopes` and `messages` are the links for envelopes and for gossip.
    ///
    /// # Errors
    /// If `envelopes` is not at an IPv4 address, which tokens need.
    pub fn agent<L: Link, X: Link>(
        self,
        settings: &settings::Agent,
        identity: Identity,
        envelopes: L,
        messages: X,
    ) -> io::Result<Agent<L, X>> {
        let keys = Keys::new(self.node, self.secret.clone());
        let tables = Arc::new(Tables::new(keys.keyring()));
        let status_source = self.status_source(event::Role::Agent);
        let announcement =
            self.announcement(Role::Agent, settings.set.clone(), &envelopes, &messages);
        let start = agent::Settings {
            node: self.node,
            domain: UNKNOWN_DOMAIN,
            backend: settings.server,
            limits: config::Limits::lowest().into(),
            identity,
        };
        let data_plane =
            Arc::new(agent::Agent::start(&self.pool, tables, envelopes, start)?);
        let gossip = self.gossip(announcement, messages);
        let worker = AgentWorker {
            gossip: gossip.clone(),
            data_plane: data_plane.clone(),
            status_source: status_source.clone(),
            recorder: self.recorder.clone(),
            keys,
            config: Config::default(),
            domain: self.settings.domain.clone(),
            organisation: self.settings.organisation.clone(),
            set: settings.set.clone(),
            load: None,
            stage: None,
        };
        let task = self.pool.spawn(worker.run());
        let recorder = self.recorder;
        Ok(Agent { gossip, status_source, recorder, data_plane, _task: task })
    }

    /// Creates the status of the process, and records its start.
    fn status_source(&self, role: event::Role) -> StatusSource {
        self.recorder
            .record(clock::wall_ms(), Kind::ProcessStarted { role, node: self.node });
        let (name, domain) = (self.settings.name.clone(), self.settings.domain.clone());
        StatusSource::new(name, role, self.node, domain)
    }

    /// The announcement of the process.
    fn announcement<L: Link, X: Link>(
        &self,
        role: Role,
        set: Name,
        envelopes: &L,
        messages: &X,
    ) -> Node {
        let organisation = match role {
            Role::Balancer => Name::from(""),
            Role::Agent => self.settings.organisation.clone(),
        };
        Node {
            id: self.node,
            version: 1,
            name: self.settings.name.clone(),
            role,
            envelope_address: envelopes.local_addr(),
            gossip_address: messages.local_addr(),
            admin_address: self.settings.admin,
            domain: UNKNOWN_DOMAIN,
            set,
            organisation,
            stage: match role {
                Role::Balancer => Stage::Active,
                Role::Agent => Stage::Cold,
            },
        }
    }

    /// Starts the gossip service.
    fn gossip<X: Link>(&self, node: Node, messages: X) -> Gossip<X> {
        let core = Core::new(node, self.seed);
        let key = self.secret.gossip();
        let sealer = Sealer::new(self.node, vec![key], self.secret.id);
        let gossip =
            Gossip::start(&self.pool, messages, core, sealer, self.recorder.clone());
        self.settings.peers.iter().for_each(|peer| gossip.add_seed(*peer));
        gossip
    }
}
