//! The fault matrix: each step of the life of a flow, a request, an agent or a failure domain,
//! under each fault and each pair of faults, against the invariants of the design page.
//!
//! A new step is one more entry of [`STEPS`] with an arm of [`take`]; a new fault is one more
//! entry of [`FAULTS`] with an arm of [`strike`].

mod fleet;

use fleet::agent::FLOWS;
use fleet::{DOMAINS, Place, World, domain_of};
use lentilreach::connection::open;
use lentilreach::process::clock::Millis;

/// When the step is taken; the fleet is warm by then.
const STEP: Millis = Millis(3_000);

/// When the check is made: configuration must be in force within 7 s.
const END: Millis = Millis(STEP.0 + 8_000);

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
    Doubled,
    Late,
    Reordered,
    LyingLoad,
    ColdTurn,
    Paused,
}

/// The columns, with every pair of them.
const FAULTS: [Fault; 10] = [
    Fault::BalancerDies,
    Fault::AgentDies,
    Fault::StaleView,
    Fault::Lost,
    Fault::Doubled,
    Fault::Late,
    Fault::Reordered,
    Fault::LyingLoad,
    Fault::ColdTurn,
    Fault::Paused,
];

/// Threads that run cells.
const WORKERS: usize = 3;

/// Guards against a broken invariant when nothing, one thing or two things go wrong at a step.
#[test]
fn invariants_hold_in_every_cell() {
    let columns = columns();
    let rows = |steps: &[Step]| -> Vec<String> {
        let cells =
            steps.iter().flat_map(|step| columns.iter().map(|faults| (*step, faults)));
        cells.filter_map(|(step, faults)| cell(step, faults)).collect()
    };
    let broken: Vec<String> = std::thread::scope(|scope| {
        let workers = STEPS.chunks(STEPS.len().div_ceil(WORKERS));
        let workers = workers.map(|steps| scope.spawn(|| rows(steps)));
        let workers: Vec<_> = workers.collect();
        workers
            .into_iter()
            .flat_map(|rows| rows.join().expect("a cell panicked"))
            .collect()
    });

    assert!(broken.is_empty(), "{} cells:\n{}", broken.len(), broken.join("\n"));
}

/// Guards against a verdict that changes from run to run.
#[test]
fn a_cell_is_repeatable() {
    let run =
        || format!("{:?}", play(Step::Answer, &[Fault::Lost, Fault::ColdTurn], 1).tally);

    assert_eq!(run(), run());
}

/// No fault, each fault, each pair.
fn columns() -> Vec<Vec<Fault>> {
    let mut columns = vec![Vec::new()];
    for (at, first) in FAULTS.into_iter().enumerate() {
        columns.push(vec![first]);
        columns.extend(FAULTS[at + 1..].iter().map(|second| vec![first, *second]));
    }
    columns
}

/// Runs a cell; returns its description if an invariant is broken.
fn cell(step: Step, faults: &[Fault]) -> Option<String> {
    let seeds = if faults.len() < 2 { 3 } else { 1 };
    let broken: Vec<_> = (1..=seeds)
        .filter_map(|seed| {
            let verdict = play(step, faults, seed).tally.verdict();
            (!verdict.is_empty()).then(|| format!("seed {seed}: {}", verdict.join(", ")))
        })
        .collect();
    (!broken.is_empty()).then(|| format!("{step:?} x {faults:?}: {}", broken.join("; ")))
}

/// Runs a fleet through a step and faults to the end.
fn play(step: Step, faults: &[Fault], seed: u64) -> World {
    let mut world = World::new(seed);
    let subject = world.rng.usize(..world.agents.len());
    let domain = usize::from(domain_of(subject).0);
    if step == Step::DomainBack {
        world.run(Millis(STEP.0 - 2_000));
        world.set_out(domain, true);
    }
    let before = world.rng.u64(1..100);
    world.run(Millis(STEP.0 - before));
    faults.iter().for_each(|fault| strike(&mut world, *fault));
    world.run(STEP);
    take(&mut world, step, subject);
    world.run(STEP.after(FAULT_MS));
    world.trouble = Default::default();
    if step == Step::HandOn {
        world.agents.iter_mut().for_each(|agent| agent.table.set_limits(FLOWS));
    }
    if step == Step::Leave {
        world.run(STEP.after(3_980));
        // An agent that still took work would be busy when it stops.
        (0..world.callers.len())
            .for_each(|caller| (0..4).for_each(|_| world.want(caller, true)));
        world.run(STEP.after(4_000));
        world.stop(subject);
    }
    world.run(END);
    close(&mut world);
    world
}

/// Takes a step.
fn take(world: &mut World, step: Step, subject: usize) {
    let callers = 0..world.callers.len();
    match step {
        Step::Open => world.callers.iter_mut().for_each(|caller| caller.reopen()),
        Step::Route => callers.for_each(|caller| world.want(caller, true)),
        Step::HandOn => {
            let full = open::Limits { flows: 1, cold_flows: 1, ..FLOWS };
            let tables = world.agents.iter_mut().step_by(2).map(|agent| &mut agent.table);
            tables.for_each(|table| table.set_limits(full));
            world.callers.iter_mut().for_each(|caller| caller.reopen());
        }
        Step::Admit => {
            // Bursts with gaps, so that backend servers are full and idle in turn.
            for _ in 0..8 {
                let callers = callers.clone();
                callers.for_each(|caller| (0..5).for_each(|_| world.want(caller, true)));
                world.run(world.now.after(100));
            }
        }
        Step::Run => {
            for caller in callers {
                (0..4).for_each(|_| world.want(caller, false));
            }
        }
        Step::Answer => {
            for caller in callers {
                (0..4).for_each(|index| world.want(caller, index % 2 == 0));
            }
            // Answers are on their way when the callers move to another flow.
            world.run(world.now.after(18));
            world.callers.iter_mut().for_each(|caller| caller.reopen());
        }
        Step::Drain | Step::Leave => {
            let now = world.now;
            world.agents[subject].drain(now);
        }
        Step::Join => world.join(world.agents[subject].service),
        Step::DomainOut => world.set_out(usize::from(domain_of(subject).0), true),
        Step::DomainBack => world.set_out(usize::from(domain_of(subject).0), false),
    }
}

/// Lets a fault begin.
fn strike(world: &mut World, fault: Fault) {
    let agent = world.rng.usize(..world.agents.len());
    let balancer = world.rng.usize(..world.balancers.len());
    match fault {
        Fault::BalancerDies => world.balancers[balancer].dead = true,
        Fault::AgentDies => {
            world.agents[agent].alive = false;
            world.agents[agent].excused = true;
        }
        Fault::StaleView => world.trouble.stale = Some(balancer),
        Fault::Lost => world.trouble.lost = true,
        Fault::Doubled => world.trouble.doubled = true,
        Fault::Late => world.trouble.late = true,
        Fault::Reordered => world.trouble.reordered = true,
        Fault::LyingLoad => world.trouble.liar = Some(agent),
        Fault::ColdTurn if world.rng.bool() => world.turn_cold(agent),
        Fault::ColdTurn => world.restart(agent),
        Fault::Paused if world.rng.bool() => world.pause(Place::Agent(agent), FAULT_MS),
        Fault::Paused => world.pause(Place::Balancer(balancer), FAULT_MS),
    }
}

/// Counts what can be judged at the end only.
fn close(world: &mut World) {
    let revision = world.config.revision;
    let balancers = world.balancers.iter().filter(|balancer| !balancer.dead);
    let agents = world.agents.iter().filter(|agent| agent.alive);
    let behind = balancers.map(|b| b.config).chain(agents.map(|a| a.config));
    world.tally.behind =
        behind.filter(|config| config.revision != revision).count() as u32;
    let since = Millis(END.0 - 1_500);
    let unserved = world.callers.iter().filter(|caller| caller.answered < since);
    world.tally.unserved = unserved.count() as u32;
    debug_assert!(world.config.out.iter().filter(|out| **out).count() < DOMAINS);
}
