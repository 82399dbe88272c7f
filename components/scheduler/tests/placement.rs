//! Order of targets for a key: comparison with the order without cells, distribution of keys by
//! speed, and stability when a target leaves.

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
use support::proptest_config;

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

fn first_target(index: &placement::Index, key: u64) -> String {
    index.order(key).next().expect("there is a target").clone()
}

/// Returns for each target the number of keys that have it as their first target.
fn keys_by_first_target(index: &placement::Index, keys: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for key in 0..keys {
        *counts.entry(first_target(index, key)).or_default() += 1;
    }
    counts
}

proptest! {
    #![proptest_config(proptest_config(64))]

    /// A pool of fewer targets than a cell has one cell, whose order must be that without cells.
    #[test]
    fn a_pool_of_one_cell_has_the_same_order_as_without_cells(
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

    /// A target that is left out would never get requests of a key.
    #[test]
    fn the_order_of_a_large_pool_has_every_target_exactly_once(
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

    /// A key that moves to another target loses its cached prefix. Apart from the keys of the
    /// leaving target, only a few keys of its cell may move, because the weight of that cell falls.
    #[test]
    fn a_target_that_leaves_moves_few_keys_of_other_targets(
        speeds in prop::collection::vec(100_u32..200, 200..400),
        leaving in any::<prop::sample::Index>(),
    ) {
        const KEY_COUNT: u64 = 500;
        let targets = targets(&speeds);
        let leaving = &targets[leaving.index(targets.len())].name;

        let before = placement::open(targets.iter());
        let after = placement::open(targets.iter().filter(|target| target.name != *leaving));

        let moved = (0..KEY_COUNT).filter(|key| {
            let old = first_target(&before, *key);
            old != *leaving && old != first_target(&after, *key)
        });
        prop_assert!(moved.count() <= 15);
    }
}

/// Half of the targets have twice the speed of the others, so they must get two thirds of the keys.
#[test]
fn a_large_pool_gets_keys_in_proportion_to_speed() {
    let speeds: Vec<u32> = (0..960).map(|index| if index % 2 == 0 { 100 } else { 200 }).collect();
    let index = placement::open(targets(&speeds).iter());

    let counts = keys_by_first_target(&index, 60_000);

    let is_fast =
        |name: &str| name.trim_start_matches("target-").parse::<usize>().unwrap() % 2 == 1;
    let keys_of_fast: u64 =
        counts.iter().filter(|(name, _)| is_fast(name)).map(|(_, count)| count).sum();
    let share = keys_of_fast as f64 / 60_000.0;
    assert!((share - 2.0 / 3.0).abs() < 0.02, "{share}");
}
