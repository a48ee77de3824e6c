//! The store's gRPC services, for one connection.

use std::future;
use std::pin::Pin;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::future as race;
use futures_util::stream::{self, Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming, async_trait};

use lentilreach::process::store::proto::etcdserverpb::kv_server::Kv;
use lentilreach::process::store::proto::etcdserverpb::lease_server::Lease as Leases;
use lentilreach::process::store::proto::etcdserverpb::watch_request::RequestUnion;
use lentilreach::process::store::proto::etcdserverpb::watch_server::Watch as Watches;
use lentilreach::process::store::proto::etcdserverpb::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse, RangeRequest, RangeResponse, ResponseHeader,
    TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest, WatchResponse,
};
use lentilreach::process::store::{Lease, Step};

use super::core::{Core, KeyRange, RequestError};
use super::handle::{CallError, Handle};
use super::watcher::Watcher;
use super::wire;

/// A stream of responses.
type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Handles the calls of one connection.
#[derive(Debug, Clone)]
pub(super) struct Service {
    /// The store.
    handle: Handle,
    /// Closes the connection on a message.
    close: Sender<()>,
}

impl Service {
    /// Serves the handle's store. A message on `close` closes the connection.
    pub(super) fn new(handle: Handle, close: Sender<()>) -> Self {
        Self { handle, close }
    }

    /// Converts a call's error to a gRPC status.
    ///
    /// If the response is to be lost, closes the connection and never returns.
    async fn respond<T>(&self, result: Result<T, CallError>) -> Result<T, Status> {
        let call_error = match result {
            Ok(result) => return Ok(result),
            Err(call_error) => call_error,
        };
        Err(match call_error {
            CallError::Unavailable => Status::unavailable("the store is unavailable"),
            CallError::Throttled => {
                Status::resource_exhausted("etcdserver: too many requests")
            }
            CallError::Rejected(RequestError::NoLease) => {
                Status::not_found("etcdserver: requested lease not found")
            }
            CallError::Rejected(RequestError::Compacted { .. }) => Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ),
            CallError::Rejected(RequestError::Invalid(cause)) => {
                Status::invalid_argument(cause)
            }
            CallError::ResponseLost => {
                // Fails only if a message is already queued or the connection has closed.
                let _ = self.close.try_send(());
                future::pending().await
            }
        })
    }

    /// Renews one lease. An expired lease is reported with a time to live of 0, as in etcd.
    async fn keep_alive(&self, id: i64) -> Result<LeaseKeepAliveResponse, Status> {
        let result = self.handle.call(Step::Keep, |core, now| {
            let ttl = match core.keep_alive(now, Lease(id)) {
                Err(RequestError::NoLease) => 0,
                ttl => ttl?,
            };
            Ok(LeaseKeepAliveResponse { header: header(core), id, ttl })
        });
        self.respond(result.await).await
    }

    /// Opens a watch. The inner error is the oldest revision that a watch can start from.
    async fn open_watch(
        &self,
        create: WatchCreateRequest,
    ) -> Result<Result<Watcher, u64>, Status> {
        let key_range = key_range(&create.key, &create.range_end)?;
        let from = u64::try_from(create.start_revision)
            .map_err(|_| Status::invalid_argument("negative revision"))?;
        match self.handle.watch(key_range, from).await {
            Ok(watcher) => Ok(Ok(watcher)),
            Err(CallError::Rejected(RequestError::Compacted { oldest })) => {
                Ok(Err(oldest))
            }
            Err(call_error) => self.respond(Err(call_error)).await,
        }
    }
}

#[async_trait]
impl Kv for Service {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        let request = request.into_inner();
        let key_range = key_range(&request.key, &request.range_end)?;
        let result = self.handle.call(Step::Range, |core, _| {
            let kvs: Vec<_> =
                core.range(&key_range).entries.into_iter().map(wire::pair).collect();
            let count = kvs.len() as i64;
            Ok(RangeResponse { header: header(core), kvs, more: false, count })
        });
        self.respond(result.await).await.map(Response::new)
    }

    async fn txn(
        &self,
        request: Request<TxnRequest>,
    ) -> Result<Response<TxnResponse>, Status> {
        let (txn, reads) = wire::txn(request.into_inner())?;
        let result = self.handle.call(Step::Write, |core, _| {
            let written = core.write(&txn)?;
            Ok(wire::written(written, &reads, header(core)))
        });
        self.respond(result.await).await.map(Response::new)
    }
}

#[async_trait]
impl Leases for Service {
    type LeaseKeepAliveStream = ResponseStream<LeaseKeepAliveResponse>;

    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        let request = request.into_inner();
        if request.id != 0 {
            return Err(Status::unimplemented(
                "lease ids chosen by the client are not supported",
            ));
        }
        let result = self.handle.call(Step::Grant, |core, now| {
            let Lease(id) = core.grant(now, request.ttl)?;
            let (header, error) = (header(core), String::new());
            Ok(LeaseGrantResponse { header, id, ttl: request.ttl, error })
        });
        self.respond(result.await).await.map(Response::new)
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        let lease = Lease(request.into_inner().id);
        let result = self.handle.call(Step::Revoke, |core, _| {
            core.revoke(lease)?;
            Ok(LeaseRevokeResponse { header: header(core) })
        });
        self.respond(result.await).await.map(Response::new)
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let service = self.clone();
        let responses = request.into_inner().then(move |request| {
            let service = service.clone();
            async move { service.keep_alive(request?.id).await }
        });
        Ok(Response::new(Box::pin(responses)))
    }
}

#[async_trait]
impl Watches for Service {
    type WatchStream = ResponseStream<WatchResponse>;

    /// Serves one watch per stream; etcd allows several.
    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let mut requests = request.into_inner();
        let first = requests.message().await?.and_then(|request| request.request_union);
        let Some(RequestUnion::CreateRequest(create)) = first else {
            return Err(Status::invalid_argument(
                "the first request must create a watch",
            ));
        };
        let created = WatchResponse {
            header: Some(wire::header(self.handle.revision())),
            created: true,
            ..WatchResponse::default()
        };
        let watcher = match self.open_watch(create).await? {
            Ok(watcher) => watcher,
            Err(oldest) => {
                let responses = [Ok(created), Ok(wire::compacted(oldest))];
                return Ok(Response::new(Box::pin(stream::iter(responses))));
            }
        };
        let changes = stream::unfold(Some((watcher, requests)), |open| async {
            let (watcher, requests) = open?;
            next_response(watcher, requests).await
        });
        let responses = stream::iter([Ok(created)]).chain(changes);
        Ok(Response::new(Box::pin(responses)))
    }
}

/// An open watch: its server side and the client's further requests.
type OpenWatch = (Watcher, Streaming<WatchRequest>);

/// The next response of a watch, or `None` after the client has ended it.
async fn next_response(
    mut watcher: Watcher,
    mut requests: Streaming<WatchRequest>,
) -> Option<(Result<WatchResponse, Status>, Option<OpenWatch>)> {
    let changes = async { Some(watcher.next().await) };
    let end = async {
        // Any further request ends the watch: clients only send cancellations.
        let _ = requests.message().await;
        None
    };
    match race::or(changes, end).await? {
        Ok(batch) => Some((Ok(wire::changes(batch)), Some((watcher, requests)))),
        Err(CallError::Rejected(RequestError::Compacted { oldest })) => {
            Some((Ok(wire::compacted(oldest)), None))
        }
        Err(_) => Some((Err(Status::unavailable("the store is unavailable")), None)),
    }
}

/// Converts the key range of a request.
fn key_range(key: &Bytes, end: &Bytes) -> Result<KeyRange, Status> {
    if key.is_empty() {
        return Err(Status::invalid_argument("etcdserver: key is not provided"));
    }
    let start = key.to_vec();
    match &**end {
        // In etcd's protocol, a zero byte means "no upper bound" and an empty end "a single
        // key".
        b"\0" => Ok(KeyRange::From { start }),
        b"" => {
            let end = [&**key, b"\0"].concat();
            Ok(KeyRange::Between { start, end })
        }
        end => Ok(KeyRange::Between { start, end: end.to_vec() }),
    }
}

/// The response header, with the latest revision.
fn header(core: &Core) -> Option<ResponseHeader> {
    Some(wire::header(core.revision()))
}
