//! Candidate tables and the distribution of new flows over candidates.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lentilreach::connection::token;
use lentilreach::id::{domain, node, service};
use lentilreach::process::clock::Millis;
use lentilreach::request::packet::{Form, Packet};
use lentilreach::request::route::{Verdict, route};
use lentilreach::version::load::{self, Trend};
use lentilreach::version::table::{MAX_CANDIDATES, Table};
use lentilreach::version::view::{Load, Member, Service, Stage, View};

fn member(index: u64, open: u32) -> Member {
    Member {
        node: node::Id(index),
        agent: SocketAddrV4::new(Ipv4Addr::from(index as u32), 1),
        domain: domain::Id(0),
        stage: Stage::Active,
        load: Load { open, limit: 2_000, ..Load::default() },
    }
}

fn members(count: u64) -> Vec<Member> {
    (0..count).map(|index| member(index, 100)).collect()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 1, 0, 1], 4433))
}

/// The first candidate of each of 2,000 flows.
fn first_candidates(members: Vec<Member>) -> Vec<SocketAddrV4> {
    let service = Service::new(address(), service::Id(1), "org/svc".into(), members);
    let view = View::new(1, vec![service], Vec::new());
    let first = |flow: u64| {
        let id = flow.to_be_bytes();
        let caller = SocketAddr::from(([10, 0, 0, 1], 1_000));
        let form = Form::Initial;
        let packet = Packet { caller, service: address(), form, destination: &id };
        match route(&view, &token::Keys::default(), &packet, 3) {
            Verdict::Offer { candidates, .. } => candidates.as_slice()[0],
            verdict => panic!("an opening packet is offered, not {verdict:?}"),
        }
    };
    (0..2_000).map(first).collect()
}

/// The number of flows by agent.
fn counts(agents: &[SocketAddrV4]) -> BTreeMap<SocketAddrV4, usize> {
    agents.iter().fold(BTreeMap::new(), |mut counts, agent| {
        *counts.entry(*agent).or_default() += 1;
        counts
    })
}

/// Guards against a change of one member that rearranges the candidates of unrelated flows.
#[test]
fn removal_keeps_the_order_of_other_candidates() {
    let before = members(40);
    let mut after = before.clone();
    after.remove(17);
    let (old, new) = (Table::build(&before), Table::build(&after));
    let nodes = |table: &Table, members: &[Member], row| -> Vec<u64> {
        table.candidates(row).iter().map(|i| members[usize::from(*i)].node.0).collect()
    };

    for row in 0..512 {
        let mut kept = nodes(&old, &before, row);
        kept.retain(|node| *node != 17);

        assert_eq!(nodes(&new, &after, row)[..kept.len()], kept, "row {row}");
    }
}

/// Guards against a table that lists a member twice in a row, or omits a member of a small
/// service.
#[test]
fn rows_are_complete() {
    for count in [0, 1, 7, 8, 400] {
        let table = Table::build(&members(count));
        for row in 0..64 {
            let mut row = table.candidates(row).to_vec();
            row.sort_unstable();
            row.dedup();

            assert_eq!(row.len(), MAX_CANDIDATES.min(count as usize));
        }
    }
}

/// Guards against herding: a member that reports a lower load must get more new flows, but not
/// all of them.
#[test]
fn less_loaded_member_gets_more_flows_but_not_all() {
    let mut uneven = members(7);
    uneven[0].load.open = 90;

    let even = counts(&first_candidates(members(7)))[&uneven[0].agent];
    let more = counts(&first_candidates(uneven.clone()))[&uneven[0].agent];

    assert!(more > even * 3 / 2, "{more} after {even}");
    assert!(more < 1_000, "{more} of 2,000");
}

/// Guards against retransmitted opening packets that reach different agents, because the
/// balancers that forward them have slightly different load reports.
#[test]
fn views_with_similar_loads_mostly_agree() {
    let other = (0..7).map(|index| member(index, 99 + index as u32 % 3)).collect();

    let pairs = first_candidates(members(7)).into_iter().zip(first_candidates(other));
    let differ = pairs.filter(|(a, b)| a != b).count();

    assert!(differ < 200, "{differ} of 2,000");
}

/// Guards against overshoot while the number of flows grows. The loads of members then differ
/// by the age of their reports, and weights must not correct more flows than arrive within
/// that age.
#[test]
fn weights_differ_less_while_the_mean_grows() {
    let at = |open, second: u64| -> Vec<Member> {
        let later = |index| {
            let mut member = member(index, if index == 0 { open - 20 } else { open });
            member.load.at = Millis(second * 1_000);
            member
        };
        (0..7).map(later).collect()
    };
    let steady = Trend::new(&at(100, 0)).next(&at(100, 1)).next(&at(100, 2));
    let growing = Trend::new(&at(20, 0)).next(&at(60, 1)).next(&at(100, 2));

    let share = |trend| 1.0 / load::choices(&at(100, 2), &trend)[0].cost;

    // Each member gets 40 flows per report interval and the member is 20 behind, so half a
    // share closes the gap.
    assert!(share(steady) > 2.0, "{}", share(steady));
    assert!(share(growing) <= 1.5, "{}", share(growing));
}

/// Guards against new flows for a full member, and against a cold member that gets more than
/// its share because it has no open flows.
#[test]
fn full_members_come_last_and_cold_ones_get_one_share() {
    let mut members = members(4);
    members[0].load = Load { open: 400, limit: 400, ..Load::default() };
    members[1].stage = Stage::Cold;
    members[1].load.open = 0;

    let choices = load::choices(&members, &Trend::new(&members));

    assert!(choices[0].cost >= load::INELIGIBLE_COST);
    assert_eq!(choices[1].cost, 1.0, "the share of a member at the mean");
    assert_eq!(load::mean_active(&members), Some(2_000), "cold ones do not count");
}
