//! The QUIC endpoint of one service at an agent.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::{AsyncTimer, AsyncUdpSocket, EndpointConfig, Runtime, ServerConfig};
use quinn::{IdleTimeout, TransportConfig};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use smol::Task;

use crate::connection::admission::Outcome;
use crate::connection::cid::{Generator, Origin};
use crate::connection::session;
use crate::connection::socket::{Egress, Socket};
use crate::connection::{admission, flow};
use crate::id::service;
use crate::process::agent::{Served, Shared};
use crate::process::clock::Clock;
use crate::process::drain::Drain;
use crate::process::event::Close;
use crate::process::link::{Link, MAX_DATAGRAM_LEN};
use crate::process::lock::Ranked;
use crate::process::metric;
use crate::process::pool::Pool;
use crate::process::return_path::RecentBalancers;
use crate::process::tables::Tables;
use crate::request::envelope::{Header, Return};

/// Idle timeout of connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between keep-alive packets, which maintain NAT bindings near callers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Certificate chain and key presented to callers.
#[derive(Debug)]
pub struct Identity {
    /// The chain; the service's own certificate comes first.
    pub chain: Vec<CertificateDer<'static>>,
    /// The key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl Clone for Identity {
    fn clone(&self) -> Self {
        Self { chain: self.chain.clone(), key: self.key.clone_key() }
    }
}

/// Accepts the connections of one service. Closes them when dropped.
#[derive(Debug)]
pub struct Endpoint<L: Link> {
    /// The service.
    served: Served,
    /// The drain signal of connections that are accepted from now on. Earlier ones keep theirs.
    drain: Arc<Mutex<Drain>>,
    /// Counts flows and requests.
    metrics: Arc<metric::Agent>,
    /// Receives callers' datagrams.
    socket: Arc<Socket<ReturnPath<L>>>,
    /// The QUIC endpoint.
    quic: quinn::Endpoint,
    /// The task that accepts connections.
    _task: Task<()>,
}

impl<L: Link> Endpoint<L> {
    /// Starts accepting connections for a service.
    ///
    /// # Errors
    /// If the certificate or its key is invalid, or there is no fleet key.
    pub fn start(shared: Arc<Shared<L>>, served: Served) -> io::Result<Self> {
        let return_path = ReturnPath {
            link: shared.link.clone(),
            tables: shared.tables.clone(),
            recent_balancers: shared.recent_balancers.clone(),
            clock: shared.clock,
        };
        let socket = Socket::new(served.address, return_path);
        let quic = quinn::Endpoint::new_with_abstract_socket(
            endpoint_config(&shared, &served)?,
            Some(server_config(&shared)?),
            socket.clone(),
            Arc::new(PoolRuntime(shared.pool.clone())),
        )?;
        let metrics = Arc::new(metric::Agent::new(&served.name));
        let drain = Arc::new(Mutex::new(Drain::default()));
        let service_state = (drain.clone(), metrics.clone());
        let accept = accept(shared.clone(), quic.clone(), service_state);
        let task = shared.pool.spawn(accept);
        Ok(Self { served, drain, metrics, socket, quic, _task: task })
    }

    /// The service.
    pub fn served(&self) -> &Served {
        &self.served
    }

    /// Identifies the endpoint. Both parts are needed: an address may be reused by another
    /// service, and a service may move to another address.
    pub fn key(&self) -> (service::Id, SocketAddr) {
        (self.served.id, self.served.address)
    }

    /// Begins the drain of the service: callers are told to open new flows (GOAWAY).
    pub fn begin_drain(&self) {
        self.drain.lock().begin();
    }

    /// Accepts new flows again after [`Self::begin_drain`]. The connections that drain continue
    /// to do so.
    pub fn resume(&self) {
        let mut drain = self.drain.lock();
        if drain.has_begun() {
            *drain = Drain::default();
        }
    }

    /// Whether the service drains, so that it gets no new flows.
    pub fn is_draining(&self) -> bool {
        self.drain.lock().has_begun()
    }

    /// Counts flows and requests.
    pub fn metrics(&self) -> &Arc<metric::Agent> {
        &self.metrics
    }

    /// Number of open connections.
    pub fn open(&self) -> u32 {
        self.quic.open_connections() as u32
    }

    /// Queues a datagram of a caller; returns `false` if the queue is full.
    pub fn push(&self, caller: SocketAddr, datagram: &[u8]) -> bool {
        self.socket.push(caller, datagram)
    }
}

impl<L: Link> Drop for Endpoint<L> {
    fn drop(&mut self) {
        let code = h3::error::Code::H3_NO_ERROR.value();
        self.quic.close(code.try_into().unwrap_or_default(), b"service removed");
    }
}

/// The path to callers, through any balancer heard from recently.
#[derive(Debug)]
pub struct ReturnPath<L> {
    /// Sends envelopes.
    link: L,
    /// Provides the keys.
    tables: Arc<Tables>,
    /// Balancers heard from recently.
    recent_balancers: Arc<Ranked<RecentBalancers>>,
    /// The clock.
    clock: Clock,
}

impl<L: Link> Egress for ReturnPath<L> {
    fn send(&self, service: SocketAddr, caller: SocketAddr, datagram: &[u8]) {
        let chosen =
            self.recent_balancers.read().choose(self.clock.now(), fastrand::u64(..));
        let Some(balancer) = chosen else { return };
        let header = Header::Return(Return { address: service, caller });
        let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
        if self.tables.keys().sealer.seal(&header, datagram, &mut out) {
            // QUIC retransmits a lost datagram.
            let _ = self.link.send(balancer, &out);
        }
    }
}

/// Accepts connections until the endpoint closes.
async fn accept<L: Link>(
    shared: Arc<Shared<L>>,
    endpoint: quinn::Endpoint,
    (drain, metrics): (Arc<Mutex<Drain>>, Arc<metric::Agent>),
) {
    while let Some(incoming) = endpoint.accept().await {
        let flow = flow::Key::new(incoming.remote_address(), &incoming.orig_dst_cid());
        // The flow table has recorded the decision that was made when the packet arrived. No
        // candidate remains, as the packet has already been delivered.
        let outcome = shared.flows.write().offer(shared.clock.now(), flow, 0);
        if matches!(outcome, Outcome::Refuse(_) | Outcome::HandOn) {
            incoming.refuse();
            continue;
        }
        let service_state = (drain.lock().clone(), metrics.clone());
        let task = serve_connection(shared.clone(), incoming, flow, service_state);
        shared.pool.spawn(task).detach();
    }
}

/// Serves one connection from handshake to close.
async fn serve_connection<L: Link>(
    shared: Arc<Shared<L>>,
    incoming: quinn::Incoming,
    flow: flow::Key,
    (drain, metrics): (Drain, Arc<metric::Agent>),
) {
    let _open = FlowGuard { flows: &shared.flows, flow, clock: shared.clock };
    let Ok(connecting) = incoming.accept() else { return };
    let Ok(connection) = connecting.await else { return };
    if !complete_handshake(&shared, flow) {
        connection.close(rejection_code(), b"no place");
        return;
    }
    let context = shared.context.clone();
    let end = session::run(&shared.pool, context, &drain, connection).await;
    metrics.count_closed(match end {
        session::End::Caller => Close::Caller,
        session::End::Drained => Close::Drained,
    });
}

/// Records that a handshake is complete; returns whether the flow is in the flow table.
///
/// Under packet loss, a handshake can take longer than half-open flows are kept. Its flow is
/// then admitted again if possible, since its caller already considers it open.
fn complete_handshake<L: Link>(shared: &Shared<L>, flow: flow::Key) -> bool {
    let now = shared.clock.now();
    let mut flows = shared.flows.write();
    flows.complete(now, flow)
        || matches!(flows.offer(now, flow, 0), Outcome::Admit | Outcome::Known)
            && flows.complete(now, flow)
}

/// The close code for connections that the agent cannot admit.
fn rejection_code() -> quinn::VarInt {
    h3::error::Code::H3_REQUEST_REJECTED.value().try_into().unwrap_or_default()
}

/// Removes a flow from the flow table when dropped.
struct FlowGuard<'a> {
    /// The flow table.
    flows: &'a Ranked<admission::Table>,
    /// The flow.
    flow: flow::Key,
    /// The clock.
    clock: Clock,
}

impl Drop for FlowGuard<'_> {
    fn drop(&mut self) {
        self.flows.write().close(self.clock.now(), self.flow);
    }
}

/// QUIC endpoint settings: tokens as connection IDs and the fleet's stateless reset key.
fn endpoint_config<L: Link>(
    shared: &Shared<L>,
    served: &Served,
) -> io::Result<EndpointConfig> {
    let keys = shared.tables.keys();
    let reset = keys.reset().ok_or_else(|| io::Error::other("step=serve: no key"))?;
    let mut config = EndpointConfig::new(Arc::new(reset.clone()));
    let tables = shared.tables.clone();
    let origin = Origin {
        service: served.id,
        domain: shared.domain(),
        agent: shared.envelope_address(),
        node: shared.node,
    };
    // Balancers recognise QUIC by the fixed bit, so callers must not be allowed to grease it
    // (RFC 9287). Otherwise half of their datagrams are dropped.
    config.grease_quic_bit(false);
    config.cid_generator(move || Box::new(Generator::new(tables.clone(), origin)));
    Ok(config)
}

/// TLS 1.3 settings without 0-RTT, and QUIC limits.
fn server_config<L: Link>(shared: &Shared<L>) -> io::Result<ServerConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let identity = shared.identity.clone();
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(io::Error::other)?
        .with_no_client_auth()
        .with_single_cert(identity.chain, identity.key)
        .map_err(io::Error::other)?;
    tls.alpn_protocols = vec![b"h3".to_vec()];
    // Early data can be replayed, and a replayed request would run twice.
    tls.max_early_data_size = 0;
    let tls = QuicServerConfig::try_from(tls).map_err(io::Error::other)?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(Arc::new(transport()?));
    Ok(config)
}

/// Limits of a connection.
fn transport() -> io::Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).map_err(io::Error::other)?;
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    // Envelopes add up to 120 bytes to a datagram, which must stay well below the usual MTU of
    // 1,500 bytes. Datagrams therefore keep QUIC's minimum size.
    transport.mtu_discovery_config(None);
    Ok(transport)
}

/// Runs quinn's tasks on the worker pool.
#[derive(Debug)]
struct PoolRuntime(Pool);

impl Runtime for PoolRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        quinn::SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.0.spawn(future).detach();
    }

    fn wrap_udp_socket(
        &self,
        socket: std::net::UdpSocket,
    ) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        quinn::SmolRuntime.wrap_udp_socket(socket)
    }
}
