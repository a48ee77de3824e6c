//! Fixtures: stores, clients and data.

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use smol::block_on;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{self, Client, Range, Settings, Txn, etcd};
use lentilreach_standin::store::{Builder, Handle, Memory, Server};

/// The loopback address with port 0, which selects a free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs a test with a timeout of 60 s, many times what any test takes.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    block_on(future::or(test, async {
        Timer::after(Duration::from_secs(60)).await;
        panic!("the test timed out after 60 s")
    }))
}

/// Worker threads for the client and the stand-in store.
pub fn pool() -> Pool {
    Pool::new(2).expect("threads")
}

/// Settings with timeouts long enough for a busy machine.
pub fn long_timeouts(endpoint: SocketAddr) -> Settings {
    Settings::builder()
        .endpoint(endpoint)
        .budget(10_000, 10_000)
        .connect_ms(10_000)
        .attempt_ms(30_000)
        .call_ms(60_000)
        .backoff_ms(5, 20)
        .build()
}

/// Settings for calls that are expected to time out.
pub fn short_timeouts(endpoint: SocketAddr) -> Settings {
    Settings::builder()
        .endpoint(endpoint)
        .budget(10_000, 10_000)
        .attempt_ms(500)
        .call_ms(1_000)
        .backoff_ms(5, 20)
        .build()
}

/// A store server.
pub fn server(pool: &Pool) -> Server {
    Builder::new().serve(LOOPBACK, pool).expect("a free port")
}

/// A client over sockets.
pub fn client(server: &Server, pool: &Pool) -> Client {
    store::connect(long_timeouts(server.address()), pool.clone())
        .expect("settings are valid")
}

/// A client over sockets that does not retry.
pub fn client_without_retry(server: &Server, pool: &Pool) -> etcd::Client {
    etcd::Client::new(&long_timeouts(server.address()), pool.clone())
        .expect("settings are valid")
}

/// An in-process client.
pub fn memory() -> (Handle, Retry<Memory>) {
    let memory = Builder::new().memory();
    (memory.handle().clone(), Retry::new(memory, long_timeouts(LOOPBACK)))
}

/// Writes a key unconditionally on behalf of another client.
pub fn put(handle: &Handle, key: &str, value: &'static str) {
    handle.write(&Txn::new().put(key, value)).expect("a valid transaction");
}

/// The keys and values in a range response.
pub fn pairs(range: &Range) -> Vec<(&str, &[u8])> {
    range.entries.iter().map(|entry| (&*entry.key, &*entry.value)).collect()
}
