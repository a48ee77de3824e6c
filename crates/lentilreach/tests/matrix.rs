//! The fault matrix: each step of the life of a flow, a request, an agent or a failure domain,
//! under each fault and each pair of faults, against the invariants of the design page.
//!
//! A new step is one more entry of [`STEPS`] with an arm of [`perform`]; a new fault is one more
//! entry of [`FAULTS`] with an arm of [`inject`].

mod fleet;

use fleet::agent::FLOWS;
use fleet::{DOMAINS, Participant, Simulation, domain_of};
use lentilreach::connection::open;
use lentilreach::process::clock::Millis;

/// When the step is taken; the fleet is warm by then.
const STEP_AT: Millis = Millis(3_000);

/// When the check is made: configuration must be in force within 7 s.
const CHECK_AT: Millis = Millis(STEP_AT.0 + 8_000);

/// Duration of faults that last, in milliseconds.
const FAULT_MS: u64 = 1_500;

/// What happens in the fleet.
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

/// The rows.
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

/// What goes wrong meanwhile.
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

/// The columns, with every pair of them.
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

/// Threads that run cells.
const THREADS: usize = 3;

/// Guards against a broken invariant when nothing, one thing or two things go wrong at a step.
#[test]
fn invariants_hold_for_every_step_and_fault_pair() {
    let fault_sets = fault_sets();
    let check_rows = |steps: &[Step]| -> Vec<String> {
        let cells =
            steps.iter().flat_map(|step| fault_sets.iter().map(|faults| (*step, faults)));
        cells.filter_map(|(step, faults)| check_cell(step, faults)).collect()
    };
    let broken: Vec<String> = std::thread::scope(|scope| {
        let workers = STEPS.chunks(STEPS.len().div_ceil(THREADS));
        let workers = workers.map(|steps| scope.spawn(|| check_rows(steps)));
        let workers: Vec<_> = workers.collect();
        workers
            .into_iter()
            .flat_map(|check_rows| check_rows.join().expect("a cell panicked"))
            .collect()
    });

    assert!(broken.is_empty(), "{} cells:\n{}", broken.len(), broken.join("\n"));
}

/// Guards against a verdict that changes from run to run.
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

/// No fault, each fault, each pair.
fn fault_sets() -> Vec<Vec<Fault>> {
    let mut fault_sets = vec![Vec::new()];
    for (at, first) in FAULTS.into_iter().enumerate() {
        fault_sets.push(vec![first]);
        fault_sets.extend(FAULTS[at + 1..].iter().map(|second| vec![first, *second]));
    }
    fault_sets
}

/// Runs a cell; returns its description if an invariant is broken.
fn check_cell(step: Step, faults: &[Fault]) -> Option<String> {
    let seeds = if faults.len() < 2 { 3 } else { 1 };
    let broken: Vec<_> = (1..=seeds)
        .filter_map(|seed| {
            let violations = run_scenario(step, faults, seed).counts.violations();
            (!violations.is_empty())
                .then(|| format!("seed {seed}: {}", violations.join(", ")))
        })
        .collect();
    (!broken.is_empty()).then(|| format!("{step:?} x {faults:?}: {}", broken.join("; ")))
}

/// Runs a fleet through a step and faults to the end.
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
        // An agent that still took work would be busy when it stops.
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

/// Takes a step.
fn perform(simulation: &mut Simulation, step: Step, agent: usize) {
    let callers = 0..simulation.callers.len();
    match step {
        Step::Open => simulation.callers.iter_mut().for_each(|caller| caller.reopen()),
        Step::Route => callers.for_each(|caller| simulation.add_operation(caller, true)),
        Step::HandOn => {
            let full = open::Limits { flows: 1, cold_flows: 1, ..FLOWS };
            let tables =
                simulation.agents.iter_mut().step_by(2).map(|agent| &mut agent.table);
            tables.for_each(|table| table.set_limits(full));
            simulation.callers.iter_mut().for_each(|caller| caller.reopen());
        }
        Step::Admit => {
            // Bursts with gaps, so that backend servers are full and idle in turn.
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
            // Answers are on their way when the callers move to another flow.
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

/// Lets a fault begin.
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

/// Counts what can be judged at the end only.
fn count_final_state(simulation: &mut Simulation) {
    let revision = simulation.config.revision;
    let balancers = simulation.balancers.iter().filter(|balancer| !balancer.dead);
    let agents = simulation.agents.iter().filter(|agent| agent.alive);
    let behind = balancers.map(|b| b.config).chain(agents.map(|a| a.config));
    simulation.counts.behind =
        behind.filter(|config| config.revision != revision).count() as u32;
    let since = Millis(CHECK_AT.0 - 1_500);
    let unserved = simulation.callers.iter().filter(|caller| caller.answered < since);
    simulation.counts.unserved = unserved.count() as u32;
    debug_assert!(simulation.config.out.iter().filter(|out| **out).count() < DOMAINS);
}
