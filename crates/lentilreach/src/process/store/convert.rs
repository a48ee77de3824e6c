//! Conversions between the messages of the etcd protocol and the types of this crate.

use std::error::Error as _;
use std::str;
use std::time::Duration;

use bytes::Bytes;
use tonic::{Code, Status};

use super::channel::Fault;
use super::error::{Error, Limit, Step};
use super::proto::etcdserverpb::compare::{CompareResult, CompareTarget, TargetUnion};
use super::proto::etcdserverpb::{
    self as rpc, request_op::Request, response_op::Response, watch_request::RequestUnion,
};
use super::proto::mvccpb::{self, event::EventType};
use super::{Batch, Change, Compare, Entry, Lease, Put, Range, Txn, TxnResult};
use crate::process::name::Name;

/// The start and the end (exclusive) of the range of keys with a prefix.
pub fn prefix_range(prefix: &str) -> (Bytes, Bytes) {
    // In the protocol, a range whose start and end are one zero byte stands for all keys.
    let zero = Bytes::from_static(b"\0");
    if prefix.is_empty() {
        return (zero.clone(), zero);
    }
    let mut end = prefix.as_bytes().to_vec();
    // The last byte of UTF-8 text is below 0xff, so there is no carry.
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    (Bytes::copy_from_slice(prefix.as_bytes()), end.into())
}

/// The request that opens a watch.
pub fn watch_request(prefix: &str, from: u64) -> rpc::WatchRequest {
    let (key, range_end) = prefix_range(prefix);
    let create = rpc::WatchCreateRequest { key, range_end, start_revision: signed(from) };
    rpc::WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) }
}

/// A time to live in whole seconds, rounded up and at least 1.
pub fn ttl_seconds(ttl: Duration) -> i64 {
    let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
    i64::try_from(seconds.max(1)).unwrap_or(i64::MAX)
}

/// Converts a revision to the type in the protocol.
fn signed(revision: u64) -> i64 {
    i64::try_from(revision).unwrap_or(i64::MAX)
}

/// The revision of an answer.
fn revision(header: Option<&rpc::ResponseHeader>) -> Result<u64, Malformed> {
    let header = header.ok_or(Malformed("answer without a header"))?;
    u64::try_from(header.revision).map_err(|_| Malformed("negative revision"))
}

impl From<&Compare> for rpc::Compare {
    fn from(compare: &Compare) -> Self {
        Self {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Mod.into(),
            key: key(&compare.key),
            target_union: Some(TargetUnion::ModRevision(signed(compare.modified))),
        }
    }
}

impl From<Put> for rpc::RequestOp {
    fn from(put: Put) -> Self {
        let lease = put.lease.map_or(0, |Lease(id)| id);
        let put = rpc::PutRequest { key: key(&put.key), value: put.value, lease };
        Self { request: Some(Request::RequestPut(put)) }
    }
}

impl From<Txn> for rpc::TxnRequest {
    fn from(txn: Txn) -> Self {
        let compare = txn.compares.iter().map(rpc::Compare::from).collect();
        let failure = txn.compares.iter().map(|compare| read(&compare.key)).collect();
        let deletes = txn.deletes.iter().map(delete);
        let success = txn.puts.into_iter().map(rpc::RequestOp::from).chain(deletes);
        Self { compare, success: success.collect(), failure }
    }
}

impl TryFrom<rpc::TxnResponse> for TxnResult {
    type Error = Malformed;

    fn try_from(answer: rpc::TxnResponse) -> Result<Self, Malformed> {
        if answer.succeeded {
            return Ok(Self::Committed { revision: revision(answer.header.as_ref())? });
        }
        let mut current = Vec::with_capacity(answer.responses.len());
        for operation in answer.responses {
            let Some(Response::ResponseRange(range)) = operation.response else {
                return Err(Malformed("answer of another kind than the request"));
            };
            for pair in range.kvs {
                current.push(Entry::try_from(pair)?);
            }
        }
        current.sort_by(|a, b| a.key.cmp(&b.key));
        current.dedup_by(|a, b| a.key == b.key);
        Ok(Self::ConditionFailed { current })
    }
}

impl TryFrom<rpc::RangeResponse> for Range {
    type Error = Malformed;

    fn try_from(answer: rpc::RangeResponse) -> Result<Self, Malformed> {
        let revision = revision(answer.header.as_ref())?;
        let named = answer.kvs.into_iter().filter(has_name);
        let entries = named.map(Entry::try_from).collect::<Result<Vec<_>, _>>()?;
        if answer.more || !entries.is_sorted_by(|a, b| a.key < b.key) {
            return Err(Malformed("incomplete or unsorted keys"));
        }
        Ok(Self { revision: revision.into(), entries })
    }
}

impl TryFrom<mvccpb::KeyValue> for Entry {
    type Error = Malformed;

    fn try_from(pair: mvccpb::KeyValue) -> Result<Self, Malformed> {
        Ok(Self {
            key: name(&pair.key)?,
            value: pair.value,
            created: unsigned(pair.create_revision)?,
            modified: unsigned(pair.mod_revision)?,
        })
    }
}

impl TryFrom<mvccpb::Event> for Change {
    type Error = Malformed;

    fn try_from(event: mvccpb::Event) -> Result<Self, Malformed> {
        let kind = EventType::try_from(event.r#type);
        let pair = event.kv.ok_or(Malformed("change without a key"))?;
        match kind {
            Ok(EventType::Put) => Ok(Self::Put(Entry::try_from(pair)?)),
            Ok(EventType::Delete) => Ok(Self::Delete {
                key: name(&pair.key)?,
                revision: unsigned(pair.mod_revision)?,
            }),
            Err(_) => Err(Malformed("change of an unknown kind")),
        }
    }
}

impl TryFrom<Vec<mvccpb::Event>> for Batch {
    type Error = Malformed;

    fn try_from(events: Vec<mvccpb::Event>) -> Result<Self, Malformed> {
        // Of the last change, even if it is left out: the watch continues after it.
        let last = events.last().and_then(|event| event.kv.as_ref());
        let revision = last.map_or(Ok(0), |pair| unsigned(pair.mod_revision))?;
        let named = events.into_iter().filter(|e| e.kv.as_ref().is_none_or(has_name));
        let changes = named.map(Change::try_from).collect::<Result<Vec<_>, _>>()?;
        Ok(Self { revision: revision.into(), changes })
    }
}

/// A malformed answer, with a description of what is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl Malformed {
    /// Converts to the error of a call.
    ///
    /// After a malformed answer to a change, it is unknown whether the change took effect.
    pub fn into_error(self, step: Step, peer: &Name) -> Error {
        let (peer, cause) = (peer.clone(), self.0.to_owned());
        match step.is_repeatable() {
            true => Error::Protocol { step, peer, cause },
            false => Error::Unknown { step, peer, cause },
        }
    }
}

/// Converts the status of a failed call to an error.
///
/// A change is reported as without effect only if the status says that the store refused it,
/// or if the request was never sent. In all other cases its outcome is unknown.
pub fn error_from_status(step: Step, peer: &Name, status: &Status) -> Error {
    let peer = peer.clone();
    let cause = format!("{}: {}", status.code(), status.message());
    let fault = status.source().and_then(|source| source.downcast_ref::<Fault>());
    if let Some(Fault::NotSent(_)) = fault {
        return Error::Unavailable { step, peer, cause };
    }
    match status.code() {
        Code::ResourceExhausted => Error::Throttled { step, peer, limit: Limit::Store },
        Code::NotFound => Error::Lapsed { step, peer },
        Code::InvalidArgument
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::FailedPrecondition
        | Code::AlreadyExists
        | Code::Unimplemented => Error::Protocol { step, peer, cause },
        _ if !step.is_repeatable() => Error::Unknown { step, peer, cause },
        Code::Internal | Code::OutOfRange | Code::DataLoss => {
            Error::Protocol { step, peer, cause }
        }
        _ => Error::Unavailable { step, peer, cause },
    }
}

/// Whether the key is text. Others belong to another writer: all keys of this crate are text.
fn has_name(pair: &mvccpb::KeyValue) -> bool {
    str::from_utf8(&pair.key).is_ok()
}

/// The operation that reads one key.
fn read(name: &Name) -> rpc::RequestOp {
    let range = rpc::RangeRequest { key: key(name), range_end: Bytes::new() };
    rpc::RequestOp { request: Some(Request::RequestRange(range)) }
}

/// The operation that deletes one key.
fn delete(name: &Name) -> rpc::RequestOp {
    let delete = rpc::DeleteRangeRequest { key: key(name), range_end: Bytes::new() };
    rpc::RequestOp { request: Some(Request::RequestDeleteRange(delete)) }
}

/// Converts a key to the type in the protocol.
fn key(name: &Name) -> Bytes {
    Bytes::copy_from_slice(name.as_bytes())
}

/// Converts a key from the type in the protocol.
fn name(key: &[u8]) -> Result<Name, Malformed> {
    str::from_utf8(key).map(Name::from).map_err(|_| Malformed("key is not UTF-8"))
}

/// Converts a revision from the type in the protocol.
fn unsigned(revision: i64) -> Result<u64, Malformed> {
    u64::try_from(revision).map_err(|_| Malformed("negative revision"))
}
