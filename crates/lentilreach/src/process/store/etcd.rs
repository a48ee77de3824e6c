//! The store over its published gRPC protocol, one attempt per call.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use futures_util::stream;
use http::Uri;
use tonic::{Status, Streaming};

use super::channel::Channel;
use super::convert::{self, Malformed};
use super::error::{Error, Step};
use super::proto::etcdserverpb::kv_client::KvClient;
use super::proto::etcdserverpb::lease_client::LeaseClient;
use super::proto::etcdserverpb::watch_client::WatchClient;
use super::proto::etcdserverpb::{
    LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest, RangeRequest,
    TxnRequest, WatchRequest, WatchResponse,
};
use super::settings::Settings;
use super::{Batch, Lease, RANK, Range, Store, Txn, Written};
use crate::process::lock::Ranked;
use crate::process::name::Name;
use crate::process::pool::Pool;

/// Largest answer that is accepted, in bytes: the memory that control may take on a node.
const MAX_ANSWER: usize = 32 << 20;

/// A client without budget, retries or timeouts, except for connecting.
///
/// Clones share one connection, which is replaced after it is lost and after a call that was
/// given up, as that may mean a path that swallows packets.
#[derive(Debug, Clone)]
pub struct Client {
    /// What clones share.
    shared: Arc<Shared>,
}

/// What clones of a client share.
#[derive(Debug)]
struct Shared {
    /// Never empty.
    endpoints: Arc<[SocketAddr]>,
    /// The endpoints as they appear in errors.
    name: Name,
    /// Time for opening a connection.
    connect: Duration,
    /// Time between pings.
    ping: Duration,
    /// Runs the connections.
    pool: Pool,
    /// The current connection.
    slot: Ranked<Slot>,
}

/// The current connection and which one comes next.
#[derive(Debug, Default)]
struct Slot {
    /// The connection for the next call.
    connection: Option<Connection>,
    /// Number of connections tried; chooses the endpoint.
    tried: usize,
}

/// A connection with what errors and requests say about its peer.
#[derive(Debug, Clone)]
struct Connection {
    /// The connection.
    channel: Channel,
    /// Address of the peer.
    peer: Name,
    /// The peer as the origin of requests.
    origin: Uri,
    /// Tells connections apart.
    serial: usize,
}

impl Client {
    /// A client that connects at the first call.
    ///
    /// # Errors
    /// If the settings name no endpoint.
    pub fn new(settings: &Settings, pool: Pool) -> io::Result<Self> {
        if settings.endpoints.is_empty() {
            let message = "the settings name no address of the store; add at least one";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let names: Vec<_> = settings.endpoints.iter().map(ToString::to_string).collect();
        let shared = Shared {
            endpoints: settings.endpoints.clone(),
            name: names.join(",").into(),
            connect: Duration::from_millis(settings.connect_ms),
            ping: Duration::from_millis(settings.ping_ms),
            pool,
            slot: Ranked::new(RANK, Slot::default()),
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Makes one call on the current connection, or on a new one.
    async fn call<T, F>(
        &self,
        step: Step,
        run: impl FnOnce(Connection) -> F + Send,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Status>> + Send,
    {
        let connection = self.connection().await?;
        let mut open = Open { shared: &self.shared, serial: Some(connection.serial) };
        let peer = connection.peer.clone();
        let answer = run(connection).await;
        open.serial = None;
        answer.map_err(|status| convert::error(step, &peer, &status))
    }

    /// The current connection, or a new one.
    ///
    /// Calls that find none at the same time each open one; the last one stays. That needs
    /// no lock over an await, and the call budget limits their number.
    async fn connection(&self) -> Result<Connection, Error> {
        let current = self.shared.slot.read().connection.clone();
        if let Some(connection) =
            current.filter(|connection| !connection.channel.is_closed())
        {
            return Ok(connection);
        }
        let serial = {
            let mut slot = self.shared.slot.write();
            slot.tried += 1;
            slot.tried
        };
        let endpoints = &self.shared.endpoints;
        let endpoint = endpoints[(serial - 1) % endpoints.len()];
        let peer: Name = endpoint.to_string().into();
        let connection = self.open(endpoint, serial, &peer).await.map_err(|cause| {
            Error::Unavailable { step: Step::Connect, peer, cause: cause.to_string() }
        })?;
        self.shared.slot.write().connection = Some(connection.clone());
        Ok(connection)
    }

    /// Opens a connection.
    async fn open(
        &self,
        endpoint: SocketAddr,
        serial: usize,
        peer: &Name,
    ) -> io::Result<Connection> {
        let origin = Uri::builder().scheme("http").authority(&**peer).path_and_query("/");
        let origin = origin.build().map_err(io::Error::other)?;
        let late = async {
            Timer::after(self.shared.connect).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let channel = Channel::connect(endpoint, self.shared.ping, &self.shared.pool);
        let channel = future::or(channel, late).await?;
        Ok(Connection { channel, peer: peer.clone(), origin, serial })
    }
}

impl Store for Client {
    type Watch = Watch;

    fn peer(&self) -> Name {
        self.shared.name.clone()
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let (key, range_end) = convert::bounds(prefix);
        let request = RangeRequest { key, range_end };
        let answer = self.call(Step::Range, |connection| async move {
            let mut client = connection.keys();
            client.range(request).await
        });
        Range::try_from(answer.await?.into_inner())
            .map_err(|malformed| malformed.at(Step::Range, &self.peer()))
    }

    async fn write(&self, txn: Txn) -> Result<Written, Error> {
        let request = TxnRequest::from(txn);
        let answer = self.call(Step::Write, |connection| async move {
            let mut client = connection.keys();
            client.txn(request).await
        });
        Written::try_from(answer.await?.into_inner())
            .map_err(|malformed| malformed.at(Step::Write, &self.peer()))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let request = LeaseGrantRequest { ttl: convert::seconds(ttl), id: 0 };
        let answer = self.call(Step::Grant, |connection| async move {
            let mut client = connection.leases();
            client.lease_grant(request).await
        });
        let answer = answer.await?.into_inner();
        if answer.error.is_empty() {
            return Ok(Lease(answer.id));
        }
        let (step, peer) = (Step::Grant, self.peer());
        Err(Error::Protocol { step, peer, cause: answer.error })
    }

    async fn keep(&self, lease: Lease) -> Result<Duration, Error> {
        let request = LeaseKeepAliveRequest { id: lease.0 };
        let answer = self.call(Step::Keep, |connection| async move {
            let mut client = connection.leases();
            let mut answers =
                client.lease_keep_alive(stream::iter([request])).await?.into_inner();
            answers.message().await
        });
        let answer = answer
            .await?
            .ok_or_else(|| Malformed("no answer").at(Step::Keep, &self.peer()))?;
        match u64::try_from(answer.ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::Lapsed { step: Step::Keep, peer: self.peer() }),
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let request = LeaseRevokeRequest { id: lease.0 };
        let answer = self.call(Step::Revoke, |connection| async move {
            let mut client = connection.leases();
            client.lease_revoke(request).await
        });
        match answer.await {
            Ok(_) | Err(Error::Lapsed { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Watch, Error> {
        let request = convert::watch(prefix, from);
        let watch = self.call(Step::Watch, |connection| async move {
            let mut client = WatchClient::with_origin(
                connection.channel.clone(),
                connection.origin.clone(),
            )
            .max_decoding_message_size(MAX_ANSWER);
            // The request is the only one; a new channel has room for it.
            let (hold, requests) = async_channel::bounded(1);
            let _ = hold.try_send(request);
            let mut answers = client.watch(requests).await?.into_inner();
            let first = answers.message().await?;
            let watch = Watch {
                answers,
                _hold: hold,
                _connection: connection.clone(),
                peer: connection.peer,
            };
            Ok((first, watch))
        });
        let (first, watch) = watch.await?;
        match first {
            Some(answer) if answer.created && !answer.canceled => Ok(watch),
            Some(answer) if answer.canceled => Err(watch.canceled(answer)),
            _ => Err(Malformed("watch not created").at(Step::Watch, &watch.peer)),
        }
    }
}

impl Connection {
    /// Calls for keys.
    fn keys(&self) -> KvClient<Channel> {
        KvClient::with_origin(self.channel.clone(), self.origin.clone())
            .max_decoding_message_size(MAX_ANSWER)
    }

    /// Calls for leases.
    fn leases(&self) -> LeaseClient<Channel> {
        LeaseClient::with_origin(self.channel.clone(), self.origin.clone())
    }
}

/// An open watch. It ends with the first error.
#[derive(Debug)]
pub struct Watch {
    /// The store's messages.
    answers: Streaming<WatchResponse>,
    /// Keeps the stream of requests open. The store ends the watch when it is dropped;
    /// dropping the answers alone does not reset the stream.
    _hold: async_channel::Sender<WatchRequest>,
    /// Keeps the connection open.
    _connection: Connection,
    /// Address of the store.
    peer: Name,
}

impl super::Watch for Watch {
    async fn next(&mut self) -> Result<Batch, Error> {
        loop {
            let answer = self.answers.message().await;
            let answer =
                answer.map_err(|s| convert::error(Step::Watch, &self.peer, &s))?;
            match answer {
                Some(answer) if answer.canceled => return Err(self.canceled(answer)),
                // Without changes, a message only says how far the store is.
                Some(answer) if answer.events.is_empty() => {}
                Some(answer) => {
                    return Batch::try_from(answer.events)
                        .map_err(|malformed| malformed.at(Step::Watch, &self.peer));
                }
                None => return Err(self.ended("watch ended by the store".to_owned())),
            }
        }
    }
}

impl Watch {
    /// Why the store ended the watch.
    fn canceled(&self, answer: WatchResponse) -> Error {
        match u64::try_from(answer.compact_revision) {
            Ok(revision) if revision > 0 => {
                Error::Compacted { step: Step::Watch, peer: self.peer.clone(), revision }
            }
            _ => self.ended(answer.cancel_reason),
        }
    }

    /// The watch ended and may be opened again.
    fn ended(&self, cause: String) -> Error {
        Error::Unavailable { step: Step::Watch, peer: self.peer.clone(), cause }
    }
}

/// A call that has no answer yet.
///
/// If it is dropped, the next call opens another connection; open watches keep theirs.
struct Open<'a> {
    /// The client's state.
    shared: &'a Shared,
    /// The connection in use; none once the call is answered.
    serial: Option<usize>,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if let Some(serial) = self.serial {
            let mut slot = self.shared.slot.write();
            slot.connection.take_if(|connection| connection.serial == serial);
        }
    }
}
