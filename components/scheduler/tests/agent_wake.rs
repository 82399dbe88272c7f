//! The agent's wake-up time against a naive version that scans everything alive.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::reservation::{Ask, Fate, Id};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use scheduler::agent::{self, Effect, Event, Room};
use uuid::Uuid;

const CASES: u32 = 200;
const GRANT: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
enum Step {
    Reserve { id: u8, rank: u8, remaining_ms: u8 },
    Start(u8),
    Cancel(u8),
    Ended(u8),
    Wait(u8),
}

/// Reservations that wait or hold a grant, with the time that ends each.
type Naive = BTreeMap<Id, Instant>;

fn config() -> Config {
    let cases = std::env::var("WAGTAILHILL_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..12_u8;
    prop_oneof![
        3 => (id.clone(), 0..4_u8, any::<u8>())
            .prop_map(|(id, rank, remaining_ms)| Step::Reserve { id, rank, remaining_ms }),
        2 => id.clone().prop_map(Step::Start),
        1 => id.clone().prop_map(Step::Cancel),
        2 => id.prop_map(Step::Ended),
        1 => (0..100_u8).prop_map(Step::Wait),
    ]
}

fn id(number: u8) -> Id {
    Id { request: Uuid::from_u128(number.into()), attempt: 1 }
}

fn event(step: Step) -> Event {
    match step {
        Step::Reserve { id: number, rank, remaining_ms } => Event::Reserve(Ask {
            id: id(number),
            rank,
            remaining: Duration::from_millis(remaining_ms.into()),
            prefill: 1,
            decode: 1,
            prefix: Vec::new(),
            offset: 0,
            body: Default::default(),
        }),
        Step::Start(number) => Event::Start(id(number)),
        Step::Cancel(number) => Event::Cancel(id(number)),
        Step::Ended(number) => Event::Ended(id(number)),
        Step::Wait(_) => Event::Tick,
    }
}

/// Follows the state by the effects alone.
fn follow(naive: &mut Naive, now: Instant, effects: &[Effect]) {
    for effect in effects {
        match effect {
            Effect::Grant { id, grant } => {
                naive.insert(*id, now + grant.life);
            }
            Effect::Deny { id, .. } | Effect::Dispatch(id) => {
                naive.remove(id);
            }
            Effect::Tell { id, fate } if !matches!(fate, Fate::Waiting | Fate::Granted) => {
                naive.remove(id);
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_next_wake_is_the_earliest_end_of_all(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = Instant::now();
        let mut state = agent::open(Room { slots: 2, tokens: 100, waiting: 4, grant: GRANT });
        let mut naive = Naive::new();
        let mut asked = std::collections::BTreeSet::new();

        for step in steps {
            if let Step::Wait(millis) = step {
                now += Duration::from_millis(millis.into());
            }
            naive.retain(|_, until| *until > now);
            if let Step::Reserve { id: number, remaining_ms, .. } = step
                && asked.insert(number)
            {
                naive.insert(id(number), now + Duration::from_millis(remaining_ms.into()));
            }
            let effects = agent::reduce(&mut state, now, event(step));
            follow(&mut naive, now, &effects);

            prop_assert_eq!(agent::next_wake(&state), naive.values().min().copied());
        }
    }
}
