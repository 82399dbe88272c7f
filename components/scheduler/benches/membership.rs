//! Time to find a key's homes and to apply a replacement as members and former members grow.

#[path = "support/mod.rs"]
mod support;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use scheduler::membership::State;

const MEMBERS: [usize; 4] = [20, 100, 1_000, 10_000];
/// Replacements within the window, for each hundred members: a day's at the target size.
const REPLACED_PERCENT: usize = 44;

fn home(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership/home");
    for members in MEMBERS {
        let state = support::membership(members, members * REPLACED_PERCENT / 100);
        let mut key = 0;
        group.bench_function(BenchmarkId::from_parameter(members), |bencher| {
            bencher.iter(|| {
                key += 1;
                state.home(support::claim_key(key)).map(|home| home.joined)
            });
        });
    }
    group.finish();
}

fn homes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership/homes");
    for members in MEMBERS {
        let state = support::membership(members, members * REPLACED_PERCENT / 100);
        let mut key = 0;
        group.bench_function(BenchmarkId::from_parameter(members), |bencher| {
            bencher.iter(|| {
                key += 1;
                state.homes(support::claim_key(key)).len()
            });
        });
    }
    group.finish();
}

fn replace(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership/replace");
    for members in MEMBERS {
        let state = support::membership(members, members * REPLACED_PERCENT / 100);
        let offset = state.epoch() + 1;
        let record = support::join(0, offset);
        group.bench_function(BenchmarkId::from_parameter(members), |bencher| {
            let apply = |state: &mut State| state.apply(offset, &record).expect("no gap");
            bencher.iter_batched_ref(|| state.clone(), apply, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group! {
    name = membership;
    config = support::criterion();
    targets = home, homes, replace
}
criterion_main!(membership);
