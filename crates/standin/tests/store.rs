//! Tests the store client against the stand-in store.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_util::future::join_all;

use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{
    Change, Error, Limit, MAX_VALUE_BYTES, Range, Settings, Step, Store, Txn, TxnResult,
    Watch,
};
use lentilreach_standin::store::{Builder, Handle};

use fixture::{client, memory, pairs, pool, run, server};

#[path = "store/fault.rs"]
mod fault;
#[path = "store/fixture.rs"]
mod fixture;

/// Lets several clients create the same key concurrently.
async fn check_concurrent_create<S: Store>(clients: Vec<S>) {
    let writes = clients.iter().enumerate().map(|(index, client)| async move {
        let txn = Txn::new().compare("race", 0).put("race", index.to_string());
        client.write(txn).await.expect("the call succeeds")
    });
    let written = join_all(writes).await;
    let range = clients[0].range("race").await.expect("the call succeeds");
    let is_done = |written: &&TxnResult| matches!(written, TxnResult::Committed { .. });
    let losers: Vec<_> = written
        .iter()
        .filter_map(|written| match written {
            TxnResult::ConditionFailed { current } => Some(current),
            TxnResult::Committed { .. } => None,
        })
        .collect();
    assert_eq!(written.iter().filter(is_done).count(), 1);
    assert!(losers.iter().all(|current| **current == range.entries));
}

/// Guards against a compare-and-swap that succeeds twice, and against failed ones that do not
/// return the current entry.
#[test]
fn compare_and_swap_has_one_winner() {
    let pool = pool();
    let server = server(&pool);
    let (_, memory) = memory();
    run(check_concurrent_create((0..8).map(|_| client(&server, &pool)).collect()));
    run(check_concurrent_create(vec![memory; 8]));
}

/// Expires the lease of a key without its holder's involvement.
async fn check_expired_lease<S: Store>(handle: &Handle, client: S) {
    let lease =
        client.grant(Duration::from_millis(1_500)).await.expect("the call succeeds");
    let ttl = client.keep(lease).await;
    let write = client.write(Txn::new().lease("slot", "mine", lease)).await;
    let Ok(TxnResult::Committed { revision }) = write else { panic!("{write:?}") };
    let mut watch =
        client.watch("slot", (revision + 1).into()).await.expect("the call succeeds");
    let had_lease = handle.expire_lease(lease);
    let batch = watch.next().await.expect("the deletion");
    let kept = client.keep(lease).await;
    let written = client.write(Txn::new().lease("slot", "mine", lease)).await;
    let revoked = client.revoke(lease).await;
    let range = client.range("slot").await.expect("the call succeeds");
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

/// Guards against a holder that is not told that its lease has expired.
#[test]
fn expired_lease_is_reported_and_its_key_deleted() {
    let pool = pool();
    let server = server(&pool);
    let (handle, memory) = memory();
    run(check_expired_lease(server.handle(), client(&server, &pool)));
    run(check_expired_lease(&handle, memory));
}

/// Guards against leases that outlive their time to live, and against keep-alives that do not
/// extend it.
#[test]
fn lease_expires_after_its_ttl() {
    let memory = Builder::new().manual_clock().memory();
    let handle = memory.handle().clone();
    run(async {
        let lease =
            memory.grant(Duration::from_secs(2)).await.expect("the call succeeds");
        memory
            .write(Txn::new().lease("slot", "mine", lease))
            .await
            .expect("the call succeeds");
        handle.advance(1_999);
        memory.keep(lease).await.expect("the call succeeds");
        handle.advance(1_999);
        let before = handle.get("slot");
        handle.advance(1);
        let after = handle.get("slot");
        assert!(before.is_some());
        assert_eq!(after, None);
    });
}

/// Writes a value of the maximum size, and one that is a byte longer.
async fn check_largest_value<S: Store>(client: S) {
    let largest = vec![7; MAX_VALUE_BYTES];
    let mut watch = client.watch("large", 1.into()).await.expect("the call succeeds");
    let written = client.write(Txn::new().put("large", largest.clone())).await;
    let refused =
        client.write(Txn::new().put("large", vec![7; MAX_VALUE_BYTES + 1])).await;
    let range = client.range("large").await.expect("the call succeeds");
    let batch = watch.next().await.expect("the value");
    assert!(matches!(written, Ok(TxnResult::Committed { .. })), "{written:?}");
    assert!(matches!(refused, Err(Error::Protocol { .. })), "{refused:?}");
    assert_eq!(pairs(&range), [("large", &largest[..])]);
    assert_eq!(batch.changes, [Change::Put(range.entries[0].clone())]);
}

/// Guards against message size limits below the maximum value size, and against a rejected
/// value whose outcome is reported as unknown.
#[test]
fn largest_value_is_accepted() {
    let pool = pool();
    let server = server(&pool);
    let (_, memory) = memory();
    run(check_largest_value(client(&server, &pool)));
    run(check_largest_value(memory));
}

/// Guards against calls that exceed the budget, including retries.
#[test]
fn call_budget_is_enforced() {
    let memory = Builder::new().memory();
    let handle = memory.handle().clone();
    let settings = Settings::builder().budget(1, 5).call_ms(0).build();
    let client = Retry::new(memory, settings);
    let start = Instant::now();
    let results: Vec<_> = (0..100).map(|_| run(client.range("key"))).collect();
    // The budget refills by one call per second.
    let allowed = 5 + start.elapsed().as_secs() + 1;
    let accepted = results.iter().filter(|result| result.is_ok()).count() as u64;
    let is_refused = |result: &&Result<Range, Error>| {
        matches!(result, Err(Error::Throttled { limit: Limit::Budget, .. }))
    };
    let refused = results.iter().filter(is_refused).count() as u64;
    assert!(accepted <= allowed, "{accepted} calls, {allowed} allowed");
    assert_eq!(accepted + refused, 100);
    assert_eq!(handle.counts().calls(), accepted);
}

/// Waits until no watch is counted as open.
async fn wait_until_no_watch_is_open(handle: &Handle) {
    while handle.counts().open_watches > 0 {
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// Guards against calls that are not counted, and closed watches that still are.
#[test]
fn calls_and_waiting_watches_are_counted() {
    let pool = pool();
    let server = server(&pool);
    let (client, handle) = (client(&server, &pool), server.handle());
    run(async {
        let lease =
            client.grant(Duration::from_secs(60)).await.expect("the call succeeds");
        client.keep(lease).await.expect("the call succeeds");
        client.write(Txn::new().put("key", "1")).await.expect("the call succeeds");
        client.range("key").await.expect("the call succeeds");
        client.revoke(lease).await.expect("the call succeeds");
        let watch = client.watch("key", 1.into()).await.expect("the call succeeds");
        let open = handle.counts();
        drop(watch);
        wait_until_no_watch_is_open(handle).await;
        let _watch = client.watch("key", 1.into()).await.expect("the call succeeds");
        handle.close_connections();
        wait_until_no_watch_is_open(handle).await;
        let kinds =
            [open.range, open.write, open.grant, open.keep, open.revoke, open.watch];
        assert_eq!(kinds, [1; 6]);
        assert_eq!((open.calls(), open.open_watches, open.load()), (6, 1, 7));
    });
}

/// Guards against default limits above those of the platform's store.
#[test]
fn default_limits_are_those_of_the_platform() {
    let memory = Builder::new().manual_clock().memory();
    run(async {
        for _ in 0..500 {
            memory.write(Txn::new().put("key", "1")).await.expect("the call succeeds");
        }
        for _ in 0..2_000 {
            memory.range("key").await.expect("the call succeeds");
        }
        let write = memory.write(Txn::new().put("key", "1")).await;
        let range = memory.range("key").await;
        assert!(matches!(write, Err(Error::Throttled { .. })), "{write:?}");
        assert!(matches!(range, Err(Error::Throttled { .. })), "{range:?}");
    });
}

/// Guards against a rejected transaction that is partly applied.
#[test]
fn refused_transaction_changes_nothing() {
    let memory = Builder::new().memory();
    let twice = Txn::new().put("a", "1").put("b", "1").delete("b");
    let refused = run(memory.write(twice));
    let range = run(memory.range("")).expect("the call succeeds");
    assert!(matches!(refused, Err(Error::Protocol { .. })), "{refused:?}");
    assert_eq!(range, Range { revision: 1.into(), entries: Vec::new() });
}
