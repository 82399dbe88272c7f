//! The fold over the configuration stream: every process comes to the same state.

pub mod outcomes;
pub mod snapshot;

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use displaydoc::Display;
use garde::Validate;
use model::{
    Change, Finding, Resource,
    change::{Action, SCHEMA},
    credential::KeyHash,
    id::{AccountName, ChangeId, ModelName, Offset, PoolName, TargetName, TierName},
    resource::{Account, Key, Kind, Pool, Target, Tier},
};
use outcomes::Outcomes;
use serde::{Deserialize, Serialize};
pub use snapshot::Snapshot;
use thiserror::Error;

/// What `garde` puts before the path of a value within an enum's variant.
const VARIANT: &str = "[0].";

/// A resource with the version that stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned {
    /// Offset of its last accepted change.
    pub version: Offset,
    /// The resource.
    pub resource: Resource,
}

/// What a change came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is in force from this offset on.
    Accepted(Offset),
    /// Another version stands; 0 means that none does.
    Conflict {
        /// The version that stands.
        stands: Offset,
    },
    /// It can't be accepted as it is.
    Rejected(Vec<Finding>),
}

/// A record that was applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Its offset.
    pub offset: Offset,
    /// What it came to.
    pub outcome: Outcome,
    /// What it would do; `None` where it isn't a change.
    pub action: Option<Action>,
}

/// Why a record can't be applied.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// records between offset {applied} and offset {got} are missing
    Gap {
        /// Highest offset that is applied.
        applied: Offset,
        /// Offset of the record that was given.
        got: Offset,
    },
    /// offset {0} is applied already
    Stale(Offset),
}

/// The configuration as of one offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Highest offset that is applied; never falls.
    applied: Offset,
    resources: BTreeMap<Key, Versioned>,
    /// What recent changes came to, for repeats of the same id.
    outcomes: Outcomes,
    /// Indices over `resources`.
    accounts: BTreeMap<KeyHash, AccountName>,
    models: BTreeMap<ModelName, PoolName>,
    targets: BTreeMap<PoolName, BTreeSet<TargetName>>,
}

impl State {
    /// Highest offset that is applied.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Applies the next record; a record that isn't a change counts as rejected.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<Outcome, Error> {
        Ok(self.step(offset, payload)?.outcome)
    }

    /// Applies the next record and tells what it did.
    pub fn step(&mut self, offset: Offset, payload: &str) -> Result<Step, Error> {
        if offset <= self.applied {
            return Err(Error::Stale(offset));
        }
        if offset != self.applied + 1 {
            return Err(Error::Gap { applied: self.applied, got: offset });
        }
        self.applied = offset;
        self.outcomes.trim(offset);
        match serde_json::from_str::<Change>(payload) {
            Ok(change) => {
                let outcome = self.decide(offset, &change);
                Ok(Step { offset, outcome, action: Some(change.action) })
            }
            Err(error) => {
                let outcome = Outcome::Rejected(vec![Finding::new("record", error.to_string())]);
                Ok(Step { offset, outcome, action: None })
            }
        }
    }

    /// Says what a change would come to if it were the next record; changes nothing.
    pub fn preview(&self, change: &Change) -> Outcome {
        if let Some(outcome) = self.outcomes.repeat(change) {
            return outcome;
        }
        let stands = self.version(&change.action.key());
        if change.expected != stands {
            return Outcome::Conflict { stands };
        }
        let findings = self.check(change);
        if findings.is_empty() {
            return Outcome::Accepted(self.applied + 1);
        }
        Outcome::Rejected(findings)
    }

    /// What an earlier change came to.
    pub fn outcome(&self, id: &ChangeId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// The version that stands; 0 where there is none.
    pub fn version(&self, key: &Key) -> Offset {
        self.resources.get(key).map_or(0, |versioned| versioned.version)
    }

    /// One resource.
    pub fn get(&self, key: &Key) -> Option<&Versioned> {
        self.resources.get(key)
    }

    /// All resources of a kind, in the order of their names.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Versioned> {
        let first = Key { kind, name: String::new() };
        let later = self.resources.range(first..);
        later.take_while(move |(key, _)| key.kind == kind).map(|(_, versioned)| versioned)
    }

    /// The resources of a kind whose names come after one, in the order of their names.
    pub fn list_after(&self, kind: Kind, name: &str) -> impl Iterator<Item = &Versioned> {
        let from = Bound::Excluded(Key { kind, name: name.to_owned() });
        let after = self.resources.range((from, Bound::Unbounded));
        after.take_while(move |(key, _)| key.kind == kind).map(|(_, versioned)| versioned)
    }

    /// The account that a key opens.
    pub fn account_by_key(&self, hash: &KeyHash) -> Option<&Account> {
        let name = self.accounts.get(hash)?;
        match &self.find(Kind::Account, name)?.resource {
            Resource::Account(account) => Some(account),
            _ => None,
        }
    }

    /// A tier.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        match &self.find(Kind::Tier, name)?.resource {
            Resource::Tier(tier) => Some(tier),
            _ => None,
        }
    }

    /// A pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        match &self.find(Kind::Pool, name)?.resource {
            Resource::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// The pool that serves a model.
    pub fn pool_of_model(&self, model: &str) -> Option<&Pool> {
        self.pool(self.models.get(model)?)
    }

    /// A target.
    pub fn target(&self, name: &str) -> Option<&Target> {
        match &self.find(Kind::Target, name)?.resource {
            Resource::Target(target) => Some(target),
            _ => None,
        }
    }

    /// The targets of a pool, in the order of their names.
    pub fn targets(&self, pool: &str) -> impl Iterator<Item = &Target> {
        let names = self.targets.get(pool).into_iter().flatten();
        names.filter_map(|name| self.target(name))
    }

    fn find(&self, kind: Kind, name: &str) -> Option<&Versioned> {
        self.resources.get(&Key { kind, name: name.to_owned() })
    }

    fn decide(&mut self, offset: Offset, change: &Change) -> Outcome {
        if let Some(outcome) = self.outcomes.repeat(change) {
            return outcome;
        }
        let outcome = match self.preview(change) {
            Outcome::Accepted(_) => Outcome::Accepted(offset),
            other => other,
        };
        if matches!(outcome, Outcome::Accepted(_)) {
            self.put(offset, change.action.clone());
        }
        self.outcomes.insert(offset, change, outcome.clone());
        outcome
    }

    fn put(&mut self, version: Offset, action: Action) {
        let key = action.key();
        if let Some(old) = self.resources.remove(&key) {
            self.unindex(&old.resource);
        }
        if let Action::Put(resource) = action {
            self.index(&resource);
            self.resources.insert(key, Versioned { version, resource });
        }
    }

    fn index(&mut self, resource: &Resource) {
        match resource {
            Resource::Account(account) => {
                self.accounts.insert(account.key_hash.clone(), account.name.clone());
            }
            Resource::Pool(pool) => {
                for model in &pool.models {
                    self.models.insert(model.clone(), pool.name.clone());
                }
            }
            Resource::Target(target) => {
                let names = self.targets.entry(target.pool.clone()).or_default();
                names.insert(target.name.clone());
            }
            Resource::Tier(_) => {}
        }
    }

    fn unindex(&mut self, resource: &Resource) {
        match resource {
            Resource::Account(account) => {
                self.accounts.remove(&account.key_hash);
            }
            Resource::Pool(pool) => {
                for model in &pool.models {
                    self.models.remove(model);
                }
            }
            Resource::Target(target) => {
                let names = self.targets.entry(target.pool.clone()).or_default();
                names.remove(&target.name);
                if names.is_empty() {
                    self.targets.remove(&target.pool);
                }
            }
            Resource::Tier(_) => {}
        }
    }

    /// Every finding that speaks against a change on top of this state.
    fn check(&self, change: &Change) -> Vec<Finding> {
        let mut findings = Vec::new();
        if change.schema != SCHEMA {
            let message = format!("this process knows only schema {SCHEMA}");
            findings.push(Finding::new("schema", message));
        }
        match &change.action {
            Action::Put(resource) => {
                findings.extend(values(resource));
                findings.extend(self.references(resource));
            }
            Action::Delete(key) => findings.extend(self.dependants(key)),
        }
        findings
    }

    fn references(&self, resource: &Resource) -> Vec<Finding> {
        match resource {
            Resource::Account(account) => self.account_references(account),
            Resource::Tier(tier) => self.rank_taken(tier),
            Resource::Pool(pool) => self.models_taken(pool),
            Resource::Target(target) if self.pool(&target.pool).is_none() => {
                vec![Finding::new("pool", format!("there is no pool `{}`", target.pool))]
            }
            Resource::Target(_) => Vec::new(),
        }
    }

    fn account_references(&self, account: &Account) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (index, tier) in account.tiers.iter().enumerate() {
            if self.tier(tier).is_none() {
                let place = format!("tiers[{index}]");
                findings.push(Finding::new(place, format!("there is no tier `{tier}`")));
            }
        }
        match self.accounts.get(&account.key_hash) {
            Some(other) if *other != account.name => {
                findings.push(Finding::new("key_hash", format!("account `{other}` has this key")));
            }
            _ => {}
        }
        findings
    }

    fn rank_taken(&self, tier: &Tier) -> Vec<Finding> {
        let same_rank = |other: &&Versioned| match &other.resource {
            Resource::Tier(other) => other.rank == tier.rank && other.name != tier.name,
            _ => false,
        };
        let taken = self.list(Kind::Tier).find(same_rank);
        let report = |other: &Versioned| {
            Finding::new("rank", format!("tier `{}` has this rank", other.resource.key().name))
        };
        taken.map(report).into_iter().collect()
    }

    fn models_taken(&self, pool: &Pool) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (index, model) in pool.models.iter().enumerate() {
            match self.models.get(model) {
                Some(other) if *other != pool.name => {
                    let place = format!("models[{index}]");
                    findings.push(Finding::new(place, format!("pool `{other}` serves this model")));
                }
                _ => {}
            }
        }
        findings
    }

    fn dependants(&self, key: &Key) -> Vec<Finding> {
        let uses = |resource: &Resource| match (key.kind, resource) {
            (Kind::Tier, Resource::Account(account)) => account.tiers.contains(&key.name),
            (Kind::Pool, Resource::Target(target)) => target.pool == key.name,
            _ => false,
        };
        let users = self.resources.values().filter(|versioned| uses(&versioned.resource));
        let report = |user: &Versioned| {
            let user = user.resource.key();
            Finding::new("key", format!("{:?} `{}` still uses it", user.kind, user.name))
        };
        users.map(report).collect()
    }
}

fn values(resource: &Resource) -> Vec<Finding> {
    let Err(report) = resource.validate() else {
        return Vec::new();
    };
    let finding = |(path, error): &(garde::Path, garde::Error)| {
        let path = path.to_string();
        let place = path.strip_prefix(VARIANT).unwrap_or(&path);
        Finding::new(place, error.message().to_string())
    };
    report.iter().map(finding).collect()
}

/// The tier that an account may use under this name, or its default.
pub fn allowed_tier<'a>(
    state: &'a State,
    account: &Account,
    asked: Option<&TierName>,
) -> Result<&'a Tier, Finding> {
    let place = "header.x-wagtailhill-tier";
    let name = asked.or(account.tiers.first());
    let name = name.ok_or_else(|| Finding::new(place, "the client account has no tier"))?;
    if !account.tiers.contains(name) {
        let allowed = account.tiers.join(", ");
        let message = format!("the client account may not use tier `{name}`; it may use {allowed}");
        return Err(Finding::new(place, message));
    }
    state.tier(name).ok_or_else(|| Finding::new(place, format!("there is no tier `{name}`")))
}
