//! Measures the time to apply one change of the configuration, and to list its tiers, by the number of
//! resources.

#[path = "support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use model::{
    Resource,
    change::Action,
    resource::{Key, Kind},
};
use scheduler::config::State;
use support::StateSize;

const RESOURCE_COUNTS: [usize; 4] = [100, 1_000, 10_000, 60_000];

fn replace_account(criterion: &mut Criterion) {
    bench_replacement(criterion, "config/replace_account", |serial| support::account(0, serial));
}

fn replace_tier(criterion: &mut Criterion) {
    bench_replacement(criterion, "config/replace_tier", |_| support::tier(0));
}

fn list_tiers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config/list_tiers");
    for resource_count in RESOURCE_COUNTS {
        let state = support::configuration(state_size(resource_count));
        let id = BenchmarkId::from_parameter(resource_count);
        group.bench_function(id, |bencher| bencher.iter(|| state.list(Kind::Tier).count()));
    }
    group.finish();
}

/// Measures the replacement of one resource by a new version, for each number of resources.
fn bench_replacement(criterion: &mut Criterion, name: &str, make_resource: fn(u32) -> Resource) {
    let mut group = criterion.benchmark_group(name);
    for resource_count in RESOURCE_COUNTS {
        let mut state = support::configuration(state_size(resource_count));
        let id = BenchmarkId::from_parameter(resource_count);
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|count| {
                (0..count).map(|_| apply_replacement(&mut state, make_resource)).sum()
            });
        });
    }
    group.finish();
}

/// Applies one change, which must be accepted, and returns the time that applying it took.
fn apply_replacement(state: &mut State, make_resource: fn(u32) -> Resource) -> Duration {
    let offset = state.applied() + 1;
    let resource = make_resource((offset % 1_000) as u32);
    let Key { kind, name } = resource.key();
    let expected = state.version(&Key { kind, name });
    let payload = support::change(Action::Put(resource), expected);
    let started_at = Instant::now();
    let outcome = state.apply(offset, &payload);
    let elapsed = started_at.elapsed();
    assert!(matches!(outcome, Ok(scheduler::config::Outcome::Accepted(_))), "{outcome:?}");
    elapsed
}

/// Returns the numbers of accounts (80 %) and targets (20 %) in a configuration of some size.
fn state_size(resource_count: usize) -> StateSize {
    let targets = resource_count / 5;
    StateSize { accounts: resource_count - targets, targets, waiting: 0 }
}

criterion_group! {
    name = config;
    config = support::criterion();
    targets = replace_account, replace_tier, list_tiers
}
criterion_main!(config);
