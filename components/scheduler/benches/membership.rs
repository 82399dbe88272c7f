//! Measures the time to find the home of a claim key (the member that decides its claims), to find all its
//! homes including former ones, and to apply the replacement of a member, by the number of members.

#[path = "support/mod.rs"]
mod support;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use scheduler::membership::State;

const MEMBER_COUNTS: [usize; 4] = [20, 100, 1_000, 10_000];
/// Replaced members within the window in which former members are kept, in percent of all members: the
/// expected number of a day at the size that the system is designed for.
const REPLACED_PERCENT: usize = 44;

fn newest_home(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership/home");
    for member_count in MEMBER_COUNTS {
        let state = support::membership(member_count, member_count * REPLACED_PERCENT / 100);
        let mut key = 0;
        group.bench_function(BenchmarkId::from_parameter(member_count), |bencher| {
            bencher.iter(|| {
                key += 1;
                state.home(support::claim_key(key)).map(|home| home.joined)
            });
        });
    }
    group.finish();
}

fn all_homes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership/homes");
    for member_count in MEMBER_COUNTS {
        let state = support::membership(member_count, member_count * REPLACED_PERCENT / 100);
        let mut key = 0;
        group.bench_function(BenchmarkId::from_parameter(member_count), |bencher| {
            bencher.iter(|| {
                key += 1;
                state.homes(support::claim_key(key)).len()
            });
        });
    }
    group.finish();
}

fn apply_replacement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership/replace");
    for member_count in MEMBER_COUNTS {
        let state = support::membership(member_count, member_count * REPLACED_PERCENT / 100);
        let offset = state.epoch() + 1;
        let record = support::join(0, offset);
        group.bench_function(BenchmarkId::from_parameter(member_count), |bencher| {
            let apply = |state: &mut State| state.apply(offset, &record).expect("no gap");
            bencher.iter_batched_ref(|| state.clone(), apply, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group! {
    name = membership;
    config = support::criterion();
    targets = newest_home, all_homes, apply_replacement
}
criterion_main!(membership);
