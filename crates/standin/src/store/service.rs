//! The store's gRPC calls, as one connection sees them.

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

use super::core::{Core, Refusal, Span};
use super::cursor::Cursor;
use super::handle::{Fault, Handle};
use super::wire;

/// A stream of answers.
type Answers<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Answers the calls of one connection.
#[derive(Debug, Clone)]
pub(super) struct Service {
    /// The store.
    handle: Handle,
    /// Breaks the connection.
    hangup: Sender<()>,
}

impl Service {
    /// Answers from the handle's store; a message on `hangup` breaks the connection.
    pub(super) fn new(handle: Handle, hangup: Sender<()>) -> Self {
        Self { handle, hangup }
    }

    /// The answer of a call, or the status that stands for its fault.
    ///
    /// If the answer is lost, the connection breaks instead.
    async fn reply<T>(&self, answer: Result<T, Fault>) -> Result<T, Status> {
        let fault = match answer {
            Ok(answer) => return Ok(answer),
            Err(fault) => fault,
        };
        Err(match fault {
            Fault::Away => Status::unavailable("the store is away"),
            Fault::Throttled => {
                Status::resource_exhausted("etcdserver: too many requests")
            }
            Fault::Refused(Refusal::NoLease) => {
                Status::not_found("etcdserver: requested lease not found")
            }
            Fault::Refused(Refusal::Compacted { .. }) => Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ),
            Fault::Refused(Refusal::Invalid(cause)) => Status::invalid_argument(cause),
            Fault::Lost => {
                // The connection's task takes the message; a second one changes nothing.
                let _ = self.hangup.try_send(());
                future::pending().await
            }
        })
    }

    /// Extends one lease; an ended one has a time to live of 0.
    async fn extend(&self, id: i64) -> Result<LeaseKeepAliveResponse, Status> {
        let answer = self.handle.call(Step::Keep, |core, now| {
            let ttl = match core.keep(now, Lease(id)) {
                Err(Refusal::NoLease) => 0,
                ttl => ttl?,
            };
            Ok(LeaseKeepAliveResponse { header: header(core), id, ttl })
        });
        self.reply(answer.await).await
    }

    /// Opens a watch; the inner error is the oldest revision that can be watched.
    async fn open(
        &self,
        create: WatchCreateRequest,
    ) -> Result<Result<Cursor, u64>, Status> {
        let span = span(&create.key, &create.range_end)?;
        let from = u64::try_from(create.start_revision)
            .map_err(|_| Status::invalid_argument("negative revision"))?;
        match self.handle.watch(span, from).await {
            Ok(cursor) => Ok(Ok(cursor)),
            Err(Fault::Refused(Refusal::Compacted { oldest })) => Ok(Err(oldest)),
            Err(fault) => self.reply(Err(fault)).await,
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
        let span = span(&request.key, &request.range_end)?;
        let answer = self.handle.call(Step::Range, |core, _| {
            let kvs: Vec<_> =
                core.range(&span).entries.into_iter().map(wire::pair).collect();
            let count = kvs.len() as i64;
            Ok(RangeResponse { header: header(core), kvs, more: false, count })
        });
        self.reply(answer.await).await.map(Response::new)
    }

    async fn txn(
        &self,
        request: Request<TxnRequest>,
    ) -> Result<Response<TxnResponse>, Status> {
        let (txn, reads) = wire::txn(request.into_inner())?;
        let answer = self.handle.call(Step::Write, |core, _| {
            let written = core.write(&txn)?;
            Ok(wire::written(written, &reads, header(core)))
        });
        self.reply(answer.await).await.map(Response::new)
    }
}

#[async_trait]
impl Leases for Service {
    type LeaseKeepAliveStream = Answers<LeaseKeepAliveResponse>;

    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        let request = request.into_inner();
        if request.id != 0 {
            return Err(Status::unimplemented("only the store chooses lease ids"));
        }
        let answer = self.handle.call(Step::Grant, |core, now| {
            let Lease(id) = core.grant(now, request.ttl)?;
            let (header, error) = (header(core), String::new());
            Ok(LeaseGrantResponse { header, id, ttl: request.ttl, error })
        });
        self.reply(answer.await).await.map(Response::new)
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        let lease = Lease(request.into_inner().id);
        let answer = self.handle.call(Step::Revoke, |core, _| {
            core.revoke(lease)?;
            Ok(LeaseRevokeResponse { header: header(core) })
        });
        self.reply(answer.await).await.map(Response::new)
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let service = self.clone();
        let answers = request.into_inner().then(move |request| {
            let service = service.clone();
            async move { service.extend(request?.id).await }
        });
        Ok(Response::new(Box::pin(answers)))
    }
}

#[async_trait]
impl Watches for Service {
    type WatchStream = Answers<WatchResponse>;

    /// Serves one watch per stream.
    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let mut requests = request.into_inner();
        let first = requests.message().await?.and_then(|request| request.request_union);
        let Some(RequestUnion::CreateRequest(create)) = first else {
            return Err(Status::invalid_argument("the first request must open a watch"));
        };
        let created = WatchResponse {
            header: Some(wire::header(self.handle.revision())),
            created: true,
            ..WatchResponse::default()
        };
        let cursor = match self.open(create).await? {
            Ok(cursor) => cursor,
            Err(oldest) => {
                let answers = [Ok(created), Ok(wire::compacted(oldest))];
                return Ok(Response::new(Box::pin(stream::iter(answers))));
            }
        };
        let changes = stream::unfold(Some((cursor, requests)), |open| async {
            let (cursor, requests) = open?;
            advance(cursor, requests).await
        });
        let answers = stream::iter([Ok(created)]).chain(changes);
        Ok(Response::new(Box::pin(answers)))
    }
}

/// An open watch: the store's side, and the client's further requests.
type Open = (Cursor, Streaming<WatchRequest>);

/// The next answer of a watch; none after the client ended it.
async fn advance(
    mut cursor: Cursor,
    mut requests: Streaming<WatchRequest>,
) -> Option<(Result<WatchResponse, Status>, Option<Open>)> {
    let changes = async { Some(cursor.next().await) };
    let end = async {
        // The only further request that a client may send ends the watch.
        let _ = requests.message().await;
        None
    };
    match race::or(changes, end).await? {
        Ok(batch) => Some((Ok(wire::changes(batch)), Some((cursor, requests)))),
        Err(Fault::Refused(Refusal::Compacted { oldest })) => {
            Some((Ok(wire::compacted(oldest)), None))
        }
        Err(_) => Some((Err(Status::unavailable("the store is away")), None)),
    }
}

/// The keys that a request names.
fn span(key: &Bytes, end: &Bytes) -> Result<Span, Status> {
    if key.is_empty() {
        return Err(Status::invalid_argument("etcdserver: key is not provided"));
    }
    let start = key.to_vec();
    match &**end {
        // The protocol writes "no end" as a zero byte, and "one key" as nothing.
        b"\0" => Ok(Span::From { start }),
        b"" => {
            let end = [&**key, b"\0"].concat();
            Ok(Span::Between { start, end })
        }
        end => Ok(Span::Between { start, end: end.to_vec() }),
    }
}

/// The part of every answer, at the store's last revision.
fn header(core: &Core) -> Option<ResponseHeader> {
    Some(wire::header(core.revision()))
}
