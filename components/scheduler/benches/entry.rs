//! Time of a request's whole life at an entry as its state grows: arrival, grant, end.

#[path = "support/mod.rs"]
mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::Shape;

const SMALL: Shape = Shape { accounts: 5, targets: 20, waiting: 10 };

fn by_waiting(criterion: &mut Criterion) {
    let shapes = [10, 100, 1_000, 10_000].map(|waiting| Shape { waiting, ..SMALL });
    measure(criterion, "entry/life_by_waiting", shapes, |shape| shape.waiting);
}

fn by_targets(criterion: &mut Criterion) {
    let shapes = [10, 100, 1_000, 10_000].map(|targets| Shape { targets, ..SMALL });
    measure(criterion, "entry/life_by_targets", shapes, |shape| shape.targets);
}

fn by_accounts(criterion: &mut Criterion) {
    let shapes = [5, 500, 5_000, 43_000].map(|accounts| Shape { accounts, ..SMALL });
    measure(criterion, "entry/life_by_accounts", shapes, |shape| shape.accounts);
}

fn measure(criterion: &mut Criterion, name: &str, shapes: [Shape; 4], size: fn(&Shape) -> usize) {
    let mut group = criterion.benchmark_group(name);
    for shape in shapes {
        let mut entry = support::entry(shape);
        let id = BenchmarkId::from_parameter(size(&shape));
        group.bench_function(id, |bencher| bencher.iter(|| entry.cycle()));
    }
    group.finish();
}

criterion_group! {
    name = entry;
    config = support::criterion();
    targets = by_waiting, by_targets, by_accounts
}
criterion_main!(entry);
