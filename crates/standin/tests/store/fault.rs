//! Tests the store client while the store or the connection to it fails.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_channel::Sender;
use async_io::Async;
use futures_lite::{future, io};
use smol::Task;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::follow::{Follower, Update};
use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{
    self, Batch, Change, Error, Limit, Settings, Step, Store, Txn, TxnResult, Watch, etcd,
};
use lentilreach_standin::store::{Builder, Handle, Outage};

use crate::fixture::{
    LOOPBACK, client, client_without_retry, memory, pairs, pool, put, run, server,
    short_timeouts,
};

/// Forwards one connection to the store. When frozen, it stops forwarding but keeps the
/// connection open, like a path that drops packets.
struct FreezingProxy {
    /// The listening address.
    address: SocketAddr,
    /// Closing this channel stops the forwarding.
    freeze: Sender<()>,
    /// Forwards the connection.
    _task: Task<()>,
}

impl FreezingProxy {
    /// Listens for a connection to forward.
    fn start(store: SocketAddr, pool: &Pool) -> Self {
        let listener = Async::<TcpListener>::bind(LOOPBACK).expect("a free port");
        let address = listener.get_ref().local_addr().expect("a bound socket");
        let (freeze, frozen) = async_channel::bounded::<()>(1);
        let task = pool.spawn(async move {
            let (client, _) = listener.accept().await.expect("a connection");
            let server = Async::<TcpStream>::connect(store).await.expect("a store");
            let copy =
                future::try_zip(io::copy(&client, &server), io::copy(&server, &client));
            let carried = async { copy.await.map(drop) };
            let stopped = async {
                // Returns an error when the channel is closed, which is the signal.
                let _ = frozen.recv().await;
                Ok(())
            };
            future::or(carried, stopped).await.expect("an open connection");
            std::future::pending().await
        });
        Self { address, freeze, _task: task }
    }
}

/// The revisions of a batch.
fn revisions(batch: &Batch) -> Vec<u64> {
    batch.changes.iter().map(Change::revision).collect()
}

/// Collects the revisions of changes up to `last`, ignoring connection failures.
async fn collect(watch: &mut impl Watch, last: u64) -> Vec<u64> {
    let mut seen = Vec::new();
    while seen.last() != Some(&last) {
        match watch.next().await {
            Ok(batch) => seen.extend(revisions(&batch)),
            Err(Error::Unavailable { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
    seen
}

/// Applies updates to a copy until it contains a key.
async fn follow_until_key<S: Store>(
    follower: &mut Follower<S>,
    copy: &mut BTreeMap<String, Vec<u8>>,
    key: &str,
) {
    while !copy.contains_key(key) {
        match follower.next().await {
            Ok(Update::Snapshot(range)) => {
                let entries = range.entries.iter();
                let pairs = entries.map(|e| (e.key.to_string(), e.value.to_vec()));
                *copy = pairs.collect();
            }
            Ok(Update::Changes(batch)) => {
                for change in batch.changes {
                    match change {
                        Change::Put(e) => {
                            copy.insert(e.key.to_string(), e.value.to_vec());
                        }
                        Change::Delete { key, .. } => {
                            copy.remove(&*key);
                        }
                    }
                }
            }
            Err(Error::Unavailable { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

/// Writes a key and loses the response.
async fn check_lost_response<S: Store>(handle: &Handle, client: S) {
    handle.drop_next_response();
    let lost = client.write(Txn::new().compare("op", 0).put("op", "id-1")).await;
    let range = client.range("op").await.expect("the call succeeds");
    assert!(lost.as_ref().is_err_and(Error::is_unknown), "{lost:?}");
    assert_eq!(lost.err().map(|error| error.step()), Some(Step::Write));
    assert_eq!(pairs(&range), [("op", &b"id-1"[..])]);
    assert_eq!(handle.counts().write, 1);
}

/// Guards against a write of unknown outcome that is reported as failed, or repeated.
#[test]
fn write_with_lost_response_is_unknown_and_found_on_read() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(check_lost_response(server.handle(), client(&server, &pool)));
    run(check_lost_response(&handle, memory));
}

/// Changes keys before, during and after the loss of a connection.
async fn check_watch_resumes<S: Store>(handle: &Handle, client: S) {
    let first = handle.revision() + 1;
    let mut watch = client.watch("key/", first.into()).await.expect("the call succeeds");
    put(handle, "key/a", "1");
    let mut seen = collect(&mut watch, first).await;
    handle.close_connections();
    put(handle, "key/b", "2");
    put(handle, "other", "not watched");
    put(handle, "key/a", "3");
    seen.extend(collect(&mut watch, first + 3).await);
    handle.start_outage(Outage::Refuse);
    put(handle, "key/c", "4");
    handle.end_outage();
    seen.extend(collect(&mut watch, first + 4).await);
    assert_eq!(seen, [first, first + 1, first + 3, first + 4]);
}

/// Guards against changes that are skipped or repeated when a watch reconnects.
#[test]
fn watch_resumes_without_a_gap() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(check_watch_resumes(server.handle(), client(&server, &pool)));
    run(check_watch_resumes(&handle, memory));
}

/// Deletes and writes keys, and compacts those changes before the watch reconnects.
async fn check_compaction<S: Store>(handle: &Handle, client: S) {
    put(handle, "key/a", "1");
    put(handle, "key/b", "2");
    let (mut follower, mut copy) =
        (Follower::new(client.clone(), "key/"), BTreeMap::new());
    follow_until_key(&mut follower, &mut copy, "key/a").await;
    let mut watch = client
        .watch("key/", (handle.revision() + 1).into())
        .await
        .expect("the call succeeds");
    handle.start_outage(Outage::Refuse);
    handle.write(&Txn::new().delete("key/a")).expect("a valid transaction");
    put(handle, "key/c", "3");
    put(handle, "key/d", "4");
    handle.compact();
    let oldest = handle.revision();
    handle.end_outage();
    let compacted = loop {
        match watch.next().await {
            Err(Error::Unavailable { .. }) => {}
            other => break other,
        }
    };
    follow_until_key(&mut follower, &mut copy, "key/d").await;
    put(handle, "key/e", "5");
    follow_until_key(&mut follower, &mut copy, "key/e").await;
    let is_expected = matches!(&compacted, Err(Error::Compacted { revision, .. }) if *revision == oldest);
    assert!(is_expected, "{compacted:?}");
    assert_eq!(copy.keys().collect::<Vec<_>>(), ["key/b", "key/c", "key/d", "key/e"]);
}

/// Guards against a copy that retains a deleted key after a compaction, or misses a change.
#[test]
fn follow_survives_compaction() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(check_compaction(server.handle(), client(&server, &pool)));
    run(check_compaction(&handle, memory));
}

/// Exceeds the rate limit by one write. `client` does not retry; the store's clock is manual.
async fn check_throttled_write<S: Store>(handle: &Handle, client: S) {
    for _ in 0..3 {
        client.write(Txn::new().put("key", "1")).await.expect("the call succeeds");
    }
    let refused = client.write(Txn::new().put("key", "2")).await;
    let range = client.range("key").await.expect("reads have a separate limit");
    handle.advance(1_000);
    let accepted = client.write(Txn::new().put("key", "3")).await;
    assert!(
        matches!(refused, Err(Error::Throttled { limit: Limit::Store, .. })),
        "{refused:?}"
    );
    assert_eq!(pairs(&range), [("key", &b"1"[..])]);
    assert!(matches!(accepted, Ok(TxnResult::Committed { .. })), "{accepted:?}");
    assert_eq!(handle.counts().throttled, 1);
}

/// Guards against a throttled write that takes effect, or whose outcome is reported as
/// unknown.
#[test]
fn throttled_write_has_no_effect() {
    let pool = pool();
    let builder = Builder::new().writes_per_s(3).manual_clock();
    let server = builder.clone().serve(LOOPBACK, &pool).expect("a free port");
    let memory = builder.memory();
    run(check_throttled_write(server.handle(), client_without_retry(&server, &pool)));
    run(check_throttled_write(&memory.handle().clone(), memory));
}

/// Lets the store refuse connections, then restores it.
async fn check_refused_connections<S: Store>(handle: &Handle, client: S) {
    client.range("key").await.expect("the call succeeds");
    handle.start_outage(Outage::Refuse);
    let read = client.range("key").await;
    let write = client.write(Txn::new().put("key", "lost")).await;
    handle.end_outage();
    let range = loop {
        // The server needs a moment to listen again.
        match client.range("key").await {
            Ok(range) => break range,
            Err(Error::Unavailable { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    };
    assert!(matches!(read, Err(Error::Unavailable { .. })), "{read:?}");
    assert!(write.is_err());
    assert!(range.entries.is_empty());
}

/// Guards against a client that does not reconnect, and against refused calls that take
/// effect.
#[test]
fn client_recovers_when_the_store_is_back() {
    let pool = pool();
    let server = server(&pool);
    let memory = Builder::new().memory();
    run(check_refused_connections(server.handle(), client_without_retry(&server, &pool)));
    run(check_refused_connections(&memory.handle().clone(), memory));
}

/// Lets the store hang with its connections open, then restores it.
async fn check_hanging_store<S: Store>(handle: &Handle, client: S) {
    client.range("key").await.expect("the call succeeds");
    let before = handle.counts();
    handle.start_outage(Outage::Hang);
    let read = client.range("key").await;
    let write = client.write(Txn::new().put("key", "1")).await;
    let after = handle.counts();
    handle.end_outage();
    let range = client.range("key").await;
    assert!(matches!(read, Err(Error::Timeout { step: Step::Range, .. })), "{read:?}");
    assert!(matches!(write, Err(Error::Unknown { step: Step::Write, .. })), "{write:?}");
    assert_eq!(after.write - before.write, 1);
    assert!(range.is_ok(), "{range:?}");
}

/// Guards against calls that never time out, and against a repeated write of unknown outcome.
#[test]
fn calls_to_a_hanging_store_time_out() {
    let pool = pool();
    let server = server(&pool);
    let settings = short_timeouts(server.address());
    let client = store::connect(settings.clone(), pool.clone()).expect("valid settings");
    let memory = Builder::new().memory();
    run(check_hanging_store(server.handle(), client));
    run(check_hanging_store(&memory.handle().clone(), Retry::new(memory, settings)));
}

/// Guards against waiting for a response longer than the attempt timeout.
#[test]
fn slow_response_is_a_timeout() {
    let memory = Builder::new().memory();
    let handle = memory.handle().clone();
    let client = Retry::new(memory, short_timeouts(LOOPBACK));
    handle.set_delay_ms(600_000);
    let late = run(client.range("key"));
    handle.set_delay_ms(1);
    let answered = run(client.range("key"));
    assert!(matches!(late, Err(Error::Timeout { .. })), "{late:?}");
    assert!(answered.is_ok(), "{answered:?}");
}

/// Guards against a client that does not fail over from an endpoint that is down.
#[test]
fn next_endpoint_is_tried() {
    let pool = pool();
    let (down, up) = (server(&pool), server(&pool));
    down.handle().start_outage(Outage::Refuse);
    let settings = Settings::builder().endpoint(down.address()).endpoint(up.address());
    let client = store::connect(settings.build(), pool.clone()).expect("valid settings");
    let range = run(client.range("key"));
    assert!(range.is_ok(), "{range:?}");
}

/// Guards against a client that does not fail over from an endpoint that accepts connections
/// but never responds, as when the path drops packets.
#[test]
fn silent_endpoint_is_abandoned() {
    let pool = pool();
    let up = server(&pool);
    let silent = TcpListener::bind(LOOPBACK).expect("a free port");
    let address = silent.local_addr().expect("a bound socket");
    let settings = Settings::builder().endpoint(address).endpoint(up.address());
    let settings = settings.attempt_ms(500).call_ms(60_000).build();
    let client = store::connect(settings, pool.clone()).expect("valid settings");
    let range = run(client.range("key"));
    assert!(range.is_ok(), "{range:?}");
}

/// Guards against a watch that waits forever on a connection whose packets are dropped.
#[test]
fn watch_abandons_a_silent_connection() {
    let pool = pool();
    let server = server(&pool);
    let proxy = FreezingProxy::start(server.address(), &pool);
    let settings = Settings::builder().endpoint(proxy.address).ping_ms(2_000).build();
    let client = etcd::Client::new(&settings, pool.clone()).expect("valid settings");
    run(async {
        let mut watch = client.watch("key", 1.into()).await.expect("the call succeeds");
        proxy.freeze.close();
        let lost = watch.next().await;
        assert!(matches!(lost, Err(Error::Unavailable { .. })), "{lost:?}");
    });
}
