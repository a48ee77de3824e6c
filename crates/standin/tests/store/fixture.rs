//! Stores, clients and data for the tests.

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

/// Any free port on loopback.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs a test to its end. A test that waits for something that never comes fails after 60 s,
/// many times what any test takes.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    block_on(future::or(test, async {
        Timer::after(Duration::from_secs(60)).await;
        panic!("the test waits for something that never comes")
    }))
}

/// Worker threads for client and stand-in.
pub fn pool() -> Pool {
    Pool::new(2).expect("threads")
}

/// Settings that leave time enough on a busy machine.
pub fn patient(endpoint: SocketAddr) -> Settings {
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
pub fn hasty(endpoint: SocketAddr) -> Settings {
    Settings::builder()
        .endpoint(endpoint)
        .budget(10_000, 10_000)
        .attempt_ms(500)
        .call_ms(1_000)
        .backoff_ms(5, 20)
        .build()
}

/// A listening store.
pub fn server(pool: &Pool) -> Server {
    Builder::new().serve(LOOPBACK, pool).expect("a free port")
}

/// A client over sockets.
pub fn client(server: &Server, pool: &Pool) -> Client {
    store::connect(patient(server.address()), pool.clone()).expect("settings are valid")
}

/// A client over sockets that makes each call once.
pub fn bare(server: &Server, pool: &Pool) -> etcd::Client {
    etcd::Client::new(&patient(server.address()), pool.clone())
        .expect("settings are valid")
}

/// A client without sockets.
pub fn memory() -> (Handle, Retry<Memory>) {
    let memory = Builder::new().memory();
    (memory.handle().clone(), Retry::new(memory, patient(LOOPBACK)))
}

/// Writes a key unconditionally, as another client.
pub fn put(handle: &Handle, key: &str, value: &'static str) {
    handle.write(&Txn::new().put(key, value)).expect("a valid transaction");
}

/// The keys and values of a range.
pub fn pairs(range: &Range) -> Vec<(&str, &[u8])> {
    range.entries.iter().map(|entry| (&*entry.key, &*entry.value)).collect()
}
