//! The store client against the stand-in store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, io};
use futures_util::future::join_all;
use smol::{Task, block_on};

use lentilreach::process::pool::Pool;
use lentilreach::process::store::follow::{Follow, Update};
use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{
    self, Batch, Change, Client, Error, Limit, MAX_VALUE, Range, Settings, Step, Store,
    Txn, Watch, Written, etcd,
};
use lentilreach_standin::store::{Away, Builder, Handle, Memory, Server};

/// Any free port on loopback.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Worker threads for client and stand-in.
fn pool() -> Pool {
    Pool::new(2).expect("threads")
}

/// Settings that leave time enough on a busy machine.
fn patient(endpoint: SocketAddr) -> Settings {
    Settings::builder()
        .endpoint(endpoint)
        .budget(10_000, 10_000)
        .connect_ms(10_000)
        .attempt_ms(30_000)
        .call_ms(60_000)
        .backoff_ms(5, 20)
        .build()
}

/// Settings for calls that are meant to run out of time.
fn hasty(endpoint: SocketAddr) -> Settings {
    Settings::builder()
        .endpoint(endpoint)
        .budget(10_000, 10_000)
        .attempt_ms(500)
        .call_ms(1_000)
        .backoff_ms(5, 20)
        .build()
}

/// A listening store.
fn server(pool: &Pool) -> Server {
    Builder::new().serve(LOOPBACK, pool).expect("a free port")
}

/// A client over sockets.
fn client(server: &Server, pool: &Pool) -> Client {
    store::connect(patient(server.address()), pool.clone()).expect("settings are valid")
}

/// A client over sockets that makes each call once.
fn bare(server: &Server, pool: &Pool) -> etcd::Client {
    etcd::Client::new(&patient(server.address()), pool.clone())
        .expect("settings are valid")
}

/// A client without sockets.
fn memory() -> (Handle, Retry<Memory>) {
    let memory = Builder::new().memory();
    (memory.handle().clone(), Retry::new(memory, patient(LOOPBACK)))
}

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

/// Writes a key unconditionally, as another client.
fn put(handle: &Handle, key: &str, value: &'static str) {
    handle.write(&Txn::new().put(key, value)).expect("a valid transaction");
}

/// The keys and values of a range.
fn pairs(range: &Range) -> Vec<(&str, &[u8])> {
    range.entries.iter().map(|entry| (&*entry.key, &*entry.value)).collect()
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

/// Several writers create the same key.
async fn race<S: Store>(clients: Vec<S>) {
    let writes = clients.iter().enumerate().map(|(index, client)| async move {
        let txn = Txn::new().compare("race", 0).put("race", index.to_string());
        client.write(txn).await.expect("an answer")
    });
    let written = join_all(writes).await;
    let range = clients[0].range("race").await.expect("an answer");
    let is_done = |written: &&Written| matches!(written, Written::Done { .. });
    let losers: Vec<_> = written
        .iter()
        .filter_map(|written| match written {
            Written::Lost { current } => Some(current),
            Written::Done { .. } => None,
        })
        .collect();
    assert_eq!(written.iter().filter(is_done).count(), 1);
    assert!(losers.iter().all(|current| **current == range.entries));
}

/// Guards against two winners of a compare-and-swap, and against losers that are not told
/// what is there.
#[test]
fn compare_and_swap_has_one_winner() {
    let pool = pool();
    let server = server(&pool);
    let (_, memory) = memory();
    block_on(race((0..8).map(|_| client(&server, &pool)).collect()));
    block_on(race(vec![memory; 8]));
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
    block_on(lose(server.handle(), client(&server, &pool)));
    block_on(lose(&handle, memory));
}

/// A key on a lease that ends without its holder.
async fn lapse<S: Store>(handle: &Handle, client: S) {
    let lease = client.grant(Duration::from_millis(1_500)).await.expect("an answer");
    let ttl = client.keep(lease).await;
    let write = client.write(Txn::new().lease("slot", "mine", lease)).await;
    let Ok(Written::Done { revision }) = write else { panic!("{write:?}") };
    let mut watch = client.watch("slot", revision + 1).await.expect("an answer");
    let had_lease = handle.lapse(lease);
    let batch = watch.next().await.expect("the deletion");
    let kept = client.keep(lease).await;
    let written = client.write(Txn::new().lease("slot", "mine", lease)).await;
    let revoked = client.revoke(lease).await;
    let range = client.range("slot").await.expect("an answer");
    assert_eq!(ttl, Ok(Duration::from_secs(2)));
    assert!(had_lease);
    assert_eq!(
        batch.changes,
        [Change::Delete { key: "slot".into(), revision: revision + 1 }]
    );
    assert!(matches!(kept, Err(Error::Lapsed { step: Step::Keep, .. })), "{kept:?}");
    assert!(
        matches!(written, Err(Error::Lapsed { step: Step::Write, .. })),
        "{written:?}"
    );
    assert_eq!(revoked, Ok(()));
    assert!(range.entries.is_empty());
}

/// Guards against a lapsed lease that its holder still believes in.
#[test]
fn lapsed_lease_is_reported_and_its_key_deleted() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    block_on(lapse(server.handle(), client(&server, &pool)));
    block_on(lapse(&handle, memory));
}

/// Guards against leases that outlive their time, and against keep-alives that do nothing.
#[test]
fn lease_ends_with_its_time() {
    let memory = Builder::new().manual().memory();
    let handle = memory.handle().clone();
    block_on(async {
        let lease = memory.grant(Duration::from_secs(2)).await.expect("an answer");
        memory.write(Txn::new().lease("slot", "mine", lease)).await.expect("an answer");
        handle.advance(1_999);
        memory.keep(lease).await.expect("an answer");
        handle.advance(1_999);
        let before = handle.get("slot");
        handle.advance(1);
        let after = handle.get("slot");
        assert!(before.is_some());
        assert_eq!(after, None);
    });
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
    block_on(resume(server.handle(), client(&server, &pool)));
    block_on(resume(&handle, memory));
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
    block_on(compact(server.handle(), client(&server, &pool)));
    block_on(compact(&handle, memory));
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
    block_on(throttle(server.handle(), bare(&server, &pool)));
    block_on(throttle(&memory.handle().clone(), memory));
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
    block_on(refuse(server.handle(), bare(&server, &pool)));
    block_on(refuse(&memory.handle().clone(), memory));
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
    block_on(hang(server.handle(), client));
    block_on(hang(&memory.handle().clone(), Retry::new(memory, settings)));
}

/// Guards against an answer that is awaited longer than an attempt may take.
#[test]
fn slow_answer_is_a_timeout() {
    let memory = Builder::new().memory();
    let handle = memory.handle().clone();
    let client = Retry::new(memory, hasty(LOOPBACK));
    handle.slow(600_000);
    let late = block_on(client.range("key"));
    handle.slow(1);
    let answered = block_on(client.range("key"));
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
    let range = block_on(client.range("key"));
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
    let range = block_on(client.range("key"));
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
    block_on(async {
        let mut watch = client.watch("key", 1).await.expect("an answer");
        relay.freeze.close();
        let lost = watch.next().await;
        assert!(matches!(lost, Err(Error::Unavailable { .. })), "{lost:?}");
    });
}

/// A largest value, and one that is a byte longer.
async fn carry<S: Store>(client: S) {
    let largest = vec![7; MAX_VALUE];
    let mut watch = client.watch("large", 1).await.expect("an answer");
    let written = client.write(Txn::new().put("large", largest.clone())).await;
    let refused = client.write(Txn::new().put("large", vec![7; MAX_VALUE + 1])).await;
    let range = client.range("large").await.expect("an answer");
    let batch = watch.next().await.expect("the value");
    assert!(matches!(written, Ok(Written::Done { .. })), "{written:?}");
    assert!(matches!(refused, Err(Error::Protocol { .. })), "{refused:?}");
    assert_eq!(pairs(&range), [("large", &largest[..])]);
    assert_eq!(batch.changes, [Change::Put(range.entries[0].clone())]);
}

/// Guards against limits on messages below the largest value, and against a refused value
/// that is reported as unknown.
#[test]
fn largest_value_is_carried() {
    let pool = pool();
    let server = server(&pool);
    let (_, memory) = memory();
    block_on(carry(client(&server, &pool)));
    block_on(carry(memory));
}

/// Guards against calls past the budget, retries included.
#[test]
fn budget_is_kept() {
    let memory = Builder::new().memory();
    let handle = memory.handle().clone();
    let settings = Settings::builder().budget(1, 5).call_ms(0).build();
    let client = Retry::new(memory, settings);
    let start = Instant::now();
    let answers: Vec<_> = (0..100).map(|_| block_on(client.range("key"))).collect();
    // Each second refills one call, however long the calls took.
    let allowed = 5 + start.elapsed().as_secs() + 1;
    let answered = answers.iter().filter(|answer| answer.is_ok()).count() as u64;
    let is_refused = |answer: &&Result<Range, Error>| {
        matches!(answer, Err(Error::Throttled { limit: Limit::Budget, .. }))
    };
    let refused = answers.iter().filter(is_refused).count() as u64;
    assert!(answered <= allowed, "{answered} calls, {allowed} allowed");
    assert_eq!(answered + refused, 100);
    assert_eq!(handle.counts().calls(), answered);
}

/// Guards against calls that are not counted, and watches that are counted after their end.
#[test]
fn calls_and_waiting_watches_are_counted() {
    let pool = pool();
    let server = server(&pool);
    let (client, handle) = (client(&server, &pool), server.handle());
    block_on(async {
        let lease = client.grant(Duration::from_secs(60)).await.expect("an answer");
        client.keep(lease).await.expect("an answer");
        client.write(Txn::new().put("key", "1")).await.expect("an answer");
        client.range("key").await.expect("an answer");
        client.revoke(lease).await.expect("an answer");
        let watch = client.watch("key", 1).await.expect("an answer");
        let open = handle.counts();
        drop(watch);
        while handle.counts().waiting > 0 {
            Timer::after(Duration::from_millis(1)).await;
        }
        let kinds =
            [open.range, open.write, open.grant, open.keep, open.revoke, open.watch];
        assert_eq!(kinds, [1; 6]);
        assert_eq!((open.calls(), open.waiting, open.load()), (6, 1, 7));
    });
}

/// Guards against a transaction that is applied in part.
#[test]
fn refused_transaction_changes_nothing() {
    let memory = Builder::new().memory();
    let twice = Txn::new().put("a", "1").put("b", "1").delete("b");
    let refused = block_on(memory.write(twice));
    let range = block_on(memory.range("")).expect("an answer");
    assert!(matches!(refused, Err(Error::Protocol { .. })), "{refused:?}");
    assert_eq!(range, Range { revision: 1, entries: Vec::new() });
}
