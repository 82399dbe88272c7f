//! Time of a request's whole life at an agent as its queue grows: a reservation, a start, an end.

#[path = "support/mod.rs"]
mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SLOTS: usize = 64;
const WAITING: [usize; 4] = [1, 10, 100, 1_000];

fn life(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("agent/life_by_waiting");
    for waiting in WAITING {
        let mut agent = support::agent(SLOTS, waiting);
        let id = BenchmarkId::from_parameter(waiting);
        group.bench_function(id, |bencher| bencher.iter(|| agent.cycle()));
    }
    group.finish();
}

criterion_group! { name = agent; config = support::criterion(); targets = life }
criterion_main!(agent);
