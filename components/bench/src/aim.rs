//! The aims of the policy against the measured rows.

use std::fmt::Write;

use crate::{
    Policy, Scenario,
    plan::{NORMAL, OVERLOAD, Row},
    tally::Ends,
    workload::Workload,
};

/// One aim with what was measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Aim {
    /// What is compared.
    pub name: String,
    /// What was measured.
    pub value: f64,
    /// The least that is wanted, or the most.
    pub bound: Bound,
}

/// What is wanted of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// It is at least this.
    Least(f64),
    /// It is at most this.
    Most(f64),
}

impl Aim {
    /// Whether the aim is met.
    pub fn is_met(&self) -> bool {
        match self.bound {
            Bound::Least(bound) => self.value >= bound,
            Bound::Most(bound) => self.value <= bound,
        }
    }
}

/// The aims for one workload; those whose rows weren't run are left out.
pub fn judge(workload: &Workload, rows: &[Row]) -> Vec<Aim> {
    let rows: Vec<&Row> = rows.iter().filter(|row| row.workload == workload.name).collect();
    let mut aims = Vec::new();
    aims.extend(top_tier(&rows));
    aims.extend(total(&rows));
    for load in [NORMAL, OVERLOAD] {
        aims.extend(wasted(&rows, load, Policy::LeastLoad, 0.5));
        aims.extend(wasted(&rows, load, Policy::PrefixHash, 1.1));
    }
    aims.extend(straggler(&rows));
    aims.extend(flood(workload, &rows));
    aims.extend(inversions(&rows));
    aims
}

/// The aims as a table.
pub fn table(workloads: &[Workload], rows: &[Row]) -> String {
    let mut text = String::from("\naims of the policy `own`\n");
    for workload in workloads {
        for aim in judge(workload, rows) {
            let verdict = if aim.is_met() { "met" } else { "NOT MET" };
            let (sign, bound) = match aim.bound {
                Bound::Least(bound) => (">=", bound),
                Bound::Most(bound) => ("<=", bound),
            };
            let name = format!("{}: {}", workload.name, aim.name);
            let _ = writeln!(text, "{name:<72}{:>9.4} {sign} {bound:<6}{verdict}", aim.value);
        }
    }
    text
}

fn find<'a>(rows: &[&'a Row], scenario: Scenario, load: u32, policy: Policy) -> Option<&'a Row> {
    let fits = |row: &&&Row| row.scenario == scenario && row.load == load && row.policy == policy;
    rows.iter().find(fits).copied()
}

fn top_tier(rows: &[&Row]) -> Option<Aim> {
    let crowded = find(rows, Scenario::Steady, OVERLOAD, Policy::Own)?;
    let alone = find(rows, Scenario::Alone, OVERLOAD, Policy::Own)?;
    Some(Aim {
        name: format!("top tier at {OVERLOAD}% against alone"),
        value: crowded.tally.tiers[0].goodput() / alone.tally.tiers[0].goodput(),
        bound: Bound::Least(0.99),
    })
}

fn total(rows: &[&Row]) -> Option<Aim> {
    let own = find(rows, Scenario::Steady, OVERLOAD, Policy::Own)?;
    let baselines = rows.iter().filter(|row| {
        row.policy.pushes() && row.scenario == Scenario::Steady && row.load == OVERLOAD
    });
    let best = baselines.max_by_key(|row| row.tally.total().good)?;
    Some(Aim {
        name: format!("total goodput at {OVERLOAD}% against the best ({})", best.policy.name()),
        value: own.tally.total().good as f64 / best.tally.total().good as f64,
        bound: Bound::Least(1.3),
    })
}

fn wasted(rows: &[&Row], load: u32, against: Policy, most: f64) -> Option<Aim> {
    let own = find(rows, Scenario::Steady, load, Policy::Own)?;
    let other = find(rows, Scenario::Steady, load, against)?;
    Some(Aim {
        name: format!("wasted prefill at {load}% against {}", against.name()),
        value: own.tally.wasted() as f64 / (other.tally.wasted() as f64).max(1.0),
        bound: Bound::Most(most),
    })
}

fn straggler(rows: &[&Row]) -> Option<Aim> {
    let steady = find(rows, Scenario::Steady, NORMAL, Policy::Own)?;
    let straggler = find(rows, Scenario::Straggler, NORMAL, Policy::Own)?;
    Some(Aim {
        name: format!("top tier's loss to a straggler at {NORMAL}%"),
        value: loss(&steady.tally.tiers[0], &straggler.tally.tiers[0]),
        bound: Bound::Most(0.02),
    })
}

fn flood(workload: &Workload, rows: &[&Row]) -> Option<Aim> {
    let steady = find(rows, Scenario::Steady, NORMAL, Policy::Own)?;
    let flood = find(rows, Scenario::Flood, NORMAL, Policy::Own)?;
    let others = |row: &Row| {
        let named = workload.accounts.iter().zip(&row.tally.accounts);
        let others = named.filter(|(account, _)| account.name != workload.flooding);
        others.fold(Ends::default(), |sum, (_, ends)| sum.plus(ends))
    };
    Some(Aim {
        name: format!("other accounts' loss to a flooding one at {NORMAL}%"),
        value: loss(&others(steady), &others(flood)),
        bound: Bound::Most(0.02),
    })
}

fn inversions(rows: &[&Row]) -> Option<Aim> {
    let own = rows.iter().filter(|row| row.policy == Policy::Own);
    let counts = own.map(|row| row.tally.inversions.agent + row.tally.inversions.entry);
    let name = "tier inversions in all runs".to_owned();
    Some(Aim { name, value: counts.sum::<u64>() as f64, bound: Bound::Most(0.0) })
}

fn loss(before: &Ends, after: &Ends) -> f64 {
    1.0 - after.goodput() / before.goodput()
}
