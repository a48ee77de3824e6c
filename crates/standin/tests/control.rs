//! Balancers and agents take their configuration from the store over the exchange.

#[path = "control/fleet.rs"]
mod fleet;

use fleet::{Back, Fleet, any, count, until};
use lentilreach::process::admin::Source as _;
use lentilreach::process::event::Kind;
use lentilreach::process::spread::entry::Entry;
use lentilreach::request::admit::End;
use lentilreach::version::config::key;
use lentilreach_standin::store::Away;
use lentilreach_standin::tls;

/// Guards against a document that some process does not get, and against processes that need
/// a list of balancers to find each other.
#[test]
fn submitted_service_is_in_force_everywhere() {
    let fleet = Fleet::start(5, 3);

    let revision = fleet.submit(4434);

    fleet.wait_for(revision);
    fleet.wait_for_members(4434, 3);
    until("agents are ready under the revision", || {
        let boards = fleet.backs.iter().map(|back| back.agent.board());
        boards.into_iter().all(|board| {
            board.ready().is_ok() && board.status().revision == Some(revision)
        })
    });
    for front in &fleet.fronts {
        // A balancer that saw the former version keeps its address while flows drain.
        let former = front.members(4433).unwrap_or_default();
        assert_eq!(former, 0, "the former address has no members");
        assert!(front.balancer.board().ready().is_ok());
    }
}

/// Guards against a balancer that takes a relay slot and reports ready with the services of
/// the store but without their members, so that it drops the packets of new flows.
#[test]
fn joining_balancer_is_ready_with_members_only() {
    let mut fleet = Fleet::start(2, 3);
    fleet.wait_for_members(4433, 3);

    fleet.add_balancer();

    let front = &fleet.fronts[2];
    until("the third balancer is ready", || front.balancer.board().ready().is_ok());
    assert_eq!(front.members(4433), Some(3));
    until("it holds the second slot of nord", || {
        front.count(|kind| matches!(kind, Kind::RelayGained { .. })) == 1
    });
}

/// Guards against an accepted document that is lost with the store, and against a holder
/// that gives up its configuration or fills the timeline during an outage.
#[test]
fn accepted_document_spreads_without_the_store() {
    let mut fleet = Fleet::start(3, 1);
    fleet.wait_for_members(4433, 1);
    let revision = fleet.submit(4434);
    until("a holder has read the document", || {
        let views = fleet.fronts.iter().map(|front| front.balancer.tables().view());
        views.into_iter().any(|view| view.revision >= revision)
    });

    fleet.handle().away(Away::Refuse);

    fleet.wait_for(revision);
    until("a holder noticed the outage", || {
        fleet.fronts.iter().any(|front| front.count(|k| *k == Kind::StoreAway) == 1)
    });
    fleet.add_agent(any());
    fleet.wait_for_members(4434, 2);
    fleet.handle().restore();
    until("holders noticed the end of the outage", || {
        fleet.fronts.iter().all(|front| {
            let away = front.count(|kind| *kind == Kind::StoreAway);
            away == front.count(|kind| *kind == Kind::StoreBack)
        })
    });
    let revision = fleet.submit(4435);
    fleet.wait_for(revision);
    for front in &fleet.fronts {
        assert!(front.count(|kind| *kind == Kind::StoreAway) <= 1, "recorded once");
    }
}

/// Guards against a configuration that reverts when a process that was paused past its lease
/// publishes what it had read before.
#[test]
fn relay_paused_past_its_lease_reverts_nothing() {
    let fleet = Fleet::start(3, 1);
    fleet.wait_for_members(4433, 1);
    let key = key::service("weilheim", "abo");
    let old = fleet.handle().get(&key).expect("submitted");
    let slots =
        || (0..2).filter_map(|slot| fleet.handle().lease(&key::relay("nord", slot)));
    until("two balancers hold the slots", || slots().count() == 2);
    let revision = fleet.submit(4434);
    fleet.wait_for(revision);

    slots().collect::<Vec<_>>().into_iter().for_each(|lease| {
        fleet.handle().expire_lease(lease);
    });
    for front in &fleet.fronts {
        let entry = Entry::document(key.clone(), old.modified, Some(old.value.clone()));
        front.balancer.exchange().submit(entry);
    }

    until("the slots are held again", || slots().count() == 2);
    let later = fleet.write("lentilreach/template/t", "{}");
    fleet.wait_for(later);
    for front in &fleet.fronts {
        assert_eq!(front.members(4434), Some(1));
        assert_eq!(front.members(4433), Some(0), "the former version came back");
    }
    let lost = fleet
        .fronts
        .iter()
        .map(|front| front.count(|kind| matches!(kind, Kind::RelayLost { .. })));
    assert_eq!(lost.sum::<usize>(), 2, "each holder noticed that its lease had ended");
}

/// Guards against agents that go on serving in a failure domain that is out of service, and
/// against a return without a cold start.
#[test]
fn failure_domain_goes_out_and_comes_back() {
    let fleet = Fleet::start(2, 2);
    fleet.wait_for_members(4433, 2);
    let (away, other) = (&fleet.backs[0].agent, &fleet.backs[1].agent);
    until("agents are ready", || {
        away.board().ready().is_ok() && other.board().ready().is_ok()
    });
    until("the backend server is warm", || {
        run_request(&fleet.backs[0]);
        !is_cold(&fleet.backs[0])
    });

    fleet.set_out("nord", true);

    until("the agent has stopped", || away.board().ready().is_err());
    until("balancers know", || {
        fleet.fronts.iter().all(|front| {
            let is_out = |kind: &Kind| matches!(kind, Kind::DomainOut { .. });
            let view = front.balancer.tables().view();
            front.count(is_out) == 1 && view.domains().iter().any(|domain| domain.out)
        })
    });
    assert!(other.board().ready().is_ok(), "the other failure domain goes on");

    fleet.set_out("nord", false);

    until("the agent serves again", || away.board().ready().is_ok());
    assert!(is_cold(&fleet.backs[0]), "it starts cold");
    let back = |kind: &Kind| matches!(kind, Kind::DomainBack { .. });
    until("the return is recorded", || count(&fleet.backs[0].recorder, back) == 1);
}

/// Guards against two members for one address, which would give an agent two shares of the
/// new flows, or keep it out with its former incarnation.
#[test]
fn second_incarnation_replaces_the_first() {
    let mut fleet = Fleet::start(2, 1);
    fleet.wait_for_members(4433, 1);
    let first = fleet.backs.remove(0);
    let address = first.agent.body().address();

    drop(first);
    fleet.add_agent(address);

    let second = fleet.backs[0].node;
    until("all balancers see the second incarnation alone", || {
        fleet.fronts.iter().all(|front| {
            let view = front.balancer.tables().view();
            let service = view.service(fleet::address(4433));
            let nodes = service.map(|service| {
                service.members().iter().map(|member| member.node).collect::<Vec<_>>()
            });
            nodes == Some(vec![second])
        })
    });
}

/// Guards against a mistake in one document that takes down what was in force, and against
/// one that nobody is told of.
#[test]
fn document_that_does_not_parse_leaves_the_last_good_one() {
    let fleet = Fleet::start(2, 1);
    fleet.wait_for_members(4433, 1);
    let key = key::service("weilheim", "abo");

    fleet.write(&key, r#"{ "organisation": "weilheim" "#);

    let rejected =
        |kind: &Kind| matches!(kind, Kind::ConfigRejected { entry, .. } if *entry == key);
    until("everyone has recorded it", || {
        fleet.fronts.iter().all(|front| front.count(rejected) == 1)
            && fleet.backs.iter().all(|back| count(&back.recorder, rejected) == 1)
    });
    for front in &fleet.fronts {
        assert_eq!(front.members(4433), Some(1), "the last good version is in force");
    }
    let revision = fleet.submit(4434);
    fleet.wait_for(revision);
    fleet.wait_for_members(4434, 1);
}

/// Guards against answers from another address than the caller asked, which it drops.
#[test]
fn direct_entry_answers_from_the_service_address() {
    let (fleet, port, caller) = serving();

    let connection = smol::block_on(async {
        let connecting = caller.connect(fleet::address(port), tls::NAME);
        connecting.expect("a valid address").await
    });

    // Held until the end: a connection that is dropped closes its flow.
    let connection = connection.expect("a handshake");
    assert_eq!(connection.remote_address(), fleet::address(port));
    assert_eq!(fleet.backs[0].agent.body().shared().flows.read().open(), 1);
}

/// Whether the backend server of an agent is taken to be cold.
fn is_cold(back: &Back) -> bool {
    back.agent.body().shared().context.slots().is_cold()
}

/// Lets an agent see a fast answer of its backend server.
fn run_request(back: &Back) {
    let shared = back.agent.body().shared();
    let deadline = shared.clock.now().after(1_000);
    let permit = smol::block_on(shared.context.slots().enter(deadline));
    if let Ok(permit) = permit {
        permit.finish(End::Answered { took_ms: 1 });
    }
}

/// Guards against a change of the configuration that cuts the flows of a service instead of
/// draining them.
#[test]
fn flows_of_a_moved_service_drain() {
    let (fleet, port, caller) = serving();
    let connection = smol::block_on(async {
        let connecting = caller.connect(fleet::address(port), tls::NAME);
        connecting.expect("a valid address").await.expect("a handshake")
    });

    fleet.submit(4433);

    let end = smol::block_on(connection.closed());
    let quinn::ConnectionError::ApplicationClosed(close) = end else { panic!("{end}") };
    assert_eq!(close.reason, "", "closed at the end of its drain");
    until("the endpoint is gone", || {
        fleet.backs[0].agent.body().shared().flows.read().open() == 0
    });
}

/// A fleet whose balancer serves callers at a port, and a caller.
fn serving() -> (Fleet, u16, quinn::Endpoint) {
    let mut fleet = Fleet::start(1, 1);
    let port = fleet.add_direct();
    fleet.submit(port);
    fleet.wait_for_members(port, 1);
    let board = fleet.backs[0].agent.board().clone();
    until("the agent serves", || board.ready().is_ok());
    let mut caller = quinn::Endpoint::client(any()).expect("a free port");
    caller.set_default_client_config(tls::client(&fleet.identity).expect("certificate"));
    (fleet, port, caller)
}
