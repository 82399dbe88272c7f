//! Authentication of a request and its validation against the configuration. All findings of a
//! request are reported together.

use std::time::{Duration, Instant};

use model::{
    Finding, Refusal,
    refusal::Reason,
    resource::{Account, Backing, Pool, Tier},
};

use super::{
    claiming::Claim,
    event::{Call, Owner, Request},
    pending::{Pending, Stage},
};
use crate::config;

/// Maximum deadline that a caller may ask for.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);
/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Returns the client account that the request's API key belongs to, or a refusal if there is
/// none.
pub fn authenticate<'a>(
    config: &'a config::State,
    request: &Request,
) -> Result<&'a Account, Refusal> {
    let account = request.credential.as_ref().and_then(|hash| config.account_by_key(hash));
    account.ok_or_else(|| Refusal {
        findings: vec![Finding::new("header.authorization", "no client account has this key")],
        ..Refusal::not_run(Reason::Unauthorized, "the key opens no client account")
    })
}

/// Validates a request and turns it into a pending one, or returns a refusal with all findings.
pub fn admit(
    config: &config::State,
    now: Instant,
    account: &Account,
    request: Request,
) -> Result<Pending, Refusal> {
    let mut findings = request.findings.clone();
    let tier = config::allowed_tier(config, account, request.tier.as_ref());
    let pool = find_pool(config, request.call.as_ref());
    findings.extend(check_deadline(request.deadline));
    findings.extend(check_key(&request, pool.as_ref().ok().copied().flatten()));
    findings.extend(tier.as_ref().err().cloned());
    findings.extend(pool.as_ref().err().cloned());
    match (tier, pool) {
        (Ok(tier), Ok(Some(pool))) if findings.is_empty() => {
            Ok(new_pending(now, account, tier, pool, request))
        }
        _ => Err(Refusal::bad_input(findings)),
    }
}

fn new_pending(
    now: Instant,
    account: &Account,
    tier: &Tier,
    pool: &Pool,
    request: Request,
) -> Pending {
    Pending {
        owner: Owner { account: account.name.clone(), tier: tier.name.clone() },
        rank: tier.rank,
        pool: pool.name.clone(),
        deadline: now + request.deadline.unwrap_or(tier.deadline),
        widen_at: Some(now + pool.patience),
        stage: if request.key.is_some() { Stage::Claiming } else { Stage::Waiting },
        claim: Claim::None,
        attempts: 0,
        reservations: Default::default(),
        tried_targets: Default::default(),
        runs_alone: false,
        retry_rounds: 0,
        last_denial: None,
        request,
    }
}

/// Returns the pool that serves a call: `Ok(None)` if the call couldn't be read, for which the
/// request already has a finding, or a finding if there is no such pool.
fn find_pool<'a>(
    config: &'a config::State,
    call: Option<&Call>,
) -> Result<Option<&'a Pool>, Finding> {
    match call {
        None => Ok(None),
        Some(Call::Completion(model)) => match config.pool_of_model(model) {
            Some(pool) => Ok(Some(pool)),
            None => Err(Finding::new("body.model", format!("no pool serves model `{model}`"))),
        },
        Some(Call::Service(name)) => match config.pool(name) {
            Some(pool) if pool.backing == Backing::Service => Ok(Some(pool)),
            _ => Err(Finding::new("path.pool", format!("there is no service pool `{name}`"))),
        },
    }
}

fn check_deadline(deadline: Option<Duration>) -> Option<Finding> {
    let deadline = deadline?;
    if !deadline.is_zero() && deadline <= DEADLINE_LIMIT {
        return None;
    }
    let message = format!("must be between 1 and {} ms", DEADLINE_LIMIT.as_millis());
    Some(Finding::new("header.x-wagtailhill-deadline-ms", message))
}

/// Returns a finding if the idempotency key has an invalid length, or is missing from a call that
/// isn't idempotent. What the caller says about idempotence counts before the pool's default.
fn check_key(request: &Request, pool: Option<&Pool>) -> Option<Finding> {
    let header = "header.idempotency-key";
    if let Some(key) = &request.key {
        let is_valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
        return (!is_valid)
            .then(|| Finding::new(header, format!("must have 1 to {MAX_KEY_BYTES} bytes")));
    }
    let idempotent = request.idempotent.or(pool.map(|pool| pool.idempotent)).unwrap_or(true);
    let message = "a call that isn't idempotent needs an idempotency key";
    (!idempotent).then(|| Finding::new(header, message))
}
