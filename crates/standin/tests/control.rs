//! Tests how the configuration in the store reaches balancers and agents through gossip.

#[path = "control/fleet.rs"]
mod fleet;

use fleet::{Fleet, RecordedAgent, count, loopback, wait_until};
use lentilreach::process::admin::Source as _;
use lentilreach::process::event::Kind;
use lentilreach::process::gossip::entry::Entry;
use lentilreach::request::admit::End;
use lentilreach::version::config::key;
use lentilreach_standin::store::Outage;
use lentilreach_standin::tls;

/// Guards against a document that does not reach all processes, and against balancers that
/// only find each other if their settings list them.
#[test]
fn submitted_service_is_in_force_everywhere() {
    let fleet = Fleet::start(5, 3);

    let revision = fleet.submit(4434);

    fleet.wait_for_revision(revision);
    fleet.wait_for_members(4434, 3);
    wait_until("agents are ready under the revision", || {
        let sources = fleet.agents.iter().map(|agent| agent.process.status_source());
        sources.into_iter().all(|source| {
            source.ready().is_ok() && source.status().revision == Some(revision)
        })
    });
    for balancer in &fleet.balancers {
        // A balancer that saw the former version keeps its address until the flows have
        // drained.
        let former = balancer.members(4433).unwrap_or_default();
        assert_eq!(former, 0, "the former address has no members");
        assert!(balancer.process.status_source().ready().is_ok());
    }
}

/// Guards against a balancer that acquires a relay slot and reports ready when it has read the
/// services from the store but does not know their members: it would drop new flows.
#[test]
fn joining_balancer_is_ready_with_members_only() {
    let mut fleet = Fleet::start(2, 3);
    fleet.wait_for_members(4433, 3);

    fleet.add_balancer();

    let balancer = &fleet.balancers[2];
    wait_until("the third balancer is ready", || {
        balancer.process.status_source().ready().is_ok()
    });
    assert_eq!(balancer.members(4433), Some(3));
    wait_until("it holds the second slot of nord", || {
        balancer.count(|kind| matches!(kind, Kind::RelayGained { .. })) == 1
    });
}

/// Guards against an accepted document that does not spread during a store outage, and against
/// a relay that drops its configuration or records the same outage repeatedly.
#[test]
fn accepted_document_spreads_without_the_store() {
    let mut fleet = Fleet::start(3, 1);
    fleet.wait_for_members(4433, 1);
    let revision = fleet.submit(4434);
    wait_until("a relay has read the document", || {
        let views =
            fleet.balancers.iter().map(|balancer| balancer.process.tables().view());
        views.into_iter().any(|view| view.revision >= revision)
    });

    fleet.handle().start_outage(Outage::Refuse);

    fleet.wait_for_revision(revision);
    wait_until("a relay has recorded the outage", || {
        fleet
            .balancers
            .iter()
            .any(|balancer| balancer.count(|k| *k == Kind::StoreAway) == 1)
    });
    fleet.add_agent(loopback());
    fleet.wait_for_members(4434, 2);
    fleet.handle().end_outage();
    wait_until("relays have recorded the end of the outage", || {
        fleet.balancers.iter().all(|balancer| {
            let outages = balancer.count(|kind| *kind == Kind::StoreAway);
            outages == balancer.count(|kind| *kind == Kind::StoreBack)
        })
    });
    let revision = fleet.submit(4435);
    fleet.wait_for_revision(revision);
    for balancer in &fleet.balancers {
        assert!(balancer.count(|kind| *kind == Kind::StoreAway) <= 1, "recorded once");
    }
}

/// Guards against a configuration that reverts when a relay that was paused until its lease
/// expired publishes outdated documents.
#[test]
fn relay_paused_past_its_lease_reverts_nothing() {
    let fleet = Fleet::start(3, 1);
    fleet.wait_for_members(4433, 1);
    let key = key::service("weilheim", "abo");
    let old = fleet.handle().get(&key).expect("submitted");
    let slots =
        || (0..2).filter_map(|slot| fleet.handle().lease(&key::relay("nord", slot)));
    wait_until("two balancers hold the slots", || slots().count() == 2);
    let revision = fleet.submit(4434);
    fleet.wait_for_revision(revision);

    slots().collect::<Vec<_>>().into_iter().for_each(|lease| {
        fleet.handle().expire_lease(lease);
    });
    for balancer in &fleet.balancers {
        let entry = Entry::document(key.clone(), old.modified, Some(old.value.clone()));
        balancer.process.gossip().submit(entry);
    }

    wait_until("the slots are held again", || slots().count() == 2);
    let later = fleet.write("lentilreach/template/t", "{}");
    fleet.wait_for_revision(later);
    for balancer in &fleet.balancers {
        assert_eq!(balancer.members(4434), Some(1));
        assert_eq!(balancer.members(4433), Some(0), "the former version came back");
    }
    let lost = fleet
        .balancers
        .iter()
        .map(|balancer| balancer.count(|kind| matches!(kind, Kind::RelayLost { .. })));
    assert_eq!(lost.sum::<usize>(), 2, "each relay recorded the loss of its lease");
}

/// Guards against agents that keep serving in a failure domain that is out of service, and
/// against a return to service without a cold start.
#[test]
fn failure_domain_goes_out_and_comes_back() {
    let fleet = Fleet::start(2, 2);
    fleet.wait_for_members(4433, 2);
    let (nord, sued) = (&fleet.agents[0].process, &fleet.agents[1].process);
    wait_until("agents are ready", || {
        nord.status_source().ready().is_ok() && sued.status_source().ready().is_ok()
    });
    wait_until("the backend server is warm", || {
        run_request(&fleet.agents[0]);
        !is_cold(&fleet.agents[0])
    });

    fleet.set_out("nord", true);

    wait_until("the agent has stopped", || nord.status_source().ready().is_err());
    wait_until("balancers have applied the change", || {
        fleet.balancers.iter().all(|balancer| {
            let is_out = |kind: &Kind| matches!(kind, Kind::DomainOut { .. });
            let view = balancer.process.tables().view();
            balancer.count(is_out) == 1 && view.domains().iter().any(|domain| domain.out)
        })
    });
    assert!(
        sued.status_source().ready().is_ok(),
        "the other failure domain keeps serving"
    );

    fleet.set_out("nord", false);

    wait_until("the agent serves again", || nord.status_source().ready().is_ok());
    assert!(is_cold(&fleet.agents[0]), "it starts cold");
    let is_domain_back = |kind: &Kind| matches!(kind, Kind::DomainBack { .. });
    wait_until("the return is recorded", || {
        count(&fleet.agents[0].recorder, is_domain_back) == 1
    });
}

/// Guards against two members for one address: an agent would receive twice its share of new
/// flows, or none because of its former incarnation.
#[test]
fn second_incarnation_replaces_the_first() {
    let mut fleet = Fleet::start(2, 1);
    fleet.wait_for_members(4433, 1);
    let first = fleet.agents.remove(0);
    let address = first.process.data_plane().address();

    drop(first);
    fleet.add_agent(address);

    let second = fleet.agents[0].node;
    wait_until("all balancers see the second incarnation alone", || {
        fleet.balancers.iter().all(|balancer| {
            let view = balancer.process.tables().view();
            let service = view.service(fleet::address(4433));
            let nodes = service.map(|service| {
                service.members().iter().map(|member| member.node).collect::<Vec<_>>()
            });
            nodes == Some(vec![second])
        })
    });
}

/// Guards against an invalid document that removes the configuration in force, and against one
/// that is not recorded as rejected.
#[test]
fn document_that_does_not_parse_leaves_the_last_good_one() {
    let fleet = Fleet::start(2, 1);
    fleet.wait_for_members(4433, 1);
    let key = key::service("weilheim", "abo");

    fleet.write(&key, r#"{ "organisation": "weilheim" "#);

    let rejected =
        |kind: &Kind| matches!(kind, Kind::ConfigRejected { entry, .. } if *entry == key);
    wait_until("all processes have recorded the rejection", || {
        fleet.balancers.iter().all(|balancer| balancer.count(rejected) == 1)
            && fleet.agents.iter().all(|agent| count(&agent.recorder, rejected) == 1)
    });
    for balancer in &fleet.balancers {
        assert_eq!(balancer.members(4433), Some(1), "the last good version is in force");
    }
    let revision = fleet.submit(4434);
    fleet.wait_for_revision(revision);
    fleet.wait_for_members(4434, 1);
}

/// Guards against responses from an address other than the service address, which callers
/// drop.
#[test]
fn direct_entry_answers_from_the_service_address() {
    let (fleet, port, caller) = start_serving();

    let connection = smol::block_on(async {
        let connecting = caller.connect(fleet::address(port), tls::NAME);
        connecting.expect("a valid address").await
    });

    // Kept alive until the end: dropping the connection closes the flow.
    let connection = connection.expect("a handshake");
    assert_eq!(connection.remote_address(), fleet::address(port));
    assert_eq!(fleet.agents[0].process.data_plane().shared().flows.read().open(), 1);
}

/// Whether an agent considers its backend server cold.
fn is_cold(agent: &RecordedAgent) -> bool {
    agent.process.data_plane().shared().context.slots().is_cold()
}

/// Lets an agent observe a fast response of its backend server.
fn run_request(agent: &RecordedAgent) {
    let shared = agent.process.data_plane().shared();
    let deadline = shared.clock.now().after(1_000);
    let permit = smol::block_on(shared.context.slots().acquire(deadline));
    if let Ok(permit) = permit {
        permit.finish(End::Answered { took_ms: 1 });
    }
}

/// Guards against a configuration change that cuts the flows of a service instead of draining
/// them.
#[test]
fn flows_of_a_moved_service_drain() {
    let (fleet, port, caller) = start_serving();
    let connection = smol::block_on(async {
        let connecting = caller.connect(fleet::address(port), tls::NAME);
        connecting.expect("a valid address").await.expect("a handshake")
    });

    fleet.submit(4433);

    let end = smol::block_on(connection.closed());
    let quinn::ConnectionError::ApplicationClosed(close) = end else { panic!("{end}") };
    assert_eq!(close.reason, "", "closed gracefully at the end of the drain");
    wait_until("the endpoint is gone", || {
        fleet.agents[0].process.data_plane().shared().flows.read().open() == 0
    });
}

/// Starts a fleet whose balancer serves callers at a port, and a caller.
fn start_serving() -> (Fleet, u16, quinn::Endpoint) {
    let mut fleet = Fleet::start(1, 1);
    let port = fleet.add_direct_balancer();
    fleet.submit(port);
    fleet.wait_for_members(port, 1);
    let source = fleet.agents[0].process.status_source().clone();
    wait_until("the agent serves", || source.ready().is_ok());
    let mut caller = quinn::Endpoint::client(loopback()).expect("a free port");
    caller.set_default_client_config(tls::client(&fleet.identity).expect("certificate"));
    (fleet, port, caller)
}
