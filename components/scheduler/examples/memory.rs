//! Prints the resident memory that one state of a reducer takes.
//!
//! `memory KIND COUNT` builds the state once in a fresh process, so that no point uses memory
//! that another freed. The slope between two counts is the cost of one more.

#[path = "../benches/support/mod.rs"]
mod support;

use std::{
    env, fs,
    hint::black_box,
    io::{self, Error},
};

use support::Shape;

const KIB: usize = 1_024;
const USAGE: &str =
    "usage: memory accounts|targets|changes|members|claims|requests|reservations COUNT";
const EMPTY: Shape = Shape { accounts: 1, targets: 1, waiting: 0 };
const SLOTS: usize = 64;

fn main() -> io::Result<()> {
    let mut arguments = env::args().skip(1);
    let kind = arguments.next().ok_or_else(|| Error::other(USAGE))?;
    let count = arguments.next().and_then(|count| count.parse().ok());
    let count: usize = count.ok_or_else(|| Error::other(USAGE))?;
    let grown = match kind.as_str() {
        "accounts" => grow(|| support::configuration(Shape { accounts: count, ..EMPTY }))?,
        "targets" => grow(|| support::configuration(Shape { targets: count, ..EMPTY }))?,
        "changes" => grow(|| support::changed(count))?,
        "members" => grow(|| support::membership(count, 0))?,
        "claims" => grow(|| support::claims(count))?,
        "requests" => grow(|| support::entry(Shape { waiting: count, ..EMPTY }))?,
        "reservations" => grow(|| support::agent(SLOTS, count))?,
        _ => return Err(Error::other(USAGE)),
    };
    println!("{kind:<13} {count:>7} {:>8} KiB", grown / KIB);
    Ok(())
}

/// Builds a state and gives what it added to the resident set, in bytes.
fn grow<T>(build: impl FnOnce() -> T) -> io::Result<usize> {
    let before = resident()?;
    let state = black_box(build());
    let grown = resident()?.saturating_sub(before);
    drop(state);
    Ok(grown)
}

/// Resident memory of this process, in bytes.
fn resident() -> io::Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kib.map(|kib| kib * KIB).ok_or_else(|| Error::other("no VmRSS line"))
}
