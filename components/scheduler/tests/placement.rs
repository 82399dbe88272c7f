//! Placement against a naive version, and how evenly and steadily it spreads keys.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
};

use model::resource::{Desired, Target};
use proptest::{
    prelude::{any, prop},
    prop_assert, prop_assert_eq, proptest,
};
use scheduler::placement;
use support::cases;

fn target(index: usize, speed_percent: u32) -> Target {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Target {
        name: format!("target-{index}"),
        pool: "pool".to_owned(),
        host: format!("host-{index}"),
        zone: "a".to_owned(),
        control: address,
        traffic: address,
        speed_percent,
        desired: Desired::Serving,
        setup: None,
    }
}

fn targets(speeds: &[u32]) -> Vec<Target> {
    speeds.iter().enumerate().map(|(index, speed)| target(index, *speed)).collect()
}

fn first(index: &placement::Index, key: u64) -> String {
    index.order(key).next().expect("there is a target").clone()
}

/// Keys whose first target each target is.
fn spread(index: &placement::Index, keys: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for key in 0..keys {
        *counts.entry(first(index, key)).or_default() += 1;
    }
    counts
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn a_small_pool_has_the_order_of_the_naive_version(
        speeds in prop::collection::vec(1_u32..1_000, 1..48),
        key in any::<u64>(),
    ) {
        let targets = targets(&speeds);

        let naive = placement::order(key, targets.iter());
        let index = placement::open(targets.iter());

        let naive: Vec<String> = naive.into_iter().map(|scored| scored.target).collect();
        let order: Vec<String> = index.order(key).cloned().collect();
        prop_assert_eq!(order, naive);
    }

    #[test]
    fn every_target_of_a_large_pool_comes_exactly_once(
        speeds in prop::collection::vec(1_u32..1_000, 100..600),
        key in any::<u64>(),
    ) {
        let targets = targets(&speeds);

        let index = placement::open(targets.iter());

        let order: Vec<&String> = index.order(key).collect();
        let distinct: BTreeSet<&String> = order.iter().copied().collect();
        prop_assert_eq!(order.len(), targets.len());
        prop_assert_eq!(distinct.len(), targets.len());
    }

    #[test]
    fn a_target_that_leaves_moves_few_keys_of_others(
        speeds in prop::collection::vec(100_u32..200, 200..400),
        gone in any::<prop::sample::Index>(),
    ) {
        const KEYS: u64 = 500;
        let targets = targets(&speeds);
        let gone = &targets[gone.index(targets.len())].name;

        let before = placement::open(targets.iter());
        let after = placement::open(targets.iter().filter(|target| target.name != *gone));

        let moved = (0..KEYS).filter(|key| {
            let old = first(&before, *key);
            old != *gone && old != first(&after, *key)
        });
        prop_assert!(moved.count() <= 15);
    }
}

#[test]
fn keys_are_spread_by_speed_over_a_large_pool() {
    let speeds: Vec<u32> = (0..960).map(|index| if index % 2 == 0 { 100 } else { 200 }).collect();
    let index = placement::open(targets(&speeds).iter());

    let counts = spread(&index, 60_000);

    let fast = |name: &str| name.trim_start_matches("target-").parse::<usize>().unwrap() % 2 == 1;
    let fast: u64 = counts.iter().filter(|(name, _)| fast(name)).map(|(_, count)| count).sum();
    let share = fast as f64 / 60_000.0;
    assert!((share - 2.0 / 3.0).abs() < 0.02, "{share}");
}
