//! Measures the time for a request's life cycle at an agent (reservation, start and end) by the length of
//! the agent's queue.

#[path = "support/mod.rs"]
mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SLOTS: usize = 64;
const QUEUE_LENGTHS: [usize; 4] = [1, 10, 100, 1_000];

fn life_cycle(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("agent/life_by_waiting");
    for queue_length in QUEUE_LENGTHS {
        let mut agent = support::agent(SLOTS, queue_length);
        let id = BenchmarkId::from_parameter(queue_length);
        group.bench_function(id, |bencher| bencher.iter(|| agent.run_life_cycle()));
    }
    group.finish();
}

criterion_group! { name = agent; config = support::criterion(); targets = life_cycle }
criterion_main!(agent);
