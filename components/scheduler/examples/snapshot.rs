//! Measures a snapshot of a configuration of the size that the system is designed for: its size in bytes,
//! its number of parts, and the times to build, write and restore it.

use std::{error::Error, time::Instant};

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential, snapshot as snapshot_parts,
};
use scheduler::config::{State, outcomes::RETAINED_OFFSETS, snapshot};
use serde_json::{Value, json};
use uuid::Uuid;

const ACCOUNT_COUNT: u32 = 43_000;
const TARGET_COUNT: u32 = 10_000;

fn main() -> Result<(), Box<dyn Error>> {
    let started = Instant::now();
    let state = build_configuration()?;
    println!("applied    {} records in {:?}", state.applied(), started.elapsed());

    let started = Instant::now();
    let taken = state.snapshot();
    let outcomes = taken.outcomes.len();
    println!(
        "taken      in {:?}, {outcomes} outcomes of at most {RETAINED_OFFSETS}",
        started.elapsed()
    );

    let started = Instant::now();
    let text = taken.render();
    let parts = snapshot_parts::split(taken.applied, &text);
    let (bytes, count) = (text.len(), parts.len());
    println!("written    {bytes} bytes in {count} parts in {:?}", started.elapsed());

    let started = Instant::now();
    let mut restored = State::default();
    let parsed = snapshot::parse(&text).ok_or("the written snapshot can't be parsed")?;
    restored.restore(parsed)?;
    println!("restored   in {:?}, equal: {}", started.elapsed(), restored == state);
    Ok(())
}

/// Returns a configuration with one tier, one pool, and the accounts and targets.
fn build_configuration() -> Result<State, Box<dyn Error>> {
    let mut values = vec![
        json!({"kind": "tier", "name": "crew", "rank": 0, "deadline_ms": 5_000}),
        json!({"kind": "pool", "name": "drawings", "backing": "model", "models": ["drawing-7b"]}),
    ];
    values.extend((0..ACCOUNT_COUNT).map(account));
    values.extend((0..TARGET_COUNT).map(target));
    let mut state = State::default();
    for (value, offset) in values.into_iter().zip(1_u64..) {
        let resource: Resource = serde_json::from_value(value)?;
        let (id, action) = (Uuid::from_u128(offset.into()), Action::Put(resource));
        let change = Change { schema: SCHEMA, id, expected: 0, action };
        state.apply(offset, &serde_json::to_string(&change)?)?;
    }
    Ok(state)
}

fn account(number: u32) -> Value {
    json!({
        "kind": "account",
        "name": format!("account-{number}"),
        "key_hash": credential::hash(&number.to_string()),
        "tiers": ["crew"],
        "limit": {"concurrency": 16, "requests_per_second": 8}
    })
}

fn target(number: u32) -> Value {
    let ip = format!("10.1.{}.{}", number / 250, number % 250);
    json!({
        "kind": "target",
        "name": format!("engine-{number}"),
        "pool": "drawings",
        "host": format!("host-{number}"),
        "zone": format!("zone-{}", number % 12),
        "control": format!("{ip}:7001"),
        "traffic": format!("{ip}:7002")
    })
}
