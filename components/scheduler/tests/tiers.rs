//! A higher tier is never shed before a lower one.

mod world;

use std::time::{Duration, Instant};

use model::{
    id::Rank,
    refusal::Reason,
    reservation::{Ask, Denial, Id, Load},
};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use scheduler::{
    agent::{self, Effect, Event, Room},
    entry::{self, DENIAL_TTL},
};
use uuid::Uuid;
use world::{ENTRIES, TARGETS, TIERS};

const CASES: u32 = 500;
const ROOM: Room = Room { slots: 2, tokens: 100, waiting: 4, grant: Duration::from_millis(50) };

/// The naive version of the agent: it sorts everything at every step.
struct Naive {
    waiting: Vec<Waiting>,
    held: Vec<Held>,
}

#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    deadline: Instant,
    serial: u128,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct Held {
    serial: u128,
    tokens: u64,
    /// When the grant lapses; `None` once it started.
    until: Option<Instant>,
}

#[derive(Clone, Debug)]
enum Step {
    Reserve { rank: Rank, remaining: u64, tokens: u32 },
    Start(Index),
    End(Index),
    Cancel(Index),
    Advance(u64),
}

/// What the agent said of a reservation.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Said {
    Granted(u128),
    Denied(u128, Reason),
}

impl Naive {
    fn expire(&mut self, now: Instant, said: &mut Vec<Said>) {
        self.held.retain(|held| held.until.is_none_or(|until| until > now));
        for late in self.waiting.iter().filter(|waiting| waiting.deadline <= now) {
            said.push(Said::Denied(late.serial, Reason::Deadline));
        }
        self.waiting.retain(|waiting| waiting.deadline > now);
    }

    fn settle(&mut self, now: Instant, said: &mut Vec<Said>) {
        self.waiting.sort_by_key(|waiting| (waiting.rank, waiting.deadline, waiting.serial));
        while let Some(best) = self.waiting.first().cloned() {
            let tokens: u64 = self.held.iter().map(|held| held.tokens).sum();
            let fits = self.held.is_empty() || tokens + best.tokens <= ROOM.tokens;
            if self.held.len() == ROOM.slots || !fits {
                break;
            }
            self.waiting.remove(0);
            said.push(Said::Granted(best.serial));
            let until = Some(now + ROOM.grant);
            self.held.push(Held { serial: best.serial, tokens: best.tokens, until });
        }
        while self.waiting.len() > ROOM.waiting {
            let worst = self.waiting.pop().unwrap();
            said.push(Said::Denied(worst.serial, Reason::Overloaded));
        }
    }
}

fn id(serial: u128) -> Id {
    Id { request: Uuid::from_u128(serial), attempt: 1 }
}

fn said(effects: &[Effect]) -> Vec<Said> {
    let said = effects.iter().filter_map(|effect| match effect {
        Effect::Grant { id, .. } => Some(Said::Granted(id.request.as_u128())),
        Effect::Deny { id, denial } => Some(Said::Denied(id.request.as_u128(), denial.reason)),
        _ => None,
    });
    said.collect()
}

fn step() -> impl Strategy<Value = Step> {
    let reserve = (0..3_u8, 1..400_u64, 1..120_u32);
    prop_oneof![
        8 => reserve.prop_map(|(rank, remaining, tokens)| Step::Reserve { rank, remaining, tokens }),
        4 => any::<Index>().prop_map(Step::Start),
        3 => any::<Index>().prop_map(Step::End),
        1 => any::<Index>().prop_map(Step::Cancel),
        3 => (1..40_u64).prop_map(Step::Advance),
    ]
}

fn pick(index: &Index, from: &[Held], started: bool) -> Option<u128> {
    let from: Vec<&Held> = from.iter().filter(|held| held.until.is_none() == started).collect();
    (!from.is_empty()).then(|| index.get(&from).serial)
}

fn cases() -> u32 {
    std::env::var("WAGTAILHILL_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { cases: cases(), rng_seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_agent_does_as_one_that_sorts_everything(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = Instant::now();
        // The naive version sorts and counts; it has no estimates to cut hopeless work off by.
        let policy = agent::Policy { ahead: false, cut_off: false, ..agent::Policy::default() };
        let mut state = agent::open_with(ROOM, policy);
        let mut naive = Naive { waiting: Vec::new(), held: Vec::new() };

        for (step, serial) in steps.into_iter().zip(1_u128..) {
            if let Step::Advance(millis) = step {
                now += Duration::from_millis(millis);
            }
            let mut expected = Vec::new();
            naive.expire(now, &mut expected);
            let event = match step {
                Step::Advance(_) => Event::Tick,
                Step::Reserve { rank, remaining, tokens } => {
                    let remaining = Duration::from_millis(remaining);
                    let deadline = now + remaining;
                    naive.waiting.push(Waiting { rank, deadline, serial, tokens: tokens.into() });
                    Event::Reserve(Ask {
                        id: id(serial),
                        rank,
                        remaining,
                        prefill: tokens,
                        decode: 0,
                        prefix: Vec::new(),
                        offset: 0, body: Default::default(),
                    })
                }
                Step::Start(index) => match pick(&index, &naive.held, false) {
                    None => Event::Tick,
                    Some(serial) => {
                        let held = naive.held.iter_mut().find(|held| held.serial == serial);
                        held.unwrap().until = None;
                        Event::Start(id(serial))
                    }
                },
                Step::End(index) => match pick(&index, &naive.held, true) {
                    None => Event::Tick,
                    Some(serial) => {
                        naive.held.retain(|held| held.serial != serial);
                        Event::Ended(id(serial))
                    }
                },
                Step::Cancel(index) if !naive.waiting.is_empty() => {
                    let serial = index.get(&naive.waiting).serial;
                    naive.waiting.retain(|waiting| waiting.serial != serial);
                    Event::Cancel(id(serial))
                }
                Step::Cancel(_) => Event::Tick,
            };
            naive.settle(now, &mut expected);

            let mut got = said(&agent::reduce(&mut state, now, event));

            got.sort();
            expected.sort();
            prop_assert_eq!(got, expected);
        }
    }

    #[test]
    fn no_entry_sheds_a_tier_while_a_lower_one_waits_there(
        steps in prop::collection::vec((0..12_u8, any::<Index>(), 1..60_u64), 1..300),
    ) {
        let grant = Duration::from_millis(200);
        let mut world = world::open(Room { slots: 1, tokens: 1_000, waiting: 2, grant }, 5);

        for (kind, index, millis) in steps {
            let packets = world.network.len();
            match kind {
                0..=3 => {
                    let rank = index.index(TIERS.len()).try_into().unwrap();
                    world.arrive(index.index(ENTRIES), rank, Duration::from_secs(5));
                }
                4..=9 if packets > 0 => world.deliver(index.index(packets)),
                10 if world.running() > 0 => world.end_run(index.index(world.running())),
                11 if millis < 4 => world.drain_agent(index.index(TARGETS)),
                _ => world.advance(Duration::from_millis(millis)),
            }
            for shed in world.sheds.drain(..) {
                prop_assert!(shed.lowest_here.is_none_or(|lowest| lowest <= shed.rank), "{:?}", shed);
            }
        }
    }
}

#[test]
fn a_refusal_rests_on_no_old_denial() {
    let mut world = world::open(ROOM, 64);
    let request = world.arrive(0, 0, Duration::from_secs(5));
    let deny = |world: &mut world::World, attempt| {
        let load = Load::default();
        let denial = Denial { reason: Reason::Overloaded, retry_after: DENIAL_TTL, load };
        world.entry(0, entry::Event::Denied { id: Id { request, attempt }, denial });
    };
    deny(&mut world, 1);
    world.advance(DENIAL_TTL);

    deny(&mut world, 2);
    deny(&mut world, 3);
    let refused_on_an_old_denial = world.refused.contains_key(&request);
    (4..=6).for_each(|attempt| deny(&mut world, attempt));

    assert!(!refused_on_an_old_denial);
    assert!(world.refused.contains_key(&request));
}
