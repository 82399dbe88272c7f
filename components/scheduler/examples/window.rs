//! Measures priority inversions under overload: requests that an entry refused for lack of capacity while a
//! request of a lower tier waited, at the same entry or at a target that had denied the refused request.
//!
//! The window of a refusal is the longest time between such a denial by a target and the refusal. Such
//! windows remain because an entry learns of a target's queue only with the messages between them.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use scheduler::agent::Capacity;
use world::{ENTRIES, TARGETS, TIERS, World};

/// Time that a message takes between two processes; one step of the simulation.
const MESSAGE_DELAY: Duration = Duration::from_micros(1_500);
const STEP_COUNT: u32 = 40_000;
const SLOTS: usize = 2;
/// Mean duration of a run, in steps of the simulation.
const MEAN_RUN_STEPS: f64 = 14.0;
const DEADLINE: Duration = Duration::from_secs(5);

fn main() {
    println!(
        "load  arrivals  sheds by tier {TIERS:?}  inversions at an entry  with a window  longest"
    );
    for load in [1.0, 1.5, 2.0, 4.0] {
        simulate_load(load);
    }
}

fn simulate_load(load: f64) {
    let grant = Duration::from_millis(200);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut world = world::open(
        Capacity { slots: SLOTS, max_tokens: 10_000, max_waiting: 8, grant_lifetime: grant },
        4_096,
    );
    let arrivals_per_step = load * (TARGETS * SLOTS) as f64 / MEAN_RUN_STEPS;
    for _ in 0..STEP_COUNT {
        simulate_step(&mut world, &mut rng, arrivals_per_step);
    }
    let shed_count_of =
        |rank| world.sheds.iter().filter(|shed| usize::from(shed.rank) == rank).count();
    let sheds_by_tier: Vec<usize> = (0..TIERS.len()).map(shed_count_of).collect();
    let inversions =
        world.sheds.iter().filter(|s| s.lowest_waiting_at_entry.is_some_and(|low| low > s.rank));
    let inversion_windows: Vec<Duration> =
        world.sheds.iter().filter_map(|shed| shed.longest_since_denial).collect();
    let longest_window = inversion_windows.iter().max().copied().unwrap_or_default();
    let (arrivals_total, inversions) = (world.ranks.len(), inversions.count());
    println!(
        "{load}  {arrivals_total}  {sheds_by_tier:?}  {inversions}  {}  {longest_window:?}",
        inversion_windows.len()
    );
}

fn simulate_step(world: &mut World, rng: &mut SmallRng, arrivals_per_step: f64) {
    let in_transit = world.network.len();
    // Messages that were sent before this step are delivered in it; their answers are sent in it.
    for _ in 0..in_transit {
        world.deliver_first_ignoring_freeze();
    }
    world.advance(MESSAGE_DELAY);
    let ending_runs =
        (0..world.running_count()).rev().filter(|_| rng.random_bool(1.0 / MEAN_RUN_STEPS));
    let ending_runs: Vec<usize> = ending_runs.collect();
    ending_runs.into_iter().for_each(|index| world.finish_request(index));
    let arrivals = arrivals_per_step.trunc() as usize
        + usize::from(rng.random_bool(arrivals_per_step.fract()));
    for _ in 0..arrivals {
        let rank = rng.random_range(0..TIERS.len());
        let rank = rank.try_into().expect("there are few tiers");
        world.arrive(rng.random_range(0..ENTRIES), rank, DEADLINE);
    }
}
