//! Measures the time for a request's life cycle at an entry (arrival, grant and end) by the number of
//! waiting requests, targets and accounts.

#[path = "support/mod.rs"]
mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::StateSize;

const SMALL_STATE: StateSize = StateSize { accounts: 5, targets: 20, waiting: 10 };

fn by_waiting(criterion: &mut Criterion) {
    let sizes = [10, 100, 1_000, 10_000].map(|waiting| StateSize { waiting, ..SMALL_STATE });
    bench_life_cycle(criterion, "entry/life_by_waiting", sizes, |size| size.waiting);
}

fn by_targets(criterion: &mut Criterion) {
    let sizes = [10, 100, 1_000, 10_000].map(|targets| StateSize { targets, ..SMALL_STATE });
    bench_life_cycle(criterion, "entry/life_by_targets", sizes, |size| size.targets);
}

fn by_accounts(criterion: &mut Criterion) {
    let sizes = [5, 500, 5_000, 43_000].map(|accounts| StateSize { accounts, ..SMALL_STATE });
    bench_life_cycle(criterion, "entry/life_by_accounts", sizes, |size| size.accounts);
}

fn bench_life_cycle(
    criterion: &mut Criterion,
    name: &str,
    sizes: [StateSize; 4],
    parameter: fn(&StateSize) -> usize,
) {
    let mut group = criterion.benchmark_group(name);
    for size in sizes {
        let mut entry = support::entry(size);
        let id = BenchmarkId::from_parameter(parameter(&size));
        group.bench_function(id, |bencher| bencher.iter(|| entry.run_life_cycle()));
    }
    group.finish();
}

criterion_group! {
    name = entry;
    config = support::criterion();
    targets = by_waiting, by_targets, by_accounts
}
criterion_main!(entry);
