//! Bodies that may crash a target: run alone, cleared or quarantined.

mod world;

use std::time::{Duration, Instant};

use model::{
    id::Fingerprint,
    refusal::{Ran, Reason},
    reservation::{Ask, Id},
    suspect::{Action, Body, Clear, Crash, Record, SCHEMA},
};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use scheduler::{
    agent::{self, Effect, Event, Room},
    entry,
    suspect::{self, Standing},
};
use test_case::test_case;
use uuid::Uuid;
use world::Packet;

const ROOM: Room = Room { slots: 4, tokens: 1_000, waiting: 64, grant: Duration::from_secs(60) };
const DEADLINE: Duration = Duration::from_secs(5);

fn body(number: u8) -> Fingerprint {
    [number; 16]
}

fn id(number: u8) -> Id {
    Id { request: Uuid::from_u128(number.into()), attempt: 1 }
}

fn ask(number: u8, fingerprint: Fingerprint, alone: bool) -> Event {
    Event::Reserve(Ask {
        id: id(number),
        rank: 0,
        remaining: Duration::from_secs(600),
        prefill: 1,
        decode: 1,
        prefix: Vec::new(),
        offset: 0,
        body: Body { fingerprint, alone },
    })
}

fn record(action: Action) -> String {
    serde_json::to_string(&Record { schema: SCHEMA, action }).unwrap()
}

fn crash(bodies: &[u8], alone: bool) -> String {
    let running = bodies.iter().map(|number| body(*number)).collect();
    record(Action::Crash(Crash { target: "t".to_owned(), running, alone }))
}

fn clear(number: u8) -> String {
    record(Action::Clear(Clear { fingerprint: body(number) }))
}

#[test_case(&[] => None; "nothing happened")]
#[test_case(&[crash(&[1, 2], false)] => Some(Standing::Suspected); "one of two")]
#[test_case(&[crash(&[1, 2], false), crash(&[1, 3], false)] => Some(Standing::Suspected); "twice with neighbours")]
#[test_case(&[crash(&[1, 2], false), crash(&[1], true)] => Some(Standing::Quarantined); "again alone")]
#[test_case(&[crash(&[1, 2], false), clear(1)] => None; "ran alone to its end")]
#[test_case(&[crash(&[1, 2], false), crash(&[2], true)] => Some(Standing::Suspected); "its neighbour did it")]
#[test_case(&[crash(&[1], false), crash(&[1], true), clear(1)] => Some(Standing::Quarantined); "cleared too late")]
fn records_make_a_standing(records: &[String]) -> Option<Standing> {
    let mut state = suspect::State::default();

    for (offset, payload) in (1..).zip(records) {
        state.apply(offset, payload);
        // A record that is read twice.
        state.apply(offset, payload);
    }

    state.standing(body(1))
}

#[test]
fn the_running_set_is_blamed_once_though_its_connections_break_one_by_one() {
    let now = Instant::now();
    let mut state = agent::open(ROOM);
    for number in 1..=3 {
        agent::reduce(&mut state, now, ask(number, body(number), false));
        agent::reduce(&mut state, now, Event::Start(id(number)));
    }
    agent::reduce(&mut state, now, Event::Lost(id(1)));
    agent::reduce(&mut state, now, Event::Ended(id(1)));

    let first = agent::reduce(&mut state, now, Event::Died);
    agent::reduce(&mut state, now, Event::Lost(id(2)));
    let second = agent::reduce(&mut state, now, Event::Died);

    let running = vec![body(1), body(2), body(3)];
    assert_eq!(first, [Effect::Crash { running, alone: false }]);
    assert_eq!(second, []);
}

#[test]
fn a_body_that_crashed_alone_is_denied_also_to_copies_that_wait() {
    let now = Instant::now();
    let mut state = agent::open(ROOM);
    agent::reduce(&mut state, now, ask(1, body(7), true));
    agent::reduce(&mut state, now, Event::Start(id(1)));
    agent::reduce(&mut state, now, ask(2, body(7), true));
    agent::reduce(&mut state, now, Event::Lost(id(1)));

    let mut effects = agent::reduce(&mut state, now, Event::Died);
    effects.extend(agent::reduce(&mut state, now, Event::Ended(id(1))));
    effects.extend(agent::reduce(&mut state, now, ask(3, body(7), true)));

    let denied = effects.iter().filter_map(|effect| match effect {
        Effect::Deny { id, denial } => Some((*id, denial.reason)),
        _ => None,
    });
    let expected = [2, 3].map(|number| (id(number), Reason::Quarantined));
    assert_eq!(denied.collect::<Vec<_>>(), expected);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Grant { .. })));
}

#[test]
fn a_broken_connection_to_a_target_that_lives_blames_nobody() {
    let now = Instant::now();
    let mut state = agent::open(ROOM);
    agent::reduce(&mut state, now, ask(1, body(1), false));
    agent::reduce(&mut state, now, Event::Start(id(1)));
    agent::reduce(&mut state, now, Event::Lost(id(1)));
    agent::reduce(&mut state, now, Event::Lives);
    agent::reduce(&mut state, now, Event::Ended(id(1)));

    assert_eq!(agent::reduce(&mut state, now, Event::Died), []);
}

#[test]
fn a_suspect_waits_at_one_target_at_a_time_and_a_quarantined_one_nowhere() {
    let mut world = world::open(ROOM, 64);
    let request = world.arrive(0, 0, DEADLINE);
    let standing = |payload, offset| {
        let running = vec![Fingerprint::default()];
        let crash = Crash { target: "t".to_owned(), running, alone: payload };
        let payload = record(Action::Crash(crash));
        entry::Event::Crashes(vec![entry::Record { offset, payload }])
    };

    world.entry(0, standing(false, 1));
    world.advance(Duration::from_secs(1));
    let asks = world.network.iter().filter_map(|packet| match packet {
        Packet::Reserve { ask, .. } => Some(ask.body.alone),
        _ => None,
    });
    let asks: Vec<bool> = asks.collect();
    world.entry(0, standing(true, 2));

    assert_eq!(asks, [false, true], "the first ask was made before it was suspected");
    assert_eq!(world.refused.get(&request), Some(&Ran::NotRun));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The oracle: what runs, by the effects alone.
    #[test]
    fn nothing_runs_beside_a_suspect(
        steps in prop::collection::vec((0..4_u8, any::<bool>(), any::<Index>()), 1..120),
    ) {
        let now = Instant::now();
        let mut state = agent::open(ROOM);
        let mut held: Vec<(Id, bool)> = Vec::new();
        let mut suspects: Vec<Id> = Vec::new();

        for ((kind, alone, index), number) in steps.into_iter().zip(1_u8..) {
            let event = match kind {
                0 | 1 => {
                    if alone {
                        suspects.push(id(number));
                    }
                    ask(number, body(number), alone)
                }
                2 if !held.is_empty() => {
                    let at = index.index(held.len());
                    held[at].1 = true;
                    Event::Start(held[at].0)
                }
                3 if !held.is_empty() => {
                    let (id, started) = held.remove(index.index(held.len()));
                    if started { Event::Ended(id) } else { Event::Cancel(id) }
                }
                _ => Event::Tick,
            };
            for effect in agent::reduce(&mut state, now, event) {
                if let Effect::Grant { id, .. } = effect {
                    held.push((id, false));
                }
            }
            let has_suspect = held.iter().any(|(id, _)| suspects.contains(id));
            prop_assert!(!has_suspect || held.len() == 1, "{:?}", held);
        }
    }
}
