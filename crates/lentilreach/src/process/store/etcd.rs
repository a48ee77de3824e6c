//! A client for etcd over its gRPC protocol, with one attempt per call.

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
use super::{Batch, LOCK_RANK, Lease, Range, Revision, Store, Txn, TxnResult};
use crate::process::lock::Ranked;
use crate::process::name::Name;
use crate::process::pool::Pool;

/// Maximum size of an answer, in bytes. It bounds the memory that control traffic may use on a
/// node.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A client without a call budget or retries, and with no timeout except for connecting.
///
/// All clones share one connection. It is replaced after it was lost and after a call was
/// cancelled without an answer, because the network path may be dropping packets.
#[derive(Debug, Clone)]
pub struct Client {
    /// The state that all clones share.
    shared: Arc<Shared>,
}

/// The state that all clones of a client share.
#[derive(Debug)]
struct Shared {
    /// The addresses of the store. Never empty.
    endpoints: Arc<[SocketAddr]>,
    /// The endpoints as they appear in errors.
    name: Name,
    /// Timeout for opening a connection.
    connect: Duration,
    /// Interval between pings.
    ping: Duration,
    /// Runs the tasks of the connections.
    pool: Pool,
    /// The current connection.
    current: Ranked<Current>,
}

/// The current connection and the choice of the next endpoint.
#[derive(Debug, Default)]
struct Current {
    /// The connection for the next call, if one is open.
    connection: Option<Connection>,
    /// Number of connections tried so far; selects the endpoint.
    tried: usize,
}

/// A connection and the peer that it leads to.
#[derive(Debug, Clone)]
struct Connection {
    /// The connection.
    channel: Channel,
    /// Address of the peer, for errors.
    peer: Name,
    /// The origin of requests to the peer.
    origin: Uri,
    /// Identifies the connection within the client.
    serial: usize,
}

impl Client {
    /// Creates a client that connects at the first call.
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
            current: Ranked::new(LOCK_RANK, Current::default()),
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Executes a call on the current connection, or on a new one.
    async fn call<T, F>(
        &self,
        step: Step,
        run: impl FnOnce(Connection) -> F + Send,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Status>> + Send,
    {
        let connection = self.connection().await?;
        let mut pending =
            PendingCall { shared: &self.shared, serial: Some(connection.serial) };
        let peer = connection.peer.clone();
        let answer = run(connection).await;
        pending.serial = None;
        answer.map_err(|status| convert::error_from_status(step, &peer, &status))
    }

    /// Returns the current connection, or opens a new one.
    ///
    /// Concurrent calls without a connection each open one, and the last one is kept. This
    /// avoids holding a lock across an await; the call budget limits the number of connections.
    async fn connection(&self) -> Result<Connection, Error> {
        let current = self.shared.current.read().connection.clone();
        if let Some(connection) =
            current.filter(|connection| !connection.channel.is_closed())
        {
            return Ok(connection);
        }
        let serial = {
            let mut current = self.shared.current.write();
            current.tried += 1;
            current.tried
        };
        let endpoints = &self.shared.endpoints;
        let endpoint = endpoints[(serial - 1) % endpoints.len()];
        let peer: Name = endpoint.to_string().into();
        let connection = self.open(endpoint, serial, &peer).await.map_err(|cause| {
            Error::Unavailable { step: Step::Connect, peer, cause: cause.to_string() }
        })?;
        self.shared.current.write().connection = Some(connection.clone());
        Ok(connection)
    }

    /// Opens a connection to an endpoint.
    async fn open(
        &self,
        endpoint: SocketAddr,
        serial: usize,
        peer: &Name,
    ) -> io::Result<Connection> {
        let origin = Uri::builder().scheme("http").authority(&**peer).path_and_query("/");
        let origin = origin.build().map_err(io::Error::other)?;
        let timeout = async {
            Timer::after(self.shared.connect).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let channel = Channel::connect(endpoint, self.shared.ping, &self.shared.pool);
        let channel = future::or(channel, timeout).await?;
        Ok(Connection { channel, peer: peer.clone(), origin, serial })
    }
}

impl Store for Client {
    type Watch = Watch;

    fn peer(&self) -> Name {
        self.shared.name.clone()
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let (key, range_end) = convert::prefix_range(prefix);
        let request = RangeRequest { key, range_end };
        let answer = self.call(Step::Range, |connection| async move {
            let mut client = connection.keys();
            client.range(request).await
        });
        Range::try_from(answer.await?.into_inner())
            .map_err(|malformed| malformed.into_error(Step::Range, &self.peer()))
    }

    async fn write(&self, txn: Txn) -> Result<TxnResult, Error> {
        let request = TxnRequest::from(txn);
        let answer = self.call(Step::Write, |connection| async move {
            let mut client = connection.keys();
            client.txn(request).await
        });
        TxnResult::try_from(answer.await?.into_inner())
            .map_err(|malformed| malformed.into_error(Step::Write, &self.peer()))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let request = LeaseGrantRequest { ttl: convert::ttl_seconds(ttl), id: 0 };
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
            .ok_or_else(|| Malformed("no answer").into_error(Step::Keep, &self.peer()))?;
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

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch, Error> {
        let request = convert::watch_request(prefix, from.number);
        let watch = self.call(Step::Watch, |connection| async move {
            let mut client = WatchClient::with_origin(
                connection.channel.clone(),
                connection.origin.clone(),
            )
            .max_decoding_message_size(MAX_ANSWER_BYTES);
            // The channel has room for the request, which is the only one.
            let (sender, requests) = async_channel::bounded(1);
            let _ = sender.try_send(request);
            let mut answers = client.watch(requests).await?.into_inner();
            let first = answers.message().await?;
            let watch = Watch {
                answers,
                _requests: sender,
                _connection: connection.clone(),
                peer: connection.peer,
            };
            Ok((first, watch))
        });
        let (first, watch) = watch.await?;
        match first {
            Some(answer) if answer.created && !answer.canceled => Ok(watch),
            Some(answer) if answer.canceled => Err(watch.canceled(answer)),
            _ => Err(Malformed("watch not created").into_error(Step::Watch, &watch.peer)),
        }
    }
}

impl Connection {
    /// A client for calls about keys.
    fn keys(&self) -> KvClient<Channel> {
        KvClient::with_origin(self.channel.clone(), self.origin.clone())
            .max_decoding_message_size(MAX_ANSWER_BYTES)
    }

    /// A client for calls about leases.
    fn leases(&self) -> LeaseClient<Channel> {
        LeaseClient::with_origin(self.channel.clone(), self.origin.clone())
    }
}

/// An open watch. It ends with the first error.
#[derive(Debug)]
pub struct Watch {
    /// The stream of answers.
    answers: Streaming<WatchResponse>,
    /// Keeps the stream of requests open. When it is dropped, the store ends the watch;
    /// dropping the answers alone does not reset the stream.
    _requests: async_channel::Sender<WatchRequest>,
    /// Keeps the connection open.
    _connection: Connection,
    /// Address of the store.
    peer: Name,
}

impl super::Watch for Watch {
    async fn next(&mut self) -> Result<Batch, Error> {
        loop {
            let answer = self.answers.message().await;
            let answer = answer
                .map_err(|s| convert::error_from_status(Step::Watch, &self.peer, &s))?;
            match answer {
                Some(answer) if answer.canceled => return Err(self.canceled(answer)),
                // A message without changes only reports the progress of the store.
                Some(answer) if answer.events.is_empty() => {}
                Some(answer) => {
                    return Batch::try_from(answer.events).map_err(|malformed| {
                        malformed.into_error(Step::Watch, &self.peer)
                    });
                }
                None => return Err(self.ended("watch ended by the store".to_owned())),
            }
        }
    }
}

impl Watch {
    /// The error for a watch that the store cancelled.
    fn canceled(&self, answer: WatchResponse) -> Error {
        match u64::try_from(answer.compact_revision) {
            Ok(revision) if revision > 0 => {
                Error::Compacted { step: Step::Watch, peer: self.peer.clone(), revision }
            }
            _ => self.ended(answer.cancel_reason),
        }
    }

    /// The error for a watch that ended and may be opened again.
    fn ended(&self, cause: String) -> Error {
        Error::Unavailable { step: Step::Watch, peer: self.peer.clone(), cause }
    }
}

/// A call without an answer yet.
///
/// If it is dropped, the current connection is discarded, so that the next call opens another
/// one. Open watches keep their connection.
struct PendingCall<'a> {
    /// The client's state.
    shared: &'a Shared,
    /// The connection in use; `None` once the call is answered.
    serial: Option<usize>,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if let Some(serial) = self.serial {
            let mut current = self.shared.current.write();
            current.connection.take_if(|connection| connection.serial == serial);
        }
    }
}
