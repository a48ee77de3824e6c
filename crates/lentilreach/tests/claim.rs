//! Decisions on idempotency keys at an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use lentilreach::id::node;
use lentilreach::process::clock::Clock;
use lentilreach::process::context::{Claim, Context, Settings};
use lentilreach::process::drain::Drain;
use lentilreach::process::key::{Keyring, Secret};
use lentilreach::process::link::{Link, Udp};
use lentilreach::process::pool::Pool;
use lentilreach::process::revoke::Revoker;
use lentilreach::process::slot::Slots;
use lentilreach::process::tables::Tables;
use lentilreach::process::upstream::Http;
use lentilreach::request::admit::Limits;
use lentilreach::request::rule::{self, Outcome};

/// The secret that every process has.
fn fleet() -> Secret {
    Secret::fleet(b"the secret of the fixture")
}

/// A secret that was added by a rotation.
fn added() -> Secret {
    Secret { id: 1, bytes: [7; 32] }
}

/// The request state of an agent with these secrets, the last of which is current. The agent
/// receives no messages.
fn agent(node: u64, secrets: &[Secret]) -> Context<Http, Udp> {
    let pool = Pool::new(1).expect("a thread can be started");
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = Udp::bind(local).expect("a socket can be bound");
    let SocketAddr::V4(address) = link.local_addr() else { unreachable!("IPv4") };
    let node = node::Id(node);
    let current = secrets.last().expect("a secret").id;
    let tables = Arc::new(Tables::new(Keyring::new(node, secrets, current)));
    let clock = Clock::new();
    let limits = Limits { slots: 1, cold_slots: 1, cold_ms: 0, queue: 1 };
    let settings =
        Settings { node, agent: address, clock, deadline_ms: 1_000, leave_ms: 1_000 };
    let revoker = Arc::new(Revoker::new(link, tables.clone()));
    let (upstream, _) = Http::new(local, pool);
    let slots = Slots::new(limits, clock);
    Context::new(settings, tables, slots, upstream, revoker, Drain::default())
}

/// The headers of a request whose idempotency key has this text.
fn request(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(rule::IDEMPOTENCY_KEY, key.parse().expect("a header value"));
    headers
}

/// An idempotency key that an agent issues.
fn issued(agent: &Context<Http, Udp>) -> String {
    let mut headers = HeaderMap::new();
    agent.insert_binding(&mut headers);
    let binding = headers[rule::BINDING].to_str().expect("text");
    format!("{binding}.1")
}

/// Guards against "not run" for a request that ran: an agent without the owner's secret, for
/// example because it was cut off during a rotation, reported so for a repeated request, and
/// its caller then sent it again under a new key.
#[test]
fn a_key_that_cannot_be_verified_is_not_reported_as_not_run() {
    let owner = agent(1, &[fleet(), added()]);
    let other = agent(2, &[fleet()]);
    let request = request(&issued(&owner));
    let first = smol::block_on(owner.claim(&request));
    assert!(matches!(first, Claim::Run(_)), "{first:?}");

    let repeated = smol::block_on(other.claim(&request));

    let unknown = Claim::Respond(StatusCode::BAD_GATEWAY, Outcome::Unknown);
    assert_eq!(format!("{repeated:?}"), format!("{unknown:?}"));
}

/// Guards against callers that cannot start: a key that no agent issued never ran anywhere, and
/// the caller gets a binding to make one.
#[test]
fn a_key_of_another_form_is_reported_as_not_run() {
    let agent = agent(1, &[fleet()]);
    let required = Claim::Respond(StatusCode::PRECONDITION_REQUIRED, Outcome::NotRun);

    for key in ["order-17", "17", "0a0b.0c.1", "xy.zz.1", ".."] {
        let claim = smol::block_on(agent.claim(&request(key)));

        assert_eq!(format!("{claim:?}"), format!("{required:?}"), "{key}");
    }
}
