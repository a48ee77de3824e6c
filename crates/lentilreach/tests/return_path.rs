//! The choice of the balancer that returns a datagram to its caller.

use std::net::SocketAddr;

use lentilreach::process::clock::Millis;
use lentilreach::process::return_path::RecentBalancers;

/// The address of a balancer.
fn balancer(index: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, index], 4433))
}

/// Balancers that an agent heard from one after another, 10 ms apart; the last one at `now`.
fn heard(count: u8, now: Millis) -> RecentBalancers {
    let mut balancers = RecentBalancers::default();
    for index in 0..count {
        let ago = 10 * u64::from(count - 1 - index);
        balancers.record(Millis(now.0 - ago), balancer(index));
    }
    balancers
}

/// The distinct balancers that a datagram and its retransmissions take.
fn paths(balancers: &RecentBalancers, now: Millis) -> Vec<SocketAddr> {
    let chosen = (0..64).filter_map(|salt| balancers.choose(now, salt));
    let mut paths: Vec<SocketAddr> = chosen.collect();
    paths.sort_unstable();
    paths.dedup();
    paths
}

/// Guards against an idle connection that ends because one balancer stopped: an idle agent sent
/// each keep-alive and each retransmission to the balancer that it heard last, until the
/// connection timed out, although others were up.
#[test]
fn an_idle_agent_does_not_depend_on_one_balancer() {
    let heard_at = Millis(60_000);
    let balancers = heard(3, heard_at);

    for idle_ms in [0, 1_000, 3_000, 10_000, 25_000] {
        let paths = paths(&balancers, heard_at.after(idle_ms));

        assert_eq!(paths.len(), 3, "after {idle_ms} ms: {paths:?}");
    }
}

/// Guards against an idle agent that tries balancers that were replaced long ago as often as
/// those that it heard lately.
#[test]
fn an_idle_agent_prefers_balancers_heard_lately() {
    let heard_at = Millis(60_000);
    let balancers = heard(20, heard_at);

    let paths = paths(&balancers, heard_at.after(10_000));

    let lately: Vec<SocketAddr> = (20 - paths.len() as u8..20).map(balancer).collect();
    assert!((2..=8).contains(&paths.len()), "{paths:?}");
    assert_eq!(paths, lately);
}
