//! Conversions between etcd's protocol messages and the stand-in store's types.

use std::str;

use lentilreach::process::name::Name;
use lentilreach::process::store::proto::etcdserverpb::compare::{
    CompareResult, CompareTarget, TargetUnion,
};
use lentilreach::process::store::proto::etcdserverpb::{
    self as rpc, ResponseHeader, TxnRequest, TxnResponse, WatchResponse,
    request_op::Request, response_op::Response,
};
use lentilreach::process::store::proto::mvccpb::{Event, KeyValue, event::EventType};
use lentilreach::process::store::{
    Batch, Change, Compare, Entry, Lease, Put, Txn, TxnResult,
};
use tonic::Status;

/// The response header. The stand-in store reports itself as a cluster of one member.
pub(super) fn header(revision: u64) -> ResponseHeader {
    ResponseHeader {
        cluster_id: 1,
        member_id: 1,
        revision: revision as i64,
        raft_term: 1,
    }
}

/// Converts an entry.
pub(super) fn pair(entry: Entry) -> KeyValue {
    KeyValue {
        key: entry.key.as_bytes().to_vec().into(),
        create_revision: entry.created as i64,
        mod_revision: entry.modified as i64,
        value: entry.value,
        ..KeyValue::default()
    }
}

/// Converts a transaction; also returns the keys to read if a comparison fails.
pub(super) fn txn(request: TxnRequest) -> Result<(Txn, Vec<Name>), Status> {
    let compares = request.compare.into_iter().map(compare);
    let mut txn = Txn { compares: compares.collect::<Result<_, _>>()?, ..Txn::new() };
    for operation in request.success {
        match operation.request {
            Some(Request::RequestPut(request)) => txn.puts.push(put(request)?),
            Some(Request::RequestDeleteRange(request))
                if request.range_end.is_empty() =>
            {
                txn.deletes.push(name(&request.key)?);
            }
            _ => return Err(unsupported()),
        }
    }
    let mut reads = Vec::new();
    for operation in request.failure {
        let Some(Request::RequestRange(request)) = operation.request else {
            return Err(unsupported());
        };
        let key = name(&request.key)?;
        let is_compared = txn.compares.iter().any(|compare| compare.key == key);
        if !request.range_end.is_empty() || !is_compared {
            return Err(unsupported());
        }
        reads.push(key);
    }
    Ok((txn, reads))
}

/// The response to a transaction.
pub(super) fn written(
    written: TxnResult,
    reads: &[Name],
    header: Option<ResponseHeader>,
) -> TxnResponse {
    let TxnResult::ConditionFailed { current } = written else {
        // lentilreach's client does not read the responses to puts and deletes.
        return TxnResponse { header, succeeded: true, responses: Vec::new() };
    };
    let read = |key: &Name| {
        let found = current.iter().filter(|entry| entry.key == *key).cloned();
        let kvs: Vec<_> = found.map(pair).collect();
        let count = kvs.len() as i64;
        let range = rpc::RangeResponse { header, kvs, more: false, count };
        rpc::ResponseOp { response: Some(Response::ResponseRange(range)) }
    };
    let responses = reads.iter().map(read).collect();
    TxnResponse { header, succeeded: false, responses }
}

/// A watch response with changes.
pub(super) fn changes(batch: Batch) -> WatchResponse {
    WatchResponse {
        header: Some(header(batch.revision.number)),
        events: batch.changes.into_iter().map(event).collect(),
        ..WatchResponse::default()
    }
}

/// A watch response that cancels the watch because its next revision was compacted.
pub(super) fn compacted(oldest: u64) -> WatchResponse {
    WatchResponse {
        header: Some(header(oldest)),
        canceled: true,
        compact_revision: oldest as i64,
        ..WatchResponse::default()
    }
}

/// Converts a change to a watch event.
fn event(change: Change) -> Event {
    match change {
        Change::Put(entry) => {
            Event { r#type: EventType::Put.into(), kv: Some(pair(entry)) }
        }
        Change::Delete { key, revision } => {
            let kv = KeyValue {
                key: key.as_bytes().to_vec().into(),
                mod_revision: revision as i64,
                ..KeyValue::default()
            };
            Event { r#type: EventType::Delete.into(), kv: Some(kv) }
        }
    }
}

/// Converts a comparison. Only equality of a key's modification revision is supported.
fn compare(compare: rpc::Compare) -> Result<Compare, Status> {
    let Some(TargetUnion::ModRevision(modified)) = compare.target_union else {
        return Err(unsupported());
    };
    let is_supported = compare.result == i32::from(CompareResult::Equal)
        && compare.target == i32::from(CompareTarget::Mod);
    if !is_supported {
        return Err(unsupported());
    }
    let modified = u64::try_from(modified)
        .map_err(|_| Status::invalid_argument("negative revision"))?;
    Ok(Compare { key: name(&compare.key)?, modified })
}

/// Converts a put.
fn put(request: rpc::PutRequest) -> Result<Put, Status> {
    let lease = (request.lease != 0).then_some(Lease(request.lease));
    Ok(Put { key: name(&request.key)?, value: request.value, lease })
}

/// Converts a key, which must be UTF-8.
fn name(key: &[u8]) -> Result<Name, Status> {
    let text = str::from_utf8(key);
    text.map(Name::from).map_err(|_| Status::invalid_argument("key is not UTF-8"))
}

/// The status for requests that use unsupported parts of etcd's protocol.
fn unsupported() -> Status {
    Status::unimplemented("not supported by the stand-in store")
}
