//! Time to apply one change as the number of resources grows.

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
use support::Shape;

const RESOURCES: [usize; 4] = [100, 1_000, 10_000, 60_000];

fn replace_account(criterion: &mut Criterion) {
    measure(criterion, "config/replace_account", |serial| support::account(0, serial));
}

fn replace_tier(criterion: &mut Criterion) {
    measure(criterion, "config/replace_tier", |_| support::tier(0));
}

fn list_tiers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config/list_tiers");
    for resources in RESOURCES {
        let state = support::configuration(shape(resources));
        let id = BenchmarkId::from_parameter(resources);
        group.bench_function(id, |bencher| bencher.iter(|| state.list(Kind::Tier).count()));
    }
    group.finish();
}

fn measure(criterion: &mut Criterion, name: &str, resource: fn(u32) -> Resource) {
    let mut group = criterion.benchmark_group(name);
    for resources in RESOURCES {
        let mut state = support::configuration(shape(resources));
        let id = BenchmarkId::from_parameter(resources);
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|count| (0..count).map(|_| replace(&mut state, resource)).sum());
        });
    }
    group.finish();
}

/// Applies one accepted change and gives the time that this took.
fn replace(state: &mut State, resource: fn(u32) -> Resource) -> Duration {
    let offset = state.applied() + 1;
    let resource = resource((offset % 1_000) as u32);
    let Key { kind, name } = resource.key();
    let expected = state.version(&Key { kind, name });
    let payload = support::change(Action::Put(resource), expected);
    let began = Instant::now();
    let outcome = state.apply(offset, &payload);
    let took = began.elapsed();
    assert!(matches!(outcome, Ok(scheduler::config::Outcome::Accepted(_))), "{outcome:?}");
    took
}

fn shape(resources: usize) -> Shape {
    let targets = resources / 5;
    Shape { accounts: resources - targets, targets, waiting: 0 }
}

criterion_group! {
    name = config;
    config = support::criterion();
    targets = replace_account, replace_tier, list_tiers
}
criterion_main!(config);
