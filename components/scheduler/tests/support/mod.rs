//! Membership records and property test settings that several tests share.

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

/// Returns the wall clock time of all processes at the start of a test.
pub fn start_time() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

/// Returns a proptest configuration with a fixed seed. The environment variable `WAGTAILHILL_CASES` sets the
/// number of cases; without it, or where it isn't a number, `default` cases run.
pub fn proptest_config(default: u32) -> Config {
    let requested = std::env::var("WAGTAILHILL_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: requested.unwrap_or(default),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

/// Returns the name of the target with this index.
pub fn target_name(index: usize) -> String {
    format!("target-{index}")
}

/// Returns the incarnation id with this number.
pub fn incarnation_id(number: u128) -> IncarnationId {
    Uuid::from_u128(number)
}

/// Returns a join record of incarnation `number`, at the control port that all incarnations of a target's
/// agent share.
pub fn join_record(index: usize, number: u128, at: SystemTime) -> String {
    let port = 1_000 + u16::try_from(index).unwrap();
    join_record_at_port(index, number, at, port)
}

/// Returns a join record of incarnation `number` at the given control port.
pub fn join_record_at_port(index: usize, number: u128, at: SystemTime, port: u16) -> String {
    let join = Join {
        target: target_name(index),
        host: target_name(index),
        incarnation: incarnation_id(number),
        control: ([127, 0, 0, 1], port).into(),
    };
    render(at, Action::Join(join))
}

/// Returns a leave record that an agent appends for itself. `handed_over` is the membership epoch by which
/// its claims were handed over; `None` where they weren't.
pub fn leave_record(
    index: usize,
    number: u128,
    handed_over: Option<Offset>,
    at: SystemTime,
) -> String {
    leave_with(index, number, handed_over, true, at)
}

/// Returns a leave record that another process appends for an agent that it considers lost; it can't know
/// whether the incarnation has ended.
pub fn removal_record(index: usize, number: u128, at: SystemTime) -> String {
    leave_with(index, number, None, false, at)
}

fn leave_with(
    index: usize,
    number: u128,
    handed_over: Option<Offset>,
    ended: bool,
    at: SystemTime,
) -> String {
    let leave = Leave {
        target: target_name(index),
        incarnation: incarnation_id(number),
        handed_over,
        ended,
    };
    render(at, Action::Leave(leave))
}

fn render(at: SystemTime, action: Action) -> String {
    serde_json::to_string(&Record { schema: SCHEMA, at, action }).unwrap()
}
