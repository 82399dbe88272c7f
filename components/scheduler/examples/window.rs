//! Measures how long a lower tier had waited at a target that denied a higher one, at the time
//! when the higher one was refused: the window that is left between entries and targets.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use scheduler::agent::Room;
use world::{ENTRIES, TARGETS, TIERS, World};

/// One way between two processes.
const STEP: Duration = Duration::from_micros(1_500);
const STEPS: u32 = 40_000;
const SLOTS: usize = 2;
/// Mean steps of one run.
const RUN_STEPS: f64 = 14.0;
const DEADLINE: Duration = Duration::from_secs(5);

fn main() {
    println!(
        "load  arrived  shed by tier {TIERS:?}  inversions at an entry  with a window  longest"
    );
    for load in [1.0, 1.5, 2.0, 4.0] {
        measure(load);
    }
}

fn measure(load: f64) {
    let grant = Duration::from_millis(200);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut world = world::open(Room { slots: SLOTS, tokens: 10_000, waiting: 8, grant }, 4_096);
    let rate = load * (TARGETS * SLOTS) as f64 / RUN_STEPS;
    for _ in 0..STEPS {
        step(&mut world, &mut rng, rate);
    }
    let shed = |rank| world.sheds.iter().filter(|shed| usize::from(shed.rank) == rank).count();
    let by_tier: Vec<usize> = (0..TIERS.len()).map(shed).collect();
    let inverted = world.sheds.iter().filter(|s| s.lowest_here.is_some_and(|low| low > s.rank));
    let windows: Vec<Duration> = world.sheds.iter().filter_map(|shed| shed.window).collect();
    let longest = windows.iter().max().copied().unwrap_or_default();
    let (arrived, inverted) = (world.ranks.len(), inverted.count());
    println!("{load}  {arrived}  {by_tier:?}  {inverted}  {}  {longest:?}", windows.len());
}

fn step(world: &mut World, rng: &mut SmallRng, rate: f64) {
    let sent = world.network.len();
    // Messages that were sent before this step arrive in it; their answers leave in it.
    for _ in 0..sent {
        world.deliver_first();
    }
    world.advance(STEP);
    let ending = (0..world.running()).rev().filter(|_| rng.random_bool(1.0 / RUN_STEPS));
    let ending: Vec<usize> = ending.collect();
    ending.into_iter().for_each(|index| world.end_run(index));
    let arrivals = rate.trunc() as usize + usize::from(rng.random_bool(rate.fract()));
    for _ in 0..arrivals {
        let rank = rng.random_range(0..TIERS.len());
        let rank = rank.try_into().expect("there are few tiers");
        world.arrive(rng.random_range(0..ENTRIES), rank, DEADLINE);
    }
}
