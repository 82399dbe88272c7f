//! The configuration as the result of applying the records of the configuration log in order. Applying is
//! deterministic: processes that applied the same records hold equal states.

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

/// Prefix that `garde` gives the path of a field inside an enum variant. Findings name the field without it.
const VARIANT_PATH_PREFIX: &str = "[0].";

/// A stored resource with its current version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedResource {
    /// Offset of the last accepted change to the resource.
    pub version: Offset,
    /// The resource as of that version.
    pub resource: Resource,
}

/// The decision on a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change was accepted; it is in force from this offset on.
    Accepted(Offset),
    /// The change expected a version of the resource other than the current one.
    Conflict {
        /// Current version of the resource; 0 where the resource doesn't exist.
        stands: Offset,
    },
    /// The change is invalid, for these reasons.
    Rejected(Vec<Finding>),
}

/// The result of applying one record of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The decision on the record's change; a record that can't be parsed as a change is rejected.
    pub outcome: Outcome,
    /// The action that the change asks for, whether or not it was accepted; `None` where the record isn't a
    /// change.
    pub action: Option<Action>,
}

/// Why a record can't be applied.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// records between offset {applied} and offset {got} are missing
    Gap {
        /// Highest offset applied so far.
        applied: Offset,
        /// Offset of the record that was passed in.
        got: Offset,
    },
    /// offset {0} is applied already
    Stale(Offset),
}

/// The configuration as of one offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Highest offset applied; 0 before the first record. It never decreases.
    applied: Offset,
    resources: BTreeMap<Key, VersionedResource>,
    /// Outcomes of recent changes by change id, so that a retried change has no second effect.
    outcomes: Outcomes,
    /// Index over the accounts in `resources`, by the hash of their API key.
    account_by_key_hash: BTreeMap<KeyHash, AccountName>,
    /// Index over the pools in `resources`, by the models that they serve.
    pool_by_model: BTreeMap<ModelName, PoolName>,
    /// Index over the targets in `resources`, by pool; a pool without targets has no entry.
    targets_by_pool: BTreeMap<PoolName, BTreeSet<TargetName>>,
}

impl State {
    /// Returns the highest offset applied; 0 before the first record.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Applies the next record and returns the decision on it; a record that isn't a change is rejected.
    /// Fails where `offset` isn't the one after the highest offset applied.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<Outcome, Error> {
        Ok(self.apply_with_action(offset, payload)?.outcome)
    }

    /// Applies the next record, as [`State::apply`] does, and returns its action along with the decision.
    pub fn apply_with_action(
        &mut self,
        offset: Offset,
        payload: &str,
    ) -> Result<AppliedRecord, Error> {
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
                Ok(AppliedRecord { offset, outcome, action: Some(change.action) })
            }
            Err(error) => {
                let outcome = Outcome::Rejected(vec![Finding::new("record", error.to_string())]);
                Ok(AppliedRecord { offset, outcome, action: None })
            }
        }
    }

    /// Returns the decision that a change would get if it were the next record, without applying the change.
    pub fn preview(&self, change: &Change) -> Outcome {
        if let Some(outcome) = self.outcomes.repeat(change) {
            return outcome;
        }
        let stands = self.version(&change.action.key());
        if change.expected != stands {
            return Outcome::Conflict { stands };
        }
        let findings = self.findings_against(change);
        if findings.is_empty() {
            return Outcome::Accepted(self.applied + 1);
        }
        Outcome::Rejected(findings)
    }

    /// Returns the decision on an earlier change; `None` where the id is unknown or its outcome is
    /// no longer kept (see [`outcomes`]).
    pub fn outcome(&self, id: &ChangeId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// Returns the current version of a resource; 0 where the resource doesn't exist.
    pub fn version(&self, key: &Key) -> Offset {
        self.resources.get(key).map_or(0, |versioned| versioned.version)
    }

    /// Returns a resource by its key.
    pub fn get(&self, key: &Key) -> Option<&VersionedResource> {
        self.resources.get(key)
    }

    /// Returns all resources of a kind, ordered by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &VersionedResource> {
        let first = Key { kind, name: String::new() };
        let following = self.resources.range(first..);
        following.take_while(move |(key, _)| key.kind == kind).map(|(_, versioned)| versioned)
    }

    /// Returns the resources of a kind whose names sort after `name`, ordered by name.
    pub fn list_after(&self, kind: Kind, name: &str) -> impl Iterator<Item = &VersionedResource> {
        let from = Bound::Excluded(Key { kind, name: name.to_owned() });
        let after = self.resources.range((from, Bound::Unbounded));
        after.take_while(move |(key, _)| key.kind == kind).map(|(_, versioned)| versioned)
    }

    /// Returns the account whose API key has this hash.
    pub fn account_by_key(&self, hash: &KeyHash) -> Option<&Account> {
        let name = self.account_by_key_hash.get(hash)?;
        match &self.find(Kind::Account, name)?.resource {
            Resource::Account(account) => Some(account),
            _ => None,
        }
    }

    /// Returns a tier by its name.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        match &self.find(Kind::Tier, name)?.resource {
            Resource::Tier(tier) => Some(tier),
            _ => None,
        }
    }

    /// Returns a pool by its name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        match &self.find(Kind::Pool, name)?.resource {
            Resource::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// Returns the pool that serves a model.
    pub fn pool_of_model(&self, model: &str) -> Option<&Pool> {
        self.pool(self.pool_by_model.get(model)?)
    }

    /// Returns a target by its name.
    pub fn target(&self, name: &str) -> Option<&Target> {
        match &self.find(Kind::Target, name)?.resource {
            Resource::Target(target) => Some(target),
            _ => None,
        }
    }

    /// Returns the targets of a pool, ordered by name.
    pub fn targets(&self, pool: &str) -> impl Iterator<Item = &Target> {
        let names = self.targets_by_pool.get(pool).into_iter().flatten();
        names.filter_map(|name| self.target(name))
    }

    fn find(&self, kind: Kind, name: &str) -> Option<&VersionedResource> {
        self.resources.get(&Key { kind, name: name.to_owned() })
    }

    /// Decides a change at its offset, applies it where it is accepted and stores the outcome. A change whose
    /// id was used before isn't applied: it gets the outcome of [`Outcomes::repeat`].
    fn decide(&mut self, offset: Offset, change: &Change) -> Outcome {
        if let Some(outcome) = self.outcomes.repeat(change) {
            return outcome;
        }
        let outcome = match self.preview(change) {
            Outcome::Accepted(_) => Outcome::Accepted(offset),
            other => other,
        };
        if matches!(outcome, Outcome::Accepted(_)) {
            self.apply_action(offset, change.action.clone());
        }
        self.outcomes.insert(offset, change, outcome.clone());
        outcome
    }

    fn apply_action(&mut self, version: Offset, action: Action) {
        let key = action.key();
        if let Some(old) = self.resources.remove(&key) {
            self.unindex(&old.resource);
        }
        if let Action::Put(resource) = action {
            self.index(&resource);
            self.resources.insert(key, VersionedResource { version, resource });
        }
    }

    fn index(&mut self, resource: &Resource) {
        match resource {
            Resource::Account(account) => {
                self.account_by_key_hash.insert(account.key_hash.clone(), account.name.clone());
            }
            Resource::Pool(pool) => {
                for model in &pool.models {
                    self.pool_by_model.insert(model.clone(), pool.name.clone());
                }
            }
            Resource::Target(target) => {
                let names = self.targets_by_pool.entry(target.pool.clone()).or_default();
                names.insert(target.name.clone());
            }
            Resource::Tier(_) => {}
        }
    }

    fn unindex(&mut self, resource: &Resource) {
        match resource {
            Resource::Account(account) => {
                self.account_by_key_hash.remove(&account.key_hash);
            }
            Resource::Pool(pool) => {
                for model in &pool.models {
                    self.pool_by_model.remove(model);
                }
            }
            Resource::Target(target) => {
                let names = self.targets_by_pool.entry(target.pool.clone()).or_default();
                names.remove(&target.name);
                if names.is_empty() {
                    self.targets_by_pool.remove(&target.pool);
                }
            }
            Resource::Tier(_) => {}
        }
    }

    /// Returns every reason to reject a change in this state; empty where the change is valid. The expected
    /// version isn't checked here.
    fn findings_against(&self, change: &Change) -> Vec<Finding> {
        let mut findings = Vec::new();
        if change.schema != SCHEMA {
            let message = format!("this process knows only schema {SCHEMA}");
            findings.push(Finding::new("schema", message));
        }
        match &change.action {
            Action::Put(resource) => {
                findings.extend(value_findings(resource));
                findings.extend(self.reference_findings(resource));
            }
            Action::Delete(key) => findings.extend(self.dependent_findings(key)),
        }
        findings
    }

    fn reference_findings(&self, resource: &Resource) -> Vec<Finding> {
        match resource {
            Resource::Account(account) => self.account_findings(account),
            Resource::Tier(tier) => self.rank_findings(tier),
            Resource::Pool(pool) => self.model_findings(pool),
            Resource::Target(target) if self.pool(&target.pool).is_none() => {
                vec![Finding::new("pool", format!("there is no pool `{}`", target.pool))]
            }
            Resource::Target(_) => Vec::new(),
        }
    }

    fn account_findings(&self, account: &Account) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (index, tier) in account.tiers.iter().enumerate() {
            if self.tier(tier).is_none() {
                let place = format!("tiers[{index}]");
                findings.push(Finding::new(place, format!("there is no tier `{tier}`")));
            }
        }
        match self.account_by_key_hash.get(&account.key_hash) {
            Some(other) if *other != account.name => {
                findings.push(Finding::new("key_hash", format!("account `{other}` has this key")));
            }
            _ => {}
        }
        findings
    }

    fn rank_findings(&self, tier: &Tier) -> Vec<Finding> {
        let same_rank = |other: &&VersionedResource| match &other.resource {
            Resource::Tier(other) => other.rank == tier.rank && other.name != tier.name,
            _ => false,
        };
        let taken = self.list(Kind::Tier).find(same_rank);
        let report = |other: &VersionedResource| {
            Finding::new("rank", format!("tier `{}` has this rank", other.resource.key().name))
        };
        taken.map(report).into_iter().collect()
    }

    fn model_findings(&self, pool: &Pool) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (index, model) in pool.models.iter().enumerate() {
            match self.pool_by_model.get(model) {
                Some(other) if *other != pool.name => {
                    let place = format!("models[{index}]");
                    findings.push(Finding::new(place, format!("pool `{other}` serves this model")));
                }
                _ => {}
            }
        }
        findings
    }

    fn dependent_findings(&self, key: &Key) -> Vec<Finding> {
        let uses = |resource: &Resource| match (key.kind, resource) {
            (Kind::Tier, Resource::Account(account)) => account.tiers.contains(&key.name),
            (Kind::Pool, Resource::Target(target)) => target.pool == key.name,
            _ => false,
        };
        let users = self.resources.values().filter(|versioned| uses(&versioned.resource));
        let report = |user: &VersionedResource| {
            let user = user.resource.key();
            Finding::new("key", format!("{:?} `{}` still uses it", user.kind, user.name))
        };
        users.map(report).collect()
    }
}

fn value_findings(resource: &Resource) -> Vec<Finding> {
    let Err(report) = resource.validate() else {
        return Vec::new();
    };
    let finding = |(path, error): &(garde::Path, garde::Error)| {
        let path = path.to_string();
        let place = path.strip_prefix(VARIANT_PATH_PREFIX).unwrap_or(&path);
        Finding::new(place, error.message().to_string())
    };
    report.iter().map(finding).collect()
}

/// Returns the tier that a request of an account uses: the one it asked for, or the account's first tier
/// where it asked for none. Fails where the account may not use that tier, has none at all, or the tier
/// doesn't exist.
pub fn allowed_tier<'a>(
    state: &'a State,
    account: &Account,
    requested: Option<&TierName>,
) -> Result<&'a Tier, Finding> {
    let place = "header.x-wagtailhill-tier";
    let name = requested.or(account.tiers.first());
    let name = name.ok_or_else(|| Finding::new(place, "the client account has no tier"))?;
    if !account.tiers.contains(name) {
        let allowed = account.tiers.join(", ");
        let message = format!("the client account may not use tier `{name}`; it may use {allowed}");
        return Err(Finding::new(place, message));
    }
    state.tier(name).ok_or_else(|| Finding::new(place, format!("there is no tier `{name}`")))
}
