//! Prints the resident memory that one state of a reducer uses.
//!
//! `memory KIND COUNT` builds a single state in a new process, so that no measurement reuses memory that
//! an earlier one freed. The slope between two counts is the memory for each additional item.

#[path = "../benches/support/mod.rs"]
mod support;

use std::{
    env, fs,
    hint::black_box,
    io::{self, Error},
};

use support::StateSize;

const KIB: usize = 1_024;
const USAGE: &str =
    "usage: memory accounts|targets|changes|members|claims|requests|reservations COUNT";
const MINIMAL_SIZE: StateSize = StateSize { accounts: 1, targets: 1, waiting: 0 };
const SLOTS: usize = 64;

fn main() -> io::Result<()> {
    let mut arguments = env::args().skip(1);
    let kind = arguments.next().ok_or_else(|| Error::other(USAGE))?;
    let count = arguments.next().and_then(|count| count.parse().ok());
    let count: usize = count.ok_or_else(|| Error::other(USAGE))?;
    let growth = match kind.as_str() {
        "accounts" => measure_growth(|| {
            support::configuration(StateSize { accounts: count, ..MINIMAL_SIZE })
        })?,
        "targets" => {
            measure_growth(|| support::configuration(StateSize { targets: count, ..MINIMAL_SIZE }))?
        }
        "changes" => measure_growth(|| support::configuration_after_changes(count))?,
        "members" => measure_growth(|| support::membership(count, 0))?,
        "claims" => measure_growth(|| support::claims(count))?,
        "requests" => {
            measure_growth(|| support::entry(StateSize { waiting: count, ..MINIMAL_SIZE }))?
        }
        "reservations" => measure_growth(|| support::agent(SLOTS, count))?,
        _ => return Err(Error::other(USAGE)),
    };
    println!("{kind:<13} {count:>7} {:>8} KiB", growth / KIB);
    Ok(())
}

/// Builds a state and returns the growth of the resident memory, in bytes.
fn measure_growth<T>(build: impl FnOnce() -> T) -> io::Result<usize> {
    let resident_before = resident_bytes()?;
    let state = black_box(build());
    let growth = resident_bytes()?.saturating_sub(resident_before);
    drop(state);
    Ok(growth)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> io::Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kib.map(|kib| kib * KIB).ok_or_else(|| Error::other("no VmRSS line in /proc/self/status"))
}
