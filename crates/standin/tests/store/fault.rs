//! The store client while the store or the path to it fails.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_channel::Sender;
use async_io::Async;
use futures_lite::{future, io};
use smol::Task;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::follow::{Follow, Update};
use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{
    self, Batch, Change, Error, Limit, Settings, Step, Store, Txn, Watch, Written, etcd,
};
use lentilreach_standin::store::{Away, Builder, Handle};

use crate::fixture::{
    LOOPBACK, bare, client, hasty, memory, pairs, pool, put, run, server,
};

/// Carries one connection to the store until it is frozen, and keeps it open after that.
struct Relay {
    /// Where it listens.
    address: SocketAddr,
    /// Closing it stops the traffic.
    freeze: Sender<()>,
    /// Carries the connection.
    _task: Task<()>,
}

impl Relay {
    /// Listens for a connection to carry.
    fn start(store: SocketAddr, pool: &Pool) -> Self {
        let listener = Async::<TcpListener>::bind(LOOPBACK).expect("a free port");
        let address = listener.get_ref().local_addr().expect("a bound socket");
        let (freeze, frozen) = async_channel::bounded::<()>(1);
        let task = pool.spawn(async move {
            let (client, _) = listener.accept().await.expect("a connection");
            let server = Async::<TcpStream>::connect(store).await.expect("a store");
            let carry =
                future::try_zip(io::copy(&client, &server), io::copy(&server, &client));
            let carried = async { carry.await.map(drop) };
            let stopped = async {
                // An error means that the channel is closed, which is the signal.
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

/// Collects changes up to a revision; losses of the connection are allowed.
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

/// Applies updates to a copy until it has a key.
async fn follow_until<S: Store>(
    follow: &mut Follow<S>,
    copy: &mut BTreeMap<String, Vec<u8>>,
    key: &str,
) {
    while !copy.contains_key(key) {
        match follow.next().await {
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

/// A write whose answer is lost.
async fn lose<S: Store>(handle: &Handle, client: S) {
    handle.lose();
    let lost = client.write(Txn::new().compare("op", 0).put("op", "id-1")).await;
    let range = client.range("op").await.expect("an answer");
    assert!(lost.as_ref().is_err_and(Error::is_unknown), "{lost:?}");
    assert_eq!(lost.err().map(|error| error.step()), Some(Step::Write));
    assert_eq!(pairs(&range), [("op", &b"id-1"[..])]);
    assert_eq!(handle.counts().write, 1);
}

/// Guards against a write of unknown outcome that is reported as failed, or made again.
#[test]
fn lost_answer_is_unknown_and_found_on_read_back() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(lose(server.handle(), client(&server, &pool)));
    run(lose(&handle, memory));
}

/// Changes before, during and after the loss of a connection.
async fn resume<S: Store>(handle: &Handle, client: S) {
    let first = handle.revision() + 1;
    let mut watch = client.watch("key/", first).await.expect("an answer");
    put(handle, "key/a", "1");
    let mut seen = collect(&mut watch, first).await;
    handle.cut();
    put(handle, "key/b", "2");
    put(handle, "other", "not watched");
    put(handle, "key/a", "3");
    seen.extend(collect(&mut watch, first + 3).await);
    handle.away(Away::Refuse);
    put(handle, "key/c", "4");
    handle.back();
    seen.extend(collect(&mut watch, first + 4).await);
    assert_eq!(seen, [first, first + 1, first + 3, first + 4]);
}

/// Guards against changes that are skipped or repeated when a watch opens again.
#[test]
fn watch_resumes_without_a_gap() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(resume(server.handle(), client(&server, &pool)));
    run(resume(&handle, memory));
}

/// A deletion and a write that the history no longer has when the watch opens again.
async fn compact<S: Store>(handle: &Handle, client: S) {
    put(handle, "key/a", "1");
    put(handle, "key/b", "2");
    let (mut follow, mut copy) = (Follow::new(client.clone(), "key/"), BTreeMap::new());
    follow_until(&mut follow, &mut copy, "key/a").await;
    let mut watch = client.watch("key/", handle.revision() + 1).await.expect("an answer");
    handle.away(Away::Refuse);
    handle.write(&Txn::new().delete("key/a")).expect("a valid transaction");
    put(handle, "key/c", "3");
    put(handle, "key/d", "4");
    handle.compact();
    let oldest = handle.revision();
    handle.back();
    let compacted = loop {
        match watch.next().await {
            Err(Error::Unavailable { .. }) => {}
            other => break other,
        }
    };
    follow_until(&mut follow, &mut copy, "key/d").await;
    put(handle, "key/e", "5");
    follow_until(&mut follow, &mut copy, "key/e").await;
    let is_expected = matches!(&compacted, Err(Error::Compacted { revision, .. }) if *revision == oldest);
    assert!(is_expected, "{compacted:?}");
    assert_eq!(copy.keys().collect::<Vec<_>>(), ["key/b", "key/c", "key/d", "key/e"]);
}

/// Guards against a copy that keeps a deleted key after a compaction, or misses a change.
#[test]
fn follow_survives_compaction() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(compact(server.handle(), client(&server, &pool)));
    run(compact(&handle, memory));
}

/// One write more than the limit. `client` makes each call once; time stands still.
async fn throttle<S: Store>(handle: &Handle, client: S) {
    for _ in 0..3 {
        client.write(Txn::new().put("key", "1")).await.expect("an answer");
    }
    let refused = client.write(Txn::new().put("key", "2")).await;
    let range = client.range("key").await.expect("reads have a limit of their own");
    handle.advance(1_000);
    let accepted = client.write(Txn::new().put("key", "3")).await;
    assert!(
        matches!(refused, Err(Error::Throttled { limit: Limit::Store, .. })),
        "{refused:?}"
    );
    assert_eq!(pairs(&range), [("key", &b"1"[..])]);
    assert!(matches!(accepted, Ok(Written::Done { .. })), "{accepted:?}");
    assert_eq!(handle.counts().throttled, 1);
}

/// Guards against a throttled write that is taken for a lost one, or that takes effect.
#[test]
fn throttled_write_has_no_effect() {
    let pool = pool();
    let builder = Builder::new().writes(3).manual();
    let server = builder.clone().serve(LOOPBACK, &pool).expect("a free port");
    let memory = builder.memory();
    run(throttle(server.handle(), bare(&server, &pool)));
    run(throttle(&memory.handle().clone(), memory));
}

/// The store refuses connections, then comes back.
async fn refuse<S: Store>(handle: &Handle, client: S) {
    client.range("key").await.expect("an answer");
    handle.away(Away::Refuse);
    let read = client.range("key").await;
    let write = client.write(Txn::new().put("key", "lost")).await;
    handle.back();
    let range = loop {
        // Listening again takes a moment.
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

/// Guards against a client that never connects again, and against effects of refused calls.
#[test]
fn client_recovers_when_the_store_is_back() {
    let pool = pool();
    let server = server(&pool);
    let memory = Builder::new().memory();
    run(refuse(server.handle(), bare(&server, &pool)));
    run(refuse(&memory.handle().clone(), memory));
}

/// The store keeps connections but answers nothing, then comes back.
async fn hang<S: Store>(handle: &Handle, client: S) {
    client.range("key").await.expect("an answer");
    let before = handle.counts();
    handle.away(Away::Hang);
    let read = client.range("key").await;
    let write = client.write(Txn::new().put("key", "1")).await;
    let after = handle.counts();
    handle.back();
    let range = client.range("key").await;
    assert!(matches!(read, Err(Error::Timeout { step: Step::Range, .. })), "{read:?}");
    assert!(matches!(write, Err(Error::Unknown { step: Step::Write, .. })), "{write:?}");
    assert_eq!(after.write - before.write, 1);
    assert!(range.is_ok(), "{range:?}");
}

/// Guards against calls that wait forever, and against a repeated write of unknown outcome.
#[test]
fn calls_to_a_hanging_store_end() {
    let pool = pool();
    let server = server(&pool);
    let settings = hasty(server.address());
    let client = store::connect(settings.clone(), pool.clone()).expect("valid settings");
    let memory = Builder::new().memory();
    run(hang(server.handle(), client));
    run(hang(&memory.handle().clone(), Retry::new(memory, settings)));
}

/// Guards against an answer that is awaited longer than an attempt may take.
#[test]
fn slow_answer_is_a_timeout() {
    let memory = Builder::new().memory();
    let handle = memory.handle().clone();
    let client = Retry::new(memory, hasty(LOOPBACK));
    handle.slow(600_000);
    let late = run(client.range("key"));
    handle.slow(1);
    let answered = run(client.range("key"));
    assert!(matches!(late, Err(Error::Timeout { .. })), "{late:?}");
    assert!(answered.is_ok(), "{answered:?}");
}

/// Guards against a client that stays with an endpoint that is down.
#[test]
fn next_endpoint_is_tried() {
    let pool = pool();
    let (down, up) = (server(&pool), server(&pool));
    down.handle().away(Away::Refuse);
    let settings = Settings::builder().endpoint(down.address()).endpoint(up.address());
    let client = store::connect(settings.build(), pool.clone()).expect("valid settings");
    let range = run(client.range("key"));
    assert!(range.is_ok(), "{range:?}");
}

/// Guards against a client that stays with an endpoint that accepts connections and never
/// answers, as behind a path that swallows packets.
#[test]
fn silent_endpoint_is_left() {
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

/// Guards against a watch that waits forever on a connection whose packets are swallowed.
#[test]
fn watch_leaves_a_silent_connection() {
    let pool = pool();
    let server = server(&pool);
    let relay = Relay::start(server.address(), &pool);
    let settings = Settings::builder().endpoint(relay.address).ping_ms(2_000).build();
    let client = etcd::Client::new(&settings, pool.clone()).expect("valid settings");
    run(async {
        let mut watch = client.watch("key", 1).await.expect("an answer");
        relay.freeze.close();
        let lost = watch.next().await;
        assert!(matches!(lost, Err(Error::Unavailable { .. })), "{lost:?}");
    });
}
