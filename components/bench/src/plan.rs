//! Which runs make up the comparison, and the runs themselves, several at once.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Policy, Scenario, arrival::Plan, policy, scenario::Span, tally::Tally, workload::Workload,
    world,
};

/// Offered loads of the plot, in percent of capacity.
pub const LOADS: [u32; 5] = [50, 80, 100, 150, 200];
/// Offered load of the overload that the aims speak of, in percent.
pub const OVERLOAD: u32 = 150;
/// Offered load of the scenarios, in percent.
pub const NORMAL: u32 = 80;
/// Scenarios beyond the steady load.
pub const FAULTS: [Scenario; 5] = [
    Scenario::Burst,
    Scenario::Straggler,
    Scenario::ZoneLoss,
    Scenario::LogOutage,
    Scenario::Flood,
];

/// How much is run.
#[derive(Clone, Debug)]
pub struct Extent {
    /// Offered loads in percent.
    pub loads: Vec<u32>,
    /// Scenarios beyond the steady load.
    pub faults: Vec<Scenario>,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Seeds; the measures of all are summed.
    pub seeds: Vec<u64>,
    /// Time over which requests arrive.
    pub span: Duration,
    /// Requests sent in this time are counted.
    pub window: Span,
    /// Runs at once.
    pub threads: usize,
}

/// One row of the comparison.
#[derive(Clone, Debug)]
pub struct Row {
    /// The workload's name.
    pub workload: String,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Offered load in percent of capacity.
    pub load: u32,
    /// The policy.
    pub policy: Policy,
    /// The measures, summed over the seeds.
    pub tally: Tally,
    /// Time that the measures cover, over all seeds.
    pub measured: Duration,
}

/// A row that is still to be run.
#[derive(Clone, Copy, Debug)]
struct Cell<'a> {
    workload: &'a Workload,
    scenario: Scenario,
    load: u32,
    policy: Policy,
}

/// Everything, as the documents quote it.
pub fn full(threads: usize) -> Extent {
    Extent {
        loads: LOADS.to_vec(),
        faults: FAULTS.to_vec(),
        policies: policy::ALL.to_vec(),
        seeds: vec![11, 23, 47],
        span: Duration::from_secs(45),
        window: Span { from: Duration::from_secs(6), to: Duration::from_secs(30) },
        threads,
    }
}

/// What the aims are judged by, with one seed: for work on the policy itself.
pub fn aims(threads: usize) -> Extent {
    Extent {
        loads: vec![NORMAL, OVERLOAD],
        faults: vec![Scenario::Straggler, Scenario::Flood],
        policies: vec![Policy::LeastLoad, Policy::PrefixHash, Policy::Own],
        seeds: vec![11],
        ..full(threads)
    }
}

/// A small part of it, for tests.
pub fn short(threads: usize) -> Extent {
    Extent {
        loads: vec![NORMAL, OVERLOAD],
        faults: vec![Scenario::ZoneLoss],
        policies: vec![Policy::LeastLoad, Policy::PrefixHash, Policy::Own],
        seeds: vec![11],
        span: Duration::from_secs(3),
        window: Span { from: Duration::from_millis(500), to: Duration::from_secs(2) },
        threads,
    }
}

/// Runs everything; the rows come in a fixed order whatever the number of threads.
pub fn run(workloads: &[Workload], extent: &Extent) -> Vec<Row> {
    let cells: Vec<Cell<'_>> = workloads.iter().flat_map(|w| cells(w, extent)).collect();
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    let work = || {
        while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
            let row = run_cell(cell, extent);
            rows.lock().unwrap_or_else(PoisonError::into_inner).push(row);
        }
    };
    thread::scope(|scope| {
        (0..extent.threads.max(1)).for_each(|_| drop(scope.spawn(work)));
    });
    let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.sort_by_key(|row| place(workloads, row));
    rows
}

fn cells<'a>(workload: &'a Workload, extent: &Extent) -> Vec<Cell<'a>> {
    let steady = extent.loads.iter().map(|load| (Scenario::Steady, *load));
    let alone = [(Scenario::Alone, OVERLOAD)];
    let normal = [(Scenario::Steady, NORMAL)].into_iter().filter(|_| !extent.faults.is_empty());
    let faults = extent.faults.iter().map(|fault| (*fault, NORMAL));
    let mut points: Vec<_> = steady.chain(alone).chain(normal).chain(faults).collect();
    points.sort_by_key(|(scenario, load)| (*scenario as u8, *load));
    points.dedup();
    let cell = |(scenario, load): (Scenario, u32)| {
        let policies = extent.policies.iter();
        policies.map(move |policy| Cell { workload, scenario, load, policy: *policy })
    };
    points.into_iter().flat_map(cell).collect()
}

fn run_cell(cell: &Cell<'_>, extent: &Extent) -> Row {
    let outcomes = extent.seeds.iter().map(|seed| {
        let load = f64::from(cell.load) / 100.0;
        let plan = Plan { load, seed: *seed, scenario: cell.scenario, span: extent.span };
        let outcome = world::run(cell.workload, cell.policy, &plan, extent.window);
        assert_eq!(outcome.jobs, outcome.ended, "every request ends exactly once");
        outcome.tally
    });
    let sum = |mut sum: Tally, tally: Tally| {
        sum.add(&tally);
        sum
    };
    Row {
        workload: cell.workload.name.clone(),
        scenario: cell.scenario,
        load: cell.load,
        policy: cell.policy,
        tally: outcomes.reduce(sum).expect("there is a seed"),
        measured: (extent.window.to - extent.window.from) * extent.seeds.len() as u32,
    }
}

fn place(workloads: &[Workload], row: &Row) -> (usize, u8, u32, Policy) {
    let workload = workloads.iter().position(|workload| workload.name == row.workload);
    (workload.unwrap_or(workloads.len()), row.scenario as u8, row.load, row.policy)
}
