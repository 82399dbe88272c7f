//! Compares `config::State` with a naive model that keeps resources and changes in plain lists, without
//! indices.

use std::{env, time::Duration};

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    id::Offset,
    resource::{Account, Backing, Key, Kind, Pool, Target, Tier},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use scheduler::config::{Outcome, State};
use uuid::Uuid;

const SEED: u64 = 4_207;
const DEFAULT_CASES: u32 = 256;

/// The decision on a change, without its findings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// The change is in force from this offset on.
    Accepted(Offset),
    /// The current version of the resource, which differs from the expected one.
    Conflict(Offset),
    Rejected,
}

/// The naive model: it has no indices and keeps the outcome of every change.
#[derive(Default)]
struct NaiveConfig {
    /// All resources with their versions.
    resources: Vec<(Offset, Resource)>,
    /// All changes with the decisions on them, oldest first.
    decided: Vec<(Change, Verdict)>,
}

impl NaiveConfig {
    fn apply(&mut self, offset: Offset, change: &Change) -> Verdict {
        if let Some((earlier, verdict)) = self.decided.iter().find(|(c, _)| c.id == change.id) {
            return if earlier == change { *verdict } else { Verdict::Rejected };
        }
        let verdict = self.decide(offset, change);
        if verdict == Verdict::Accepted(offset) {
            self.resources.retain(|(_, resource)| resource.key() != change.action.key());
            if let Action::Put(resource) = &change.action {
                self.resources.push((offset, resource.clone()));
            }
        }
        self.decided.push((change.clone(), verdict));
        verdict
    }

    fn decide(&self, offset: Offset, change: &Change) -> Verdict {
        let key = change.action.key();
        let existing = self.resources.iter().find(|(_, resource)| resource.key() == key);
        let current = existing.map_or(0, |(version, _)| *version);
        if current != change.expected {
            return Verdict::Conflict(current);
        }
        let is_valid = match &change.action {
            Action::Put(resource) => self.is_valid(resource),
            Action::Delete(key) => !self.resources().any(|resource| uses(resource, key)),
        };
        if is_valid { Verdict::Accepted(offset) } else { Verdict::Rejected }
    }

    fn is_valid(&self, resource: &Resource) -> bool {
        let name = resource.key().name;
        let is_name_valid = name.chars().all(|c| c.is_ascii_lowercase());
        let exists = |kind, name: &str| self.resources().any(|r| r.key() == key(kind, name));
        let mut others = self.resources().filter(|other| other.key() != resource.key());
        is_name_valid
            && match resource {
                Resource::Account(account) => {
                    account.tiers.iter().all(|tier| exists(Kind::Tier, tier))
                        && !others.any(|other| has_key(other, account))
                }
                Resource::Tier(tier) => !others
                    .any(|other| matches!(other, Resource::Tier(other) if other.rank == tier.rank)),
                Resource::Pool(pool) => !others.any(|other| shares_model(other, pool)),
                Resource::Target(target) => exists(Kind::Pool, &target.pool),
            }
    }

    fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.iter().map(|(_, resource)| resource)
    }
}

fn uses(resource: &Resource, key: &Key) -> bool {
    match (key.kind, resource) {
        (Kind::Tier, Resource::Account(account)) => account.tiers.contains(&key.name),
        (Kind::Pool, Resource::Target(target)) => target.pool == key.name,
        _ => false,
    }
}

fn has_key(other: &Resource, account: &Account) -> bool {
    matches!(other, Resource::Account(other) if other.key_hash == account.key_hash)
}

fn shares_model(other: &Resource, pool: &Pool) -> bool {
    matches!(other, Resource::Pool(other) if other.models.iter().any(|m| pool.models.contains(m)))
}

fn key(kind: Kind, name: &str) -> Key {
    Key { kind, name: name.to_owned() }
}

/// Generates a name that is valid in nine of ten cases.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![9 => prop::sample::select(vec!["a", "b", "c"]), 1 => Just("Bad")]
        .prop_map(str::to_owned)
}

fn resource() -> impl Strategy<Value = Resource> {
    let account =
        (name(), 0..3_u8, prop::collection::vec(name(), 1..3)).prop_map(|(name, key, tiers)| {
            let key_hash = credential::hash(&key.to_string());
            Resource::Account(Account { name, key_hash, tiers, limit: None })
        });
    let tier = (name(), 0..3_u8).prop_map(|(name, rank)| {
        Resource::Tier(Tier { name, rank, deadline: Duration::from_secs(1) })
    });
    let pool = (name(), prop::collection::vec(name(), 0..2)).prop_map(|(name, models)| {
        let patience = Duration::ZERO;
        Resource::Pool(Pool { name, backing: Backing::Model, models, patience, idempotent: true })
    });
    let target = (name(), name()).prop_map(|(name, pool)| Resource::Target(target(name, pool)));
    prop_oneof![account, tier, pool, target]
}

fn target(name: String, pool: String) -> Target {
    let address = "127.0.0.1:1";
    let value = serde_json::json!({
        "name": name, "pool": pool, "host": name, "zone": "z",
        "control": address, "traffic": address
    });
    serde_json::from_value(value).unwrap()
}

/// A generated change. `expected` is the expected version; `None` means the resource's current version.
#[derive(Clone, Debug)]
struct Draft {
    id: u128,
    expected: Option<Offset>,
    action: Action,
}

fn draft() -> impl Strategy<Value = Draft> {
    let kind = prop::sample::select(vec![Kind::Account, Kind::Tier, Kind::Pool, Kind::Target]);
    let delete = (kind, name()).prop_map(|(kind, name)| Action::Delete(Key { kind, name }));
    let action = prop_oneof![3 => resource().prop_map(Action::Put), 1 => delete];
    let expected = prop_oneof![4 => Just(None), 1 => (0..20_u64).prop_map(Some)];
    let id = prop_oneof![4 => any::<u128>(), 1 => 0..6_u128];
    (id, expected, action).prop_map(|(id, expected, action)| Draft { id, expected, action })
}

/// Turns a draft into a change, with the expected version filled in from `state`.
fn change(state: &State, draft: Draft) -> Change {
    let expected = draft.expected.unwrap_or_else(|| state.version(&draft.action.key()));
    Change { schema: SCHEMA, id: Uuid::from_u128(draft.id), expected, action: draft.action }
}

fn verdict(outcome: Outcome) -> Verdict {
    match outcome {
        Outcome::Accepted(offset) => Verdict::Accepted(offset),
        Outcome::Conflict { stands } => Verdict::Conflict(stands),
        Outcome::Rejected(_) => Verdict::Rejected,
    }
}

/// Returns all resources of `state` with their versions, ordered by version.
fn resources_by_version(state: &State) -> Vec<(Offset, Resource)> {
    let kinds = [Kind::Account, Kind::Tier, Kind::Pool, Kind::Target];
    let all = kinds.into_iter().flat_map(|kind| state.list(kind));
    let mut all: Vec<_> = all.map(|found| (found.version, found.resource.clone())).collect();
    all.sort_by_key(|(version, _)| *version);
    all
}

fn config() -> Config {
    let cases = env::var("WAGTAILHILL_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against indices that no longer match the resources, also after a restore: `restarted` restores a
    // snapshot of `state` at each of the first `snapshot_count` changes and applies the changes after them
    // itself.
    #[test]
    fn the_configuration_decides_as_the_naive_model_does(
        drafts in prop::collection::vec(draft(), 1..60),
        snapshot_count in 0..60_usize,
    ) {
        let mut state = State::default();
        let mut restarted = State::default();
        let mut naive = NaiveConfig::default();

        for (index, draft) in drafts.into_iter().enumerate() {
            let change = change(&state, draft);
            let offset = index as Offset + 1;
            let record = serde_json::to_string(&change).unwrap();
            let outcome = state.apply(offset, &record).unwrap();
            if index < snapshot_count {
                restarted = State::default();
                restarted.restore(state.snapshot()).unwrap();
            } else {
                prop_assert_eq!(&restarted.apply(offset, &record).unwrap(), &outcome);
            }
            prop_assert_eq!(verdict(outcome), naive.apply(offset, &change));
        }

        naive.resources.sort_by_key(|(version, _)| *version);
        prop_assert_eq!(resources_by_version(&state), naive.resources);
        prop_assert_eq!(restarted, state);
    }
}
