//! Fault matrix: simulates each step in the life of a flow, request, agent or failure domain
//! under each fault and each pair of faults, and checks the invariants of the design page.
//!
//! To add a step, add an entry to [`STEPS`] and an arm to [`perform`]; to add a fault, add an
//! entry to [`FAULTS`] and an arm to [`inject`].

mod fleet;

use fleet::agent::FLOWS;
use fleet::{DOMAINS, Participant, Simulation, domain_of};
use lentilreach::connection::admission;
use lentilreach::process::clock::Millis;

/// When the step is performed; the fleet is warm by then.
const STEP_AT: Millis = Millis(3_000);

/// When the final checks are made. The configuration must be applied within 7 s.
const CHECK_AT: Millis = Millis(STEP_AT.0 + 8_000);

/// Duration of temporary faults, in milliseconds.
const FAULT_MS: u64 = 1_500;

/// A step of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Open,
    Route,
    HandOn,
    Admit,
    Run,
    Answer,
    Drain,
    Leave,
    Join,
    DomainOut,
    DomainBack,
}

/// All steps, the rows of the matrix.
const STEPS: [Step; 11] = [
    Step::Open,
    Step::Route,
    Step::HandOn,
    Step::Admit,
    Step::Run,
    Step::Answer,
    Step::Drain,
    Step::Leave,
    Step::Join,
    Step::DomainOut,
    Step::DomainBack,
];

/// A fault injected before the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    BalancerDies,
    AgentDies,
    StaleView,
    Lost,
    Duplicated,
    Delayed,
    Reordered,
    MisreportedLoad,
    GoesCold,
    Paused,
}

/// All faults. The columns of the matrix are no fault, each of them, and each pair.
const FAULTS: [Fault; 10] = [
    Fault::BalancerDies,
    Fault::AgentDies,
    Fault::StaleView,
    Fault::Lost,
    Fault::Duplicated,
    Fault::Delayed,
    Fault::Reordered,
    Fault::MisreportedLoad,
    Fault::GoesCold,
    Fault::Paused,
];

/// Number of threads that run scenarios.
const THREADS: usize = 3;

/// Guards against a violated invariant with no fault, one fault or two faults at any step.
#[test]
fn invariants_hold_for_every_step_and_fault_pair() {
    let fault_sets = fault_sets();
    let check_steps = |steps: &[Step]| -> Vec<String> {
        let cells =
            steps.iter().flat_map(|step| fault_sets.iter().map(|faults| (*step, faults)));
        cells.filter_map(|(step, faults)| check_cell(step, faults)).collect()
    };
    let violations: Vec<String> = std::thread::scope(|scope| {
        let workers = STEPS.chunks(STEPS.len().div_ceil(THREADS));
        let workers = workers.map(|steps| scope.spawn(|| check_steps(steps)));
        let workers: Vec<_> = workers.collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a cell panicked"))
            .collect()
    });

    assert!(
        violations.is_empty(),
        "{} cells:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Guards against results that differ between runs with the same seed.
#[test]
fn scenario_is_deterministic() {
    let run = || {
        format!(
            "{:?}",
            run_scenario(Step::Answer, &[Fault::Lost, Fault::GoesCold], 1).counts
        )
    };

    assert_eq!(run(), run());
}

/// Returns no fault, each fault and each pair of faults.
fn fault_sets() -> Vec<Vec<Fault>> {
    let mut fault_sets = vec![Vec::new()];
    for (at, first) in FAULTS.into_iter().enumerate() {
        fault_sets.push(vec![first]);
        fault_sets.extend(FAULTS[at + 1..].iter().map(|second| vec![first, *second]));
    }
    fault_sets
}

/// Runs the scenarios of one cell; returns a description of the violated invariants, if any.
fn check_cell(step: Step, faults: &[Fault]) -> Option<String> {
    let seeds = if faults.len() < 2 { 3 } else { 1 };
    let violations: Vec<_> = (1..=seeds)
        .filter_map(|seed| {
            let violations = run_scenario(step, faults, seed).counts.violations();
            (!violations.is_empty())
                .then(|| format!("seed {seed}: {}", violations.join(", ")))
        })
        .collect();
    (!violations.is_empty())
        .then(|| format!("{step:?} x {faults:?}: {}", violations.join("; ")))
}

/// Simulates a fleet through a step with faults until the final checks.
fn run_scenario(step: Step, faults: &[Fault], seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    let agent = simulation.rng.usize(..simulation.agents.len());
    let domain = usize::from(domain_of(agent).0);
    if step == Step::DomainBack {
        simulation.run(Millis(STEP_AT.0 - 2_000));
        simulation.set_out(domain, true);
    }
    let before = simulation.rng.u64(1..100);
    simulation.run(Millis(STEP_AT.0 - before));
    faults.iter().for_each(|fault| inject(&mut simulation, *fault));
    simulation.run(STEP_AT);
    perform(&mut simulation, step, agent);
    simulation.run(STEP_AT.after(FAULT_MS));
    simulation.disturbance = Default::default();
    if step == Step::HandOn {
        simulation.agents.iter_mut().for_each(|agent| agent.table.set_limits(FLOWS));
    }
    if step == Step::Leave {
        simulation.run(STEP_AT.after(3_980));
        // If the agent still accepted requests, it would be busy when it stops.
        (0..simulation.callers.len()).for_each(|caller| {
            (0..4).for_each(|_| simulation.add_operation(caller, true))
        });
        simulation.run(STEP_AT.after(4_000));
        simulation.stop(agent);
    }
    simulation.run(CHECK_AT);
    count_final_state(&mut simulation);
    simulation
}

/// Performs a step.
fn perform(simulation: &mut Simulation, step: Step, agent: usize) {
    let callers = 0..simulation.callers.len();
    match step {
        Step::Open => simulation.callers.iter_mut().for_each(|caller| caller.reopen()),
        Step::Route => callers.for_each(|caller| simulation.add_operation(caller, true)),
        Step::HandOn => {
            let full = admission::Limits { flows: 1, cold_flows: 1, ..FLOWS };
            let tables =
                simulation.agents.iter_mut().step_by(2).map(|agent| &mut agent.table);
            tables.for_each(|table| table.set_limits(full));
            simulation.callers.iter_mut().for_each(|caller| caller.reopen());
        }
        Step::Admit => {
            // Bursts with gaps make the backend servers alternately full and idle.
            for _ in 0..8 {
                let callers = callers.clone();
                callers.for_each(|caller| {
                    (0..5).for_each(|_| simulation.add_operation(caller, true))
                });
                simulation.run(simulation.now.after(100));
            }
        }
        Step::Run => {
            for caller in callers {
                (0..4).for_each(|_| simulation.add_operation(caller, false));
            }
        }
        Step::Answer => {
            for caller in callers {
                (0..4).for_each(|index| simulation.add_operation(caller, index % 2 == 0));
            }
            // Responses are in transit when the callers open another flow.
            simulation.run(simulation.now.after(18));
            simulation.callers.iter_mut().for_each(|caller| caller.reopen());
        }
        Step::Drain | Step::Leave => {
            let now = simulation.now;
            simulation.agents[agent].drain(now);
        }
        Step::Join => simulation.join(simulation.agents[agent].service),
        Step::DomainOut => simulation.set_out(usize::from(domain_of(agent).0), true),
        Step::DomainBack => simulation.set_out(usize::from(domain_of(agent).0), false),
    }
}

/// Injects a fault.
fn inject(simulation: &mut Simulation, fault: Fault) {
    let agent = simulation.rng.usize(..simulation.agents.len());
    let balancer = simulation.rng.usize(..simulation.balancers.len());
    match fault {
        Fault::BalancerDies => simulation.balancers[balancer].dead = true,
        Fault::AgentDies => {
            simulation.agents[agent].alive = false;
            simulation.agents[agent].may_lose_flows = true;
        }
        Fault::StaleView => simulation.disturbance.stale_balancer = Some(balancer),
        Fault::Lost => simulation.disturbance.lost = true,
        Fault::Duplicated => simulation.disturbance.duplicated = true,
        Fault::Delayed => simulation.disturbance.delayed = true,
        Fault::Reordered => simulation.disturbance.reordered = true,
        Fault::MisreportedLoad => simulation.disturbance.misreporting_agent = Some(agent),
        Fault::GoesCold if simulation.rng.bool() => simulation.make_cold_when_idle(agent),
        Fault::GoesCold => simulation.restart(agent),
        Fault::Paused if simulation.rng.bool() => {
            simulation.pause(Participant::Agent(agent), FAULT_MS)
        }
        Fault::Paused => simulation.pause(Participant::Balancer(balancer), FAULT_MS),
    }
}

/// Counts violations that can only be determined at the end.
fn count_final_state(simulation: &mut Simulation) {
    let revision = simulation.config.revision;
    let balancers = simulation.balancers.iter().filter(|balancer| !balancer.dead);
    let agents = simulation.agents.iter().filter(|agent| agent.alive);
    let outdated = balancers.map(|b| b.config).chain(agents.map(|a| a.config));
    simulation.counts.outdated =
        outdated.filter(|config| config.revision != revision).count() as u32;
    let since = Millis(CHECK_AT.0 - 1_500);
    let unserved = simulation.callers.iter().filter(|caller| caller.answered < since);
    simulation.counts.unserved = unserved.count() as u32;
    debug_assert!(simulation.config.out.iter().filter(|out| **out).count() < DOMAINS);
}
