//! Checks of a request against the configuration, all findings together.

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

/// Longest deadline that a caller may ask for.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);
/// Longest idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;

/// The account that sent a request.
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

/// Makes a pending request of one that has no fault.
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
            Ok(pending(now, account, tier, pool, request))
        }
        _ => Err(Refusal::bad_input(findings)),
    }
}

fn pending(now: Instant, account: &Account, tier: &Tier, pool: &Pool, request: Request) -> Pending {
    Pending {
        owner: Owner { account: account.name.clone(), tier: tier.name.clone() },
        rank: tier.rank,
        pool: pool.name.clone(),
        deadline: now + request.deadline.unwrap_or(tier.deadline),
        widen_at: Some(now + pool.patience),
        stage: if request.key.is_some() { Stage::Claiming } else { Stage::Waiting },
        claim: Claim::None,
        attempts: 0,
        open: Default::default(),
        tried: Default::default(),
        alone: false,
        rounds: 0,
        denial: None,
        request,
    }
}

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
    let rule = format!("must be between 1 and {} ms", DEADLINE_LIMIT.as_millis());
    Some(Finding::new("header.x-wagtailhill-deadline-ms", rule))
}

fn check_key(request: &Request, pool: Option<&Pool>) -> Option<Finding> {
    let place = "header.idempotency-key";
    if let Some(key) = &request.key {
        let fits = !key.is_empty() && key.len() <= KEY_LIMIT;
        return (!fits).then(|| Finding::new(place, format!("must have 1 to {KEY_LIMIT} bytes")));
    }
    let idempotent = request.idempotent.or(pool.map(|pool| pool.idempotent)).unwrap_or(true);
    let message = "a call that isn't idempotent needs an idempotency key";
    (!idempotent).then(|| Finding::new(place, message))
}
