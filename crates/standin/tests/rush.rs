//! Plays rushes of openings against the decisions of balancers and agents, and checks what
//! callers get.

use lentilreach_standin::rush::{Load, Outcome, Policy, Second, run};

/// Seeds of the played loads.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Time after which an opening must not be delivered any more, in milliseconds: callers
/// give up after 1,400 ms, and the answer takes some time to arrive.
const MAX_WAIT_MS: u64 = 1_300;

/// Plays a load with each seed.
fn play(load: &Load) -> Vec<Outcome> {
    SEEDS.iter().map(|seed| run(&Load { seed: *seed, ..load.clone() })).collect()
}

/// The requests made in a second after the outage.
fn second(outcome: &Outcome, number: i64) -> Second {
    let found = outcome.seconds.iter().find(|second| second.second == number);
    *found.expect("requests are made in every second")
}

/// Checks that no request runs twice or although it was refused, that no opening waits
/// longer than its caller, and that no backend server gets more than it takes.
fn check_promises(outcome: &Outcome) {
    assert_eq!(outcome.run_twice, 0, "requests ran twice");
    assert_eq!(outcome.refused_but_run, 0, "refused requests ran");
    assert!(outcome.longest_wait_ms <= MAX_WAIT_MS, "{} ms", outcome.longest_wait_ms);
    assert_eq!(outcome.rejected, 0, "requests rejected by full backend servers");
}

/// After an outage, fresh requests must not wait behind those that are late already.
#[test]
fn fresh_requests_are_in_time_after_an_outage() {
    for outcome in play(&Load::default()) {
        check_promises(&outcome);
        for number in 0..6 {
            let second = second(&outcome, number);
            assert!(second.share_in_time() >= 0.93, "{second:?}");
        }
    }
}

/// While there is not enough for all, requests of a higher priority go first.
#[test]
fn a_higher_priority_is_served_first() {
    let load = Load { servers: 6, ..Load::default() };
    for outcome in play(&load) {
        check_promises(&outcome);
        let first = second(&outcome, 0);
        assert!(first.share_in_time_of(1) >= 0.98, "{first:?}");
        assert!(first.share_in_time_of(0) < first.share_in_time_of(1), "{first:?}");
    }
}

/// A crowd of three times the usual, which takes nearly all slots, must be served in time.
#[test]
fn a_crowd_is_served_in_time() {
    let load = Load { outage_ms: 0, crowd: 3.0, ..Load::default() };
    for outcome in play(&load) {
        check_promises(&outcome);
        for number in 0..6 {
            let second = second(&outcome, number);
            assert!(second.share_in_time() >= 0.93, "{second:?}");
        }
    }
}

/// If half of the agents don't return, the other half must serve as much as it can: a cold
/// half has room for the fresh requests and for little else.
#[test]
fn half_of_the_agents_serve_the_rush() {
    let load = Load { silent: 5, ..Load::default() };
    for outcome in play(&load) {
        check_promises(&outcome);
        let warm = second(&outcome, 3);
        assert!(warm.share_in_time() >= 0.93, "{warm:?}");
    }
}

/// The literal limit for cold backend servers must still be selectable: it gives them five
/// openings a second.
#[test]
fn a_literal_limit_for_cold_backend_servers_is_kept() {
    let load = Load { policy: Policy::ColdLimit, ..Load::default() };
    for outcome in play(&load) {
        check_promises(&outcome);
        let first = second(&outcome, 0);
        let answered = first.in_time.iter().chain(&first.late).sum::<u32>();
        assert!(answered > 0, "{first:?}");
        assert!(first.share_in_time() < 0.25, "{first:?}");
    }
}

/// Delivery in order of arrival is what the policy is compared with. The comparison fails
/// if the load doesn't tell them apart.
#[test]
fn order_of_arrival_is_worse() {
    let by_objective = play(&Load::default());
    let by_arrival = play(&Load { policy: Policy::Arrival, ..Load::default() });
    for (objective, arrival) in by_objective.iter().zip(&by_arrival) {
        let (objective, arrival) = (second(objective, 0), second(arrival, 0));
        assert!(objective.share_in_time() > arrival.share_in_time() + 0.2);
    }
}

/// Backend servers that leave requests unanswered must be avoided but for tries, and
/// openings must not wait for them.
#[test]
fn mute_backend_servers_are_avoided() {
    let load = Load { mute: 3, outage_ms: 0, ..Load::default() };
    for outcome in play(&load) {
        check_promises(&outcome);
        let shares = (0..6).map(|number| second(&outcome, number).share_in_time());
        let mean = shares.sum::<f64>() / 6.0;
        assert!(mean >= 0.93, "{mean} {:?}", outcome.requests);
    }
}

/// A backend server that rejects every request is empty at all times. It must not attract
/// more than its share.
#[test]
fn a_failing_backend_server_attracts_no_more_than_its_share() {
    let load = Load { failing: 1, outage_ms: 0, ..Load::default() };
    for outcome in play(&load) {
        check_promises(&outcome);
        // Flows are placed in the failure domain of the caller, which has every third one.
        let domain: Vec<_> = outcome.requests.iter().step_by(3).copied().collect();
        let mean = domain.iter().sum::<u32>() / domain.len() as u32;
        assert!(outcome.requests[0] <= mean * 5 / 4, "{domain:?}");
    }
}

/// Shares of the requests of all seconds after the beginning of the crowd that were
/// answered in time, by class.
fn shares_in_time(outcome: &Outcome) -> [f64; 2] {
    [0, 1].map(|class| {
        let crowded = outcome.seconds.iter().filter(|second| second.second >= 0);
        let (in_time, all) = crowded.fold((0, 0), |(in_time, all), second| {
            let others = second.late[class] + second.failed[class];
            (in_time + second.in_time[class], all + second.in_time[class] + others)
        });
        f64::from(in_time) / f64::from(all.max(1))
    })
}

/// The mean of shares over outcomes.
fn mean_shares(outcomes: &[Outcome]) -> [f64; 2] {
    [0, 1].map(|class| {
        let sum: f64 = outcomes.iter().map(|o| shares_in_time(o)[class]).sum();
        sum / outcomes.len() as f64
    })
}

/// A crowd of 1.3 times the capacity of forty backend servers. Callers of the less urgent
/// requests hold flows, so that they need not wait for an opening.
fn crowd_on_open_flows() -> Load {
    Load {
        servers: 40,
        balancers: 16,
        domains: 4,
        slots: 3,
        per_s: 1_815.0,
        crowd: 2.0,
        outage_ms: 0,
        cold_ms: 0,
        open_flows: 2_000,
        ..Load::default()
    }
}

/// Requests on open flows must not win over more urgent ones that have to open a flow.
#[test]
fn urgent_openings_are_in_time_in_a_crowd_on_open_flows() {
    let scheduled = play(&crowd_on_open_flows());
    let alike = play(&Load { has_priorities: false, ..crowd_on_open_flows() });

    scheduled.iter().for_each(check_promises);
    let [others, urgent] = mean_shares(&scheduled);
    assert!(urgent >= 0.97, "{urgent}");
    // What is left over serves the others: 0.70 of them if every slot is used.
    assert!(others >= 0.4, "{others}");
    // Without the schedule the urgent ones wait; otherwise this load shows nothing.
    let [_, urgent] = mean_shares(&alike);
    assert!(urgent < 0.9, "{urgent}");
}

/// Backend servers of uneven speed and requests of uneven cost, at three quarters of the
/// capacity.
fn uneven() -> Load {
    Load {
        servers: 36,
        balancers: 16,
        domains: 4,
        slots: 2,
        work_ms: 14.0,
        per_s: 1_300.0,
        crowd: 2.0,
        outage_ms: 0,
        cold_ms: 0,
        slow: 9,
        slow_factor: 3.0,
        tail_percent: 3,
        ..Load::default()
    }
}

/// Slow backend servers must get less, so that fewer requests are late, and what the oracle
/// gains over the number of open flows must be gained by half at least.
#[test]
fn expected_work_serves_more_in_time_than_open_flows() {
    for load in [uneven(), Load { slow: 0, crowd: 3.0, ..uneven() }] {
        let share = |policy| {
            let outcomes = play(&Load { policy, ..load.clone() });
            outcomes.iter().for_each(check_promises);
            mean_shares(&outcomes)[0]
        };

        let open_flows = share(Policy::Objective);
        let expected_work = share(Policy::ExpectedWork);
        let oracle = share(Policy::Oracle);

        assert!(oracle > open_flows, "{oracle} {open_flows}");
        let gained = (expected_work - open_flows) / (oracle - open_flows);
        assert!(gained >= 0.5, "{open_flows} {expected_work} {oracle}");
    }
}

/// Under a crowd, urgent requests must not wait as long as the others, and the means must be
/// of requests that were answered.
#[test]
fn urgent_requests_wait_less() {
    let outcome = run(&Load { servers: 6, ..Load::default() });

    let first = second(&outcome, 0);
    let [less_urgent, urgent] = [0, 1].map(|class| first.mean_ms_of(class));

    assert!(urgent > 0.0 && urgent * 2.0 < less_urgent, "{urgent} {less_urgent}");
    assert_eq!(Second::default().mean_ms_of(0), 0.0);
}

/// Where backend servers are alike, the automatic choice must decide as the number of open
/// flows does; where they differ in speed, it must gain what expected work gains.
#[test]
fn auto_follows_the_speeds_of_backend_servers() {
    let share = |policy| mean_shares(&[run(&Load { policy, ..uneven() })])[0];
    let run_alike = |policy| {
        let outcome = run(&Load { policy, slow: 0, ..uneven() });
        (outcome.requests, outcome.seconds)
    };

    let open_flows = share(Policy::Objective);
    let auto = share(Policy::Auto);
    let oracle = share(Policy::Oracle);
    let alike = [Policy::Objective, Policy::Auto].map(run_alike);

    let gained = (auto - open_flows) / (oracle - open_flows);
    assert!(gained >= 0.5, "{open_flows} {auto} {oracle}");
    assert_eq!(alike[0], alike[1]);
}

/// While there is little to do, the choice among idle backend servers must not follow small
/// errors of their speeds: one of them got nine times as many requests as another of the same
/// speed. Those that are twice as fast get about twice as many.
#[test]
fn idle_backend_servers_of_the_same_speed_get_alike() {
    let load = Load { per_s: 325.0, crowd: 1.0, slow_factor: 2.0, ..uneven() };
    let outcomes = play(&Load { policy: Policy::ExpectedWork, ..load.clone() });
    let mut requests = vec![0; usize::from(load.servers)];
    for outcome in &outcomes {
        for (sum, count) in requests.iter_mut().zip(&outcome.requests) {
            *sum += count;
        }
    }

    let (fast, slow) = requests.split_at(usize::from(load.servers - load.slow));
    let bounds =
        |counts: &[u32]| (counts.iter().min().copied(), counts.iter().max().copied());
    let mean =
        |counts: &[u32]| f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;

    let (Some(least), Some(most)) = bounds(fast) else { panic!("some are fast") };
    assert!(most <= 2 * least, "{requests:?}");
    let ratio = mean(fast) / mean(slow);
    assert!((1.5..=2.5).contains(&ratio), "{ratio} {requests:?}");
}

/// After an outage all backend servers are cold and nothing is known of their speed. That
/// must not cost callers what the number of open flows would give them.
#[test]
fn expected_work_serves_a_rush_after_an_outage() {
    for outcome in play(&Load { policy: Policy::ExpectedWork, ..Load::default() }) {
        check_promises(&outcome);
        for number in 0..6 {
            let second = second(&outcome, number);
            assert!(second.share_in_time() >= 0.93, "{second:?}");
        }
    }
}
