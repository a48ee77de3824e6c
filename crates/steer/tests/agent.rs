//! What an agent does with segments: the last word on what its backend server gets.

mod fixture;

use std::net::SocketAddrV4;

use fixture::{
    CALENDAR, COLD_LIMIT, INVOICES, accept, agent, agent_address, agent_beat, arrival,
    balancer_address, flow, from_backend, ledger, limits, mark, open, opening, report,
    request, returned, roster, routing, settle, taken,
};
use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Agent, Answer, Cause, Ended, News, Step};
use lentilreach_steer::process::backend::{Change, Refusal, Report};
use lentilreach_steer::process::roster::{Member, Roster};
use lentilreach_steer::request::message::{Ledger, Search, Stage};
use lentilreach_steer::request::place::homes;
use lentilreach_steer::request::segment::Flags;
use lentilreach_steer::version::routing::Routing;

const NOW: Millis = Millis(100_000);

/// First sequence number of a backend server in these tests.
const FIRST: u32 = 5_000;

/// Agent 1 of a roster of six.
fn subject() -> (Agent, Roster) {
    (agent(NOW, 1, "a"), roster(NOW, 6, &["a", "b"]))
}

/// A flow of which agent 1 is not a home.
fn foreign(roster: &Roster) -> flow::Key {
    let is_foreign =
        |key: &flow::Key| !homes(roster, key).contains(&Some(agent_address(1)));
    (1..).map(flow).find(is_foreign).expect("most flows have other homes")
}

/// A flow whose first home is agent 1.
fn own(roster: &Roster) -> flow::Key {
    let is_own = |key: &flow::Key| homes(roster, key)[0] == Some(agent_address(1));
    (1..).map(flow).find(is_own).expect("one flow in six has this home")
}

/// Why a segment was passed on, and how it looks for its place then.
fn passed(step: Step) -> (Cause, Search) {
    match step {
        Step::Pass { cause, way, .. } => (cause, way.search),
        other => panic!("not passed on: {other:?}"),
    }
}

/// Guards against a target of another service on a reused address: the balancer still
/// believes the earlier one.
#[test]
fn another_service_on_the_address_gets_no_flow() {
    let (mut agent, roster) = subject();
    let other = Report {
        id: "i-2".into(),
        service: INVOICES.into(),
        born: Some(2_000),
        ..report(1)
    };
    agent.report(NOW, other);

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(passed(step).0, Cause::Route);
}

/// Guards against an older decision after a newer one was acted upon, in both orders: the
/// balancer may be ahead of the agent or behind it.
#[test]
fn no_opening_goes_by_an_older_configuration_than_before() {
    let (mut agent, roster) = subject();
    let behind = routing(4);
    let newer = arrival(opening(flow(1), 0), Search::Open, 5);
    assert!(matches!(
        agent.segment(NOW, &behind, &roster, &newer),
        Step::Deliver { is_new: true, .. }
    ));

    let older = arrival(opening(flow(2), 0), Search::Open, 4);

    assert_eq!(agent.segment(NOW, &behind, &roster, &older), Step::Drop(Cause::Stale));
    // Once the agent has the version itself, it decides by that.
    let step = agent.segment(NOW, &routing(5), &roster, &older);
    assert!(matches!(step, Step::Deliver { is_new: true, .. }), "{step:?}");
}

/// Guards against a flow on a route that a newer configuration has moved.
#[test]
fn the_newer_of_two_configurations_decides() {
    let (mut agent, roster) = subject();
    let mut moved = routing(6);
    moved.routes[0].split[0].service = INVOICES.into();

    let arrival = arrival(opening(flow(1), 0), Search::Open, 5);
    let step = agent.segment(NOW, &moved, &roster, &arrival);

    // No agent of the other service is known, so the caller is told at once.
    assert!(matches!(step, Step::Refuse { cause: Cause::Route, .. }), "{step:?}");
}

/// Guards against new flows in a failure domain that operators have taken out, whatever the
/// balancer believes.
#[test]
fn a_domain_that_is_out_gets_no_flow() {
    let (mut agent, roster) = subject();
    let out = Routing { out: vec!["a".into()], ..routing(1) };

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let step = agent.segment(NOW, &out, &roster, &arrival);

    assert_eq!(passed(step).0, Cause::DomainOut);
}

/// Guards against full load on a backend server that turned cold while its failure domain
/// was out, before the report that says so.
#[test]
fn a_domain_that_is_back_is_limited_at_first() {
    let (mut agent, _) = subject();
    let alone = roster(NOW, 1, &["a"]);
    let out = Routing { out: vec!["a".into()], ..routing(1) };
    agent.rerouted(&out, &routing(1));

    let steps: Vec<_> = (1..=20)
        .map(|port| {
            let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
            agent.segment(NOW, &routing(1), &alone, &arrival)
        })
        .collect();

    let delivered =
        steps.iter().filter(|step| matches!(step, Step::Deliver { .. })).count();
    assert_eq!(delivered, COLD_LIMIT);
}

/// Guards against new work after a drain was acknowledged.
#[test]
fn a_draining_backend_server_gets_no_flow() {
    let (mut agent, roster) = subject();
    let (change, _) = agent.report(NOW, Report { is_draining: true, ..report(2) });
    assert_eq!(change, Change::Stage);

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(passed(step).0, Cause::Admission(Refusal::Draining));
}

/// Guards against a burst of openings from all balancers at once: what a cold backend server
/// does not bear waits or goes elsewhere, and nothing is delivered before its time.
#[test]
fn a_cold_burst_waits_for_its_places() {
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, Report { cold_ms: 5_000, ..report(1) });
    let alone = roster(NOW, 1, &["a"]);
    let routing = routing(1);

    let mut delivered = 0;
    let mut held = Vec::new();
    let mut refused = 0;
    for port in 1..=20 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        match agent.segment(NOW, &routing, &alone, &arrival) {
            Step::Deliver { .. } => delivered += 1,
            Step::Hold { until } => held.push((until, arrival)),
            Step::Refuse { cause: Cause::Admission(Refusal::Cold), .. } => refused += 1,
            other => panic!("{other:?}"),
        }
    }

    assert_eq!((delivered, held.len(), refused), (COLD_LIMIT, COLD_LIMIT, 10));
    let (until, first) = &held[0];
    // A copy of an opening that waits is not delivered before it.
    let copy = arrival(opening(first.segment.from_caller(), 1), Search::Open, 1);
    let step = agent.segment(NOW.after(200), &routing, &alone, &copy);
    assert_eq!(step, Step::Drop(Cause::Held));
    let step = agent.release(*until, &routing, &alone, first);
    assert!(matches!(step, Step::Deliver { is_new: true, .. }), "{step:?}");
}

/// Guards against an opening that waited for a backend server which drains meanwhile.
#[test]
fn a_held_opening_is_not_delivered_after_a_drain() {
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, Report { cold_ms: 5_000, ..report(1) });
    let alone = roster(NOW, 1, &["a"]);
    let mut held = None;
    for port in 1..=6 {
        let arrival = arrival(opening(flow(port), 0), Search::Open, 1);
        if let Step::Hold { until } = agent.segment(NOW, &routing(1), &alone, &arrival) {
            held = Some((until, arrival));
        }
    }
    let (until, arrival) = held.expect("the sixth waits");
    agent.report(NOW.after(100), Report { is_draining: true, ..report(2) });

    let step = agent.release(until, &routing(1), &alone, &arrival);

    assert!(matches!(step, Step::Refuse { cause: Cause::Held, .. }), "{step:?}");
}

/// Guards against a caller that is refused although another backend server has room.
#[test]
fn a_returned_opening_goes_to_another_agent() {
    let (mut agent, roster) = subject();
    let segment = opening(flow(1), 0);
    let step =
        agent.segment(NOW, &routing(1), &roster, &arrival(segment, Search::Open, 1));

    let back = returned(segment, mark(&step));
    let answer = agent.answer(NOW, &routing(1), &roster, &back);

    let Some(Answer::Returned(Step::Pass { to, way, cause })) = answer else {
        panic!("{answer:?}")
    };
    assert_ne!(to, agent_address(1));
    assert_eq!((way.tried, cause), (vec![agent_address(1)], Cause::Returned));
}

/// Guards against an opening that wanders without end while all backend servers are full.
#[test]
fn an_opening_is_refused_after_some_agents() {
    let (mut agent, roster) = subject();
    let segment = opening(flow(1), 0);
    let mut last = arrival(segment, Search::Open, 1);
    last.way.tried = (2..=5).map(agent_address).collect();
    let step = agent.segment(NOW, &routing(1), &roster, &last);

    let answer = agent.answer(NOW, &routing(1), &roster, &returned(segment, mark(&step)));

    let refused = matches!(
        answer,
        Some(Answer::Returned(Step::Refuse { sequence: 0, cause: Cause::Returned, .. }))
    );
    assert!(refused, "{answer:?}");
}

/// Guards against a returned segment that is taken for another one: a mark of an earlier
/// process, or of another flow.
#[test]
fn a_returned_segment_with_a_foreign_mark_is_dropped() {
    let (mut agent, roster) = subject();
    let segment = opening(flow(1), 0);
    let step =
        agent.segment(NOW, &routing(1), &roster, &arrival(segment, Search::Open, 1));
    let mark = mark(&step);

    let other = returned(opening(flow(2), 0), mark);
    assert_eq!(agent.answer(NOW, &routing(1), &roster, &other), None);
    let unknown = returned(segment, mark.wrapping_add(9));
    assert_eq!(agent.answer(NOW, &routing(1), &roster, &unknown), None);
}

/// Guards against a detour that repeats: the balancer learns where the flow is.
#[test]
fn the_balancer_is_told_of_a_flow_that_it_did_not_know() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);
    let mut deliver = |search| {
        let arrival = arrival(request(flow(1), FIRST + 1), search, 1);
        match agent.segment(NOW, &routing(1), &roster, &arrival) {
            Step::Deliver { tell, .. } => tell,
            other => panic!("not delivered: {other:?}"),
        }
    };

    assert_eq!(deliver(Search::Told), Some(fixture::balancer_address(1)));
    assert_eq!(deliver(Search::Known), None);
}

/// Guards against more than one detour for a flow whose home knows it.
#[test]
fn a_home_sends_straight_to_the_agent_of_the_flow() {
    let (mut agent, roster) = subject();
    let key = own(&roster);
    agent.taken(NOW, &roster, agent_address(4), &taken(&[key]));

    let arrival = arrival(request(key, FIRST), Search::Home(0), 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    let Step::Pass { to, way, .. } = step else { panic!("{step:?}") };
    assert_eq!((to, way.search), (agent_address(4), Search::Told));
}

/// Guards against flows that are lost with their home: the second one is asked, then all.
#[test]
fn a_home_without_an_entry_asks_the_second_home_then_all() {
    let (mut agent, roster) = subject();
    let key = own(&roster);
    let mut ask = |search| {
        let arrival = arrival(request(key, FIRST), search, 1);
        passed(agent.segment(NOW, &routing(1), &roster, &arrival))
    };

    assert_eq!(ask(Search::Home(0)), (Cause::Elsewhere, Search::Home(1)));
    assert_eq!(ask(Search::Home(1)), (Cause::Elsewhere, Search::Walk));
    // The home that sent it here was wrong; the other one decides, and walks at most.
    assert_eq!(ask(Search::Told), (Cause::Elsewhere, Search::Home(1)));
}

/// Guards against flows that end because their agent started again: until it knows all flows,
/// only the backend server can tell.
#[test]
fn a_restarted_agent_delivers_what_it_does_not_know() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    agent.report(NOW, report(17));
    let key = foreign(&roster);
    let segment = request(key, FIRST);

    let arrival = arrival(segment, Search::Known, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    // If the backend server does not hold it, the search goes on.
    let answer = agent.answer(NOW, &routing(1), &roster, &returned(segment, mark(&step)));
    let Some(Answer::Returned(step)) = answer else { panic!("{answer:?}") };
    assert_eq!(passed(step), (Cause::Elsewhere, Search::Home(0)));
}

/// Guards against walks through agents for a minute after a loss of power: a backend server that
/// started with its agent has no flows that the agent does not know, whatever the number of its
/// first report that arrives.
#[test]
fn an_agent_knows_all_flows_of_a_backend_server_that_just_started() {
    let known = |report: Report, started_ms: u64| {
        let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
        let now = NOW.after(started_ms);
        agent.report(now, report);
        agent.assess(now, &routing(1));
        agent.ledger(now, member(&roster(NOW, 6, &["a"]), 2)).is_complete
    };

    assert!(known(Report { cold_ms: 1_400, ..report(3) }, 100));
    // It was cold for 1.5 s before the agent started, which may have done so before.
    assert!(!known(Report { cold_ms: 400, ..report(3) }, 100));
    // It turned cold again.
    assert!(!known(Report { cold_ms: 1_400, ..report(90) }, 100));
    assert!(!known(report(3), 100));
    // No flow may be idle for so long.
    assert!(known(report(90), 15_100));
}

/// Guards against segments that end at an agent without a backend server: nobody returns them.
#[test]
fn an_agent_without_a_backend_server_holds_up_no_walk() {
    let (_, roster) = subject();
    let agent_of = || Agent::new(NOW, agent_address(1), "a".into(), limits());
    let mut walk = arrival(request(foreign(&roster), FIRST), Search::Walk, 1);
    (walk.way.ask, walk.way.known) = (vec![agent_address(2)], 6);

    let step = agent_of().segment(NOW.after(1_900), &routing(1), &roster, &walk);
    assert!(matches!(step, Step::Deliver { .. }), "{step:?}");

    let later = NOW.after(2_100);
    let step = agent_of().segment(later, &routing(1), &roster, &walk);
    assert_eq!(passed(step), (Cause::Elsewhere, Search::Walk));
    assert!(agent_of().is_alone(later) && agent_of().is_complete(later));
}

/// A member of a roster.
fn member(roster: &Roster, number: u8) -> &Member {
    roster.get(agent_address(number)).expect("a member")
}

/// Guards against segments delivered to a backend server that cannot hold their flow.
#[test]
fn an_agent_that_knows_all_flows_delivers_no_other() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);

    let arrival = arrival(request(key, FIRST), Search::Known, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(passed(step), (Cause::Elsewhere, Search::Home(0)));
}

/// Guards against a flow that is kept at the backend server that the caller did not choose:
/// copies of one opening segment were accepted twice.
#[test]
fn a_half_open_flow_of_another_choice_is_passed_on() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);
    open(NOW, &mut agent, &roster, key, FIRST);

    let elsewhere = arrival(request(key, FIRST.wrapping_add(1 << 31)), Search::Known, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &elsewhere);

    assert_eq!(passed(step), (Cause::Elsewhere, Search::Home(0)));
}

/// Guards against callers that wait for a backend server that started again, and against a
/// reset outside the caller's window.
#[test]
fn flows_end_with_the_lifetime_of_their_backend_server() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);
    let known = arrival(request(flow(1), FIRST + 77), Search::Known, 1);
    agent.segment(NOW, &routing(1), &roster, &known);

    let (change, ended) = agent.report(NOW, Report { born: Some(9_000), ..report(1) });

    assert_eq!(change, Change::Started { is_replacement: true });
    assert_eq!(ended, [Ended { flow: flow(1), sequence: FIRST + 77 }]);
    let step = agent.segment(NOW, &routing(1), &roster, &known);
    assert!(
        matches!(step, Step::Refuse { cause: Cause::Lost, sequence, .. } if sequence == FIRST + 77),
        "{step:?}"
    );
}

/// Guards against flows that end because this process was paused: the reports that came
/// meanwhile have not been read yet.
#[test]
fn a_pause_is_not_taken_for_a_silent_backend_server() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);

    assert_eq!(agent.tick(NOW.after(200)), []);
    assert_eq!(agent.tick(NOW.after(9_000)), []);
    agent.report(NOW.after(9_001), report(9));

    assert_eq!(agent.tick(NOW.after(9_200)), []);
}

/// Guards against callers that wait for a backend server that crashed without a word.
#[test]
fn flows_end_when_reports_stay_out() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);

    let ended: Vec<_> =
        (1..=40).flat_map(|tick| agent.tick(NOW.after(tick * 200))).collect();

    assert_eq!(ended.len(), 1, "each flow ends once");
}

/// Guards against flows cut off a backend server that drains and makes no more reports.
#[test]
fn flows_of_a_draining_backend_server_go_on() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);
    agent.report(NOW, Report { is_draining: true, ..report(2) });

    assert!((1..=100).all(|tick| agent.tick(NOW.after(tick * 200)).is_empty()));

    agent.leave(NOW.after(20_000), "i-1");
    assert_eq!(agent.tick(NOW.after(20_100)), []);
    assert_eq!(agent.tick(NOW.after(20_400)).len(), 1);
}

/// Guards against a reset of a flow that lives behind an agent which is only late.
#[test]
fn a_walk_that_could_not_ask_all_ends_nothing() {
    let (mut agent, mut roster) = subject();
    let key = own(&roster);
    settle(NOW, &mut roster, agent_address(1));
    let last = arrival(request(key, FIRST), Search::Home(1), 1);
    let step = agent.segment(NOW, &routing(1), &roster, &last);
    assert!(matches!(step, Step::Refuse { cause: Cause::Nowhere, .. }), "{step:?}");

    // Another agent was heard a while ago and may come back.
    let (far, late) = (agent_address(9), NOW.after(2_600));
    roster.hear(NOW, far, &agent_beat(1, "a", Stage::Ready, 0)).expect("a first beat");
    for number in 1..=6 {
        let beat = agent_beat(9, "a", Stage::Ready, 0);
        roster.hear(late, agent_address(number), &beat).expect("a later beat");
    }
    roster.tick(late);
    settle(late, &mut roster, far);
    let step = agent.segment(late, &routing(1), &roster, &last);
    assert_eq!(step, Step::Drop(Cause::Unknown));
}

/// Guards against a segment that is passed through all agents, or reset, because the home does
/// not know its flow: only an agent that may not have told the home is asked.
#[test]
fn a_home_asks_only_agents_that_may_not_have_told_it() {
    let key = own(&subject().1);
    let last = arrival(request(key, FIRST), Search::Home(1), 1);
    let asked = |change: &dyn Fn(&mut Ledger)| {
        let (mut agent, mut roster) = subject();
        settle(NOW, &mut roster, agent_address(1));
        let mut ledger = ledger(&roster, 0);
        change(&mut ledger);
        let mut beat = agent_beat(20, "a", Stage::Ready, 0);
        beat.ledger = Some(ledger);
        roster.hear(NOW, agent_address(3), &beat).expect("a later beat");
        match agent.segment(NOW, &routing(1), &roster, &last) {
            Step::Pass { to, way, .. } => Some((to, way.ask)),
            Step::Refuse { .. } => None,
            other => panic!("{other:?}"),
        }
    };

    assert_eq!(asked(&|_| {}), None);
    let third = Some((agent_address(3), Vec::new()));
    // A message was lost; it chose homes among others; it does not know all flows of its
    // backend server; it means an earlier process.
    assert_eq!(asked(&|ledger| ledger.sent.count = 1), third);
    let elsewhere = |ledger: &mut Ledger| (ledger.view, ledger.known) = (0, 7);
    assert_eq!(asked(&elsewhere), third);
    assert_eq!(asked(&|ledger| ledger.is_complete = false), third);
    assert_eq!(asked(&|ledger| ledger.receiver += 1), third);
}

/// Guards against callers that wait for a reset while members come and go: nodes never know
/// quite the same ones, but that does not matter for flows whose home is certain.
#[test]
fn other_members_elsewhere_do_not_matter_to_a_certain_home() {
    let (mut agent, mut roster) = subject();
    let key = own(&roster);
    settle(NOW, &mut roster, agent_address(1));
    // It leaves; the others do not know that yet.
    let gone = (2..=6)
        .map(agent_address)
        .find(|agent| !homes(&roster, &key).contains(&Some(*agent)));
    roster.leave(gone.expect("four agents are no homes"));

    let last = arrival(request(key, FIRST), Search::Home(1), 1);
    let step = agent.segment(NOW, &routing(1), &roster, &last);

    assert!(matches!(step, Step::Refuse { cause: Cause::Nowhere, .. }), "{step:?}");
}

/// Guards against a reset of an open flow by an agent that became its home a moment ago: the
/// agent of the flow has told the home before.
#[test]
fn a_new_home_asks_agents_that_have_not_seen_the_change() {
    let (mut agent, mut roster) = subject();
    let becomes_own = |key: &flow::Key| {
        let mut after = subject().1;
        after.leave(homes(&roster, key)[0].expect("a home"));
        !homes(&roster, key).contains(&Some(agent_address(1)))
            && homes(&after, key).contains(&Some(agent_address(1)))
    };
    let key = (1..).map(flow).find(becomes_own).expect("some flows move here");
    settle(NOW, &mut roster, agent_address(1));
    roster.leave(homes(&roster, &key)[0].expect("a home"));
    assert!(homes(&roster, &key).contains(&Some(agent_address(1))));

    let last = arrival(request(key, FIRST), Search::Home(1), 1);
    let step = agent.segment(NOW, &routing(1), &roster, &last);

    assert_eq!(passed(step), (Cause::Elsewhere, Search::Walk));
}

/// Guards against flows that stay unknown to their home because a message was lost: it is sent
/// again once the home has not confirmed it.
#[test]
fn a_lost_message_is_made_up_for() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);
    open(NOW, &mut agent, &roster, key, FIRST);
    let home = homes(&roster, &key)[0].expect("a home");
    let sent = agent.news(NOW, &roster);
    let epoch = |news: &[News]| {
        let news = news.iter().find(|news| news.to == home);
        news.map(|news| news.taken.epoch)
    };
    assert_eq!(epoch(&sent), Some(0));

    // The home says twice that it has received nothing, the second time long after.
    let mut beat = agent_beat(2, "a", Stage::Ready, 0);
    beat.ledger = Some(ledger(&roster, 0));
    for after in [600, 1_200] {
        assert_eq!(epoch(&agent.news(NOW.after(after), &roster)), None);
        agent.beat(NOW.after(after), &roster, home, &beat);
    }

    assert_eq!(epoch(&agent.news(NOW.after(1_200), &roster)), Some(1));
}

/// Guards against a burst of segments that look for a flow which has just opened: its homes
/// know it before its caller can send through another balancer.
#[test]
fn homes_are_told_as_soon_as_a_flow_is_accepted() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    agent.segment(NOW, &routing(1), &roster, &arrival);
    agent.answer(NOW, &routing(1), &roster, &accept(key, FIRST));

    let told: Vec<_> =
        agent.announce(NOW, &roster, &key).iter().map(|news| news.to).collect();

    let homes = homes(&roster, &key).map(|home| home.expect("a home"));
    assert_eq!(told, homes);
    assert_eq!(agent.announce(NOW, &roster, &key), []);
}

/// Guards against a reset of an open flow that two backend servers accepted: the one that the
/// caller did not choose claimed it last, and the home asked no other.
#[test]
fn a_home_remembers_both_agents_that_accepted_a_flow() {
    let (mut agent, mut roster) = subject();
    let key = own(&roster);
    settle(NOW, &mut roster, agent_address(1));
    let (chosen, other) = (agent_address(4), agent_address(5));
    for holder in [chosen, other] {
        agent.taken(NOW, &roster, holder, &taken(&[key]));
    }
    let mut ask = |tried: &[SocketAddrV4]| {
        let mut arrival = arrival(request(key, FIRST), Search::Home(1), 1);
        arrival.way.tried = tried.to_vec();
        match agent.segment(NOW, &routing(1), &roster, &arrival) {
            Step::Pass { to, way, .. } => (to, way.search),
            step => panic!("{step:?}"),
        }
    };

    assert_eq!(ask(&[]), (other, Search::Told));
    assert_eq!(ask(&[other]), (chosen, Search::Told));
}

/// Guards against claims to a flow by an agent whose backend server the caller did not choose.
#[test]
fn a_flow_that_was_only_accepted_is_not_told_again() {
    let (mut agent, mut roster) = subject();
    let key = foreign(&roster);
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    agent.segment(NOW, &routing(1), &roster, &arrival);
    agent.answer(NOW, &routing(1), &roster, &accept(key, FIRST));
    agent.announce(NOW, &roster, &key);

    roster.leave(homes(&roster, &key)[0].expect("a home"));

    assert_eq!(agent.news(NOW, &roster), []);
}

/// Guards against a reset by a backend server that the caller did not choose: it ends the flow
/// that goes on at another one.
#[test]
fn a_reset_of_a_flow_that_was_only_accepted_stays_here() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);
    let reset = Flags { reset: true, ..Flags::default() };
    let arrival = arrival(opening(key, 0), Search::Open, 1);
    agent.segment(NOW, &routing(1), &roster, &arrival);
    agent.answer(NOW, &routing(1), &roster, &accept(key, FIRST));

    let ended = from_backend(key, reset, FIRST + 1);
    let answer = agent.answer(NOW, &routing(1), &roster, &ended);

    assert_eq!(answer, Some(Answer::Drop(Cause::Elsewhere)));
}

/// Guards against segments that their home sends to a machine that is gone.
#[test]
fn a_flow_of_an_agent_out_of_reach_ends_at_its_home() {
    let (mut agent, mut roster) = subject();
    let key = own(&roster);
    agent.taken(NOW, &roster, agent_address(4), &taken(&[key]));
    let late = NOW.after(4_000);
    for number in [1, 2, 3, 5, 6] {
        let beat = agent_beat(2, "a", Stage::Ready, 0);
        roster.hear(late, agent_address(number), &beat).expect("a later beat");
    }
    roster.tick(late);

    let arrival = arrival(request(key, FIRST), Search::Home(0), 1);
    let step = agent.segment(late, &routing(1), &roster, &arrival);

    assert!(matches!(step, Step::Refuse { cause: Cause::Unreachable, .. }), "{step:?}");
}

/// Guards against homes that are not told of a flow, told twice, or not told again when the
/// members change.
#[test]
fn homes_are_told_once_and_again_when_they_change() {
    let (mut agent, mut roster) = subject();
    let key = foreign(&roster);
    open(NOW, &mut agent, &roster, key, FIRST);
    let [first, second] = homes(&roster, &key).map(|home| home.expect("a home"));

    let mut told: Vec<_> = agent.news(NOW, &roster).iter().map(|news| news.to).collect();
    told.sort();
    let mut expected = [first, second];
    expected.sort();
    assert_eq!(told, expected);
    assert_eq!(agent.news(NOW, &roster), []);

    roster.leave(first);
    let told: Vec<_> = agent.news(NOW, &roster).iter().map(|news| news.to).collect();
    let third = homes(&roster, &key)[1].expect("a home");
    assert_eq!(told, if third == agent_address(1) { vec![] } else { vec![third] });
}

/// Guards against load reports that do not follow what the backend server does.
#[test]
fn open_and_waiting_flows_are_counted() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);
    open(NOW, &mut agent, &roster, flow(2), FIRST);
    assert_eq!(agent.load(NOW), (2, 0));

    let known = arrival(request(flow(1), FIRST + 1), Search::Known, 1);
    agent.segment(NOW, &routing(1), &roster, &known);
    assert_eq!(agent.load(NOW), (2, 1));

    let flags = Flags { acknowledge: true, ..Flags::default() };
    let mut answer = from_backend(flow(1), flags, FIRST + 1);
    answer.length = 600;
    let sent = agent.answer(NOW.after(30), &routing(1), &roster, &answer);
    assert_eq!(
        sent,
        Some(Answer::Send { is_accept: false, opened_ms: None, after_ms: Some(30) })
    );
    assert_eq!(agent.load(NOW.after(30)), (2, 0));

    let close = Flags { close: true, ..flags };
    agent.answer(NOW, &routing(1), &roster, &from_backend(flow(2), close, FIRST + 1));
    assert_eq!(agent.load(NOW), (1, 0));
}

/// Guards against an agent that is chosen for a service before its backend server reports.
#[test]
fn an_agent_without_a_report_takes_no_flow() {
    let mut agent = Agent::new(NOW, agent_address(1), "a".into(), limits());
    let roster = roster(NOW, 6, &["a", "b"]);

    let arrival = arrival(opening(flow(1), 0), Search::Open, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(passed(step).0, Cause::Admission(Refusal::Unknown));
    assert_eq!(
        routing(1).service(CALENDAR).map(|service| service.connections),
        Some(2_000)
    );
}

/// Guards against flows that cannot be found after their home restarted: it has lost its
/// index, and the agents that hold flows saw no gap in its beats.
#[test]
fn a_home_that_restarted_is_told_again() {
    let (mut agent, mut roster) = subject();
    let key = foreign(&roster);
    open(NOW, &mut agent, &roster, key, FIRST);
    agent.news(NOW, &roster);
    let home = homes(&roster, &key)[0].expect("a home");

    let mut beat = agent_beat(1, "a", Stage::Ready, 0);
    beat.node = 8;
    roster.hear(NOW.after(300), home, &beat).expect("a new incarnation");

    let told: Vec<_> = agent.news(NOW, &roster).iter().map(|news| news.to).collect();
    assert_eq!(told, [home]);
}

/// Guards against a reset of a flow that lives at another backend server: this one was only
/// offered a copy of its opening segment before it ended.
#[test]
fn a_flow_that_was_only_offered_here_is_not_lost_here() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);
    let copy = arrival(opening(key, 1), Search::Open, 1);
    agent.segment(NOW, &routing(1), &roster, &copy);
    agent.report(NOW, Report { born: Some(9_000), ..report(1) });

    let arrival = arrival(request(key, FIRST), Search::Known, 1);
    let step = agent.segment(NOW, &routing(1), &roster, &arrival);

    assert_eq!(passed(step), (Cause::Elsewhere, Search::Home(0)));
}

/// Guards against a reset of an open flow after a walk that left out its agent: the node that
/// began it had just started and did not know that agent yet.
#[test]
fn a_walk_that_left_out_an_agent_ends_nothing() {
    let full = roster(NOW, 6, &["a", "b"]);
    for port in 1..60 {
        let key = flow(port);
        for holder in (1..=6).map(agent_address) {
            let fewer = roster_without(holder);
            let home = homes(&fewer, &key)[0].expect("a home");

            let (end, asked) = walk(key, home, |node| {
                assert_ne!(node, holder, "the walk leaves it out");
                if node == home { &fewer } else { &full }
            });

            assert_eq!(end, Step::Drop(Cause::Unknown));
            assert_eq!(asked.len(), 5);
        }
    }
}

/// Guards against a walk that goes in circles because nodes know different members: each of
/// two nodes sent the segment back to the other until the limit of hops.
#[test]
fn a_walk_ends_at_nodes_that_know_different_members() {
    let all = roster(NOW, 9, &["a", "b", "c"]);
    let mut fewer = roster(NOW, 9, &["a", "b", "c"]);
    fewer.leave(agent_address(3));
    fewer.leave(agent_address(7));
    fewer.leave(balancer_address(1));

    for port in 1..200 {
        let key = flow(port);
        let home = homes(&all, &key)[0].expect("a home");
        let is_odd = |node: SocketAddrV4| node.ip().octets()[3] % 2 == 1;

        let (_, asked) = walk(key, home, |node| if is_odd(node) { &fewer } else { &all });

        assert!(asked.len() >= 7, "{} agents are asked", asked.len());
    }
}

/// The members of [`subject`] without an agent that was never heard.
fn roster_without(unheard: SocketAddrV4) -> Roster {
    let mut roster = Roster::new();
    for agent in (1..=6).map(agent_address).filter(|agent| *agent != unheard) {
        let beat = agent_beat(1, "a", Stage::Ready, 0);
        roster.hear(NOW, agent, &beat).expect("a first beat");
    }
    roster
}

/// Sends a segment of a flow to its last home and on until it is passed to no other; returns
/// what became of it and the agents that it passed, each once.
///
/// # Panics
/// If an agent is asked twice by the walk.
fn walk<'a>(
    key: flow::Key,
    home: SocketAddrV4,
    roster: impl Fn(SocketAddrV4) -> &'a Roster,
) -> (Step, Vec<SocketAddrV4>) {
    let mut arrival = arrival(request(key, FIRST), Search::Home(1), 1);
    let (mut to, mut asked, mut walked) = (home, Vec::new(), Vec::new());
    loop {
        if arrival.way.search == Search::Walk {
            assert!(!walked.contains(&to), "{to} is asked twice");
            walked.push(to);
        }
        if !asked.contains(&to) {
            asked.push(to);
        }
        let number = to.ip().octets()[3];
        let step =
            agent(NOW, number, "a").segment(NOW, &routing(1), roster(to), &arrival);
        match step {
            Step::Pass { to: next, way, .. } => (to, arrival.way) = (next, way),
            step => return (step, asked),
        }
    }
}

/// Guards against resets of flows that a backend server still holds: its reports stayed out
/// for a while, as when its connection to the agent went silent.
#[test]
fn a_backend_server_that_reports_again_gets_its_segments() {
    let (mut agent, roster) = subject();
    let key = foreign(&roster);
    open(NOW, &mut agent, &roster, key, FIRST);
    let ended = (1..=40).flat_map(|tick| agent.tick(NOW.after(tick * 200))).count();
    assert_eq!(ended, 1);

    let later = NOW.after(8_100);
    agent.report(later, report(2));

    let known = arrival(request(key, FIRST + 1), Search::Known, 1);
    let step = agent.segment(later, &routing(1), &roster, &known);
    assert!(matches!(step, Step::Deliver { .. }), "{step:?}");
}

/// Guards against flows that end because some reports were late.
#[test]
fn flows_go_on_while_some_reports_are_missing() {
    let (mut agent, roster) = subject();
    open(NOW, &mut agent, &roster, flow(1), FIRST);

    // Three of the usual intervals of one second and a half, and a lost connection.
    let ended = (1..=20).flat_map(|tick| agent.tick(NOW.after(tick * 200))).count();

    assert_eq!(ended, 0);
}
