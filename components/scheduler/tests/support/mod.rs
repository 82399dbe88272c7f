//! Membership records for tests.

#![allow(dead_code)]

use std::time::{Duration, SystemTime};

use model::{
    id::{IncarnationId, Offset},
    membership::{Action, Join, Leave, Record, SCHEMA},
};
use proptest::test_runner::{Config, RngSeed};
use uuid::Uuid;

pub mod world;

const SEED: u64 = 7;

/// The clock of all processes at the start of a test.
pub fn epoch_clock() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

/// The same cases every time; `WAGTAILHILL_CASES` asks for more.
pub fn cases(default: u32) -> Config {
    let asked = std::env::var("WAGTAILHILL_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: asked.unwrap_or(default),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

/// Name of a test's target.
pub fn target(index: usize) -> String {
    format!("target-{index}")
}

/// Id of a run.
pub fn run(number: u128) -> IncarnationId {
    Uuid::from_u128(number)
}

/// A join at the port that a target's agents share.
pub fn join(index: usize, number: u128, at: SystemTime) -> String {
    let port = 1_000 + u16::try_from(index).unwrap();
    join_at_port(index, number, at, port)
}

/// A join at a port of its own.
pub fn join_at_port(index: usize, number: u128, at: SystemTime, port: u16) -> String {
    let join = Join {
        target: target(index),
        host: target(index),
        incarnation: run(number),
        control: ([127, 0, 0, 1], port).into(),
    };
    render(at, Action::Join(join))
}

/// A leave.
pub fn leave(index: usize, number: u128, handed_over: Option<Offset>, at: SystemTime) -> String {
    leave_with(index, number, handed_over, true, at)
}

/// A leave that another process appends, which can't know whether the run is over.
pub fn removal(index: usize, number: u128, at: SystemTime) -> String {
    leave_with(index, number, None, false, at)
}

fn leave_with(
    index: usize,
    number: u128,
    handed_over: Option<Offset>,
    ended: bool,
    at: SystemTime,
) -> String {
    let leave = Leave { target: target(index), incarnation: run(number), handed_over, ended };
    render(at, Action::Leave(leave))
}

fn render(at: SystemTime, action: Action) -> String {
    serde_json::to_string(&Record { schema: SCHEMA, at, action }).unwrap()
}
