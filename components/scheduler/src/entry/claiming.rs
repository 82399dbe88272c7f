//! Requests with an idempotency key. Each claims its key before it is reserved anywhere, so that at
//! most one attempt with the key runs. The claim is made at the key's home: the agent that keeps
//! the key, which is determined by the key and the current members.

use std::time::{Duration, Instant};

use model::{
    Finding, Refusal,
    claim::{self, Ask, Settle, Verdict},
    id::{ClaimKey, IdempotencyKey, RequestId},
    refusal::{Ran, Reason},
};

use super::{
    Effect, MAX_KEY_BYTES, Record, State,
    pending::{Pending, Stage},
};

/// Delay before a claim that wasn't decided is sent again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts to claim a key while the membership changes or is empty.
const MAX_CLAIM_TRIES: u32 = 20;
/// Maximum number of attempts to claim a key if the home is unreachable or its answer is lost.
const MAX_UNANSWERED_CLAIM_TRIES: u32 = 3;
/// Maximum number of attempts to report the outcome of a request to the home of its key.
const MAX_SETTLE_TRIES: u32 = 5;
/// Retry delay sent to a caller whose key is held by another attempt or couldn't be claimed.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay sent to a caller whose key can't be granted because an earlier home of the key is
/// unavailable or the home's memory for keys is full.
const UNSURE_RETRY_AFTER: Duration = Duration::from_secs(10);

/// State of a request's claim on its idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The request has no key, its claim hasn't been sent yet, or the claim was rejected.
    None,
    /// The claim was sent to the agent that keeps the key (its home), or will be.
    Asking {
        /// Number of attempts so far.
        tries: u32,
        /// When to send the claim again; `None` while an answer is pending.
        retry_at: Option<Instant>,
    },
    /// The request holds the key, so no other attempt with the key may run.
    Held,
}

impl Claim {
    /// Returns when the claim has to be sent again; `None` if it doesn't have to be.
    pub fn retry_at(&self) -> Option<Instant> {
        match self {
            Claim::Asking { retry_at, .. } => *retry_at,
            Claim::None | Claim::Held => None,
        }
    }

    /// Returns the number of attempts to claim the key so far; 0 if no claim is under way.
    fn tries(&self) -> u32 {
        match self {
            Claim::Asking { tries, .. } => *tries,
            Claim::None | Claim::Held => 0,
        }
    }
}

impl State {
    /// Sends a claim for a request's idempotency key to the key's home.
    pub(super) fn claim_key(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = claim_key_of(pending) else {
            return;
        };
        let tries = pending.claim.tries() + 1;
        let Some(home) = self.membership.home(key) else {
            self.set_claim(id, Claim::Asking { tries, retry_at: None });
            let message = "no agent has joined that could hold the idempotency key";
            return self.retry_claim(now, id, MAX_CLAIM_TRIES, message, effects);
        };
        let ask = Ask {
            key,
            attempt: id,
            epoch: self.membership.epoch(),
            minted: pending.request.key.as_ref().and_then(claim::minted),
        };
        effects.push(Effect::Claim { request: id, address: home.control, ask });
        self.set_claim(id, Claim::Asking { tries, retry_at: None });
    }

    /// Handles a home's answer to a claim; `None` means that the home is unreachable or that its
    /// answer was lost.
    pub(super) fn handle_verdict(
        &mut self,
        now: Instant,
        id: RequestId,
        verdict: Option<Verdict>,
        effects: &mut Vec<Effect>,
    ) {
        if self.requests.get(&id).is_none_or(|pending| pending.stage != Stage::Claiming) {
            return;
        }
        match verdict {
            Some(Verdict::Granted) => {
                self.hold_key(id);
                self.reserve_next(now, id, effects);
            }
            Some(Verdict::Behind { .. } | Verdict::Moved { .. } | Verdict::Leaving) => {
                let message = "the members change; the idempotency key's home can't be told";
                self.retry_claim(now, id, MAX_CLAIM_TRIES, message, effects);
            }
            None => {
                let message = "the agent that holds the idempotency key can't be reached";
                self.retry_claim(now, id, MAX_UNANSWERED_CLAIM_TRIES, message, effects);
            }
            Some(verdict) => {
                self.set_claim(id, Claim::None);
                self.refuse(id, refusal_for(verdict), effects);
            }
        }
    }

    /// Reports to the home of a request's key that the request ran, because its answer has begun.
    pub(super) fn report_ran(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let pending = self.requests.get(&id).filter(|pending| pending.claim == Claim::Held);
        if let Some(key) = pending.and_then(claim_key_of) {
            self.report_key_outcome(Settle { key, attempt: id, ran: true }, 0, effects);
        }
    }

    /// Releases the key of a request that ended without having started.
    pub(super) fn release_key(&self, pending: &Pending, effects: &mut Vec<Effect>) {
        let has_not_started = matches!(pending.stage, Stage::Claiming | Stage::Waiting);
        if !has_not_started || pending.claim == Claim::None {
            return;
        }
        if let Some(key) = claim_key_of(pending) {
            let settle = Settle { key, attempt: pending.request.id, ran: false };
            self.report_key_outcome(settle, 0, effects);
        }
    }

    /// Reports the outcome of a request to the home of its key. `tries` is the number of earlier
    /// attempts; from `MAX_SETTLE_TRIES` on, nothing is sent and the key stays held.
    pub(super) fn report_key_outcome(&self, settle: Settle, tries: u32, effects: &mut Vec<Effect>) {
        if tries >= MAX_SETTLE_TRIES {
            return;
        }
        if let Some(home) = self.membership.home(settle.key) {
            effects.push(Effect::Settle { address: home.control, settle, tries: tries + 1 });
        }
    }

    /// Applies records of the membership stream.
    pub(super) fn apply_membership_records(&mut self, records: Vec<Record>) {
        for record in records {
            // Errors are ignored: a record that was already applied has no effect, and a process
            // that has missed records sends its claims to an agent that isn't the home, which
            // doesn't grant them. This process never grants a key by itself.
            let _ = self.membership.apply(record.offset, &record.payload);
        }
        if let Some(latest) = self.membership.latest() {
            self.membership.prune(latest);
        }
    }

    /// Schedules another attempt to claim a key, or refuses the request if `max_tries` attempts
    /// have been made.
    fn retry_claim(
        &mut self,
        now: Instant,
        id: RequestId,
        max_tries: u32,
        message: &str,
        effects: &mut Vec<Effect>,
    ) {
        let tries = self.requests.get(&id).map_or(0, |pending| pending.claim.tries());
        if tries >= max_tries {
            let refusal = Refusal::new(Reason::Unclaimed, Ran::MayHaveRun, message);
            return self.refuse(id, refusal.retry_after(HELD_RETRY_AFTER), effects);
        }
        self.set_claim(id, Claim::Asking { tries, retry_at: Some(now + CLAIM_RETRY_DELAY) });
    }

    /// Records that a request holds its key and may be reserved at targets.
    fn hold_key(&mut self, id: RequestId) {
        self.unschedule(id);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.claim = Claim::Held;
            pending.stage = Stage::Waiting;
        }
        self.schedule(id);
    }

    fn set_claim(&mut self, id: RequestId, claim: Claim) {
        self.unschedule(id);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.claim = claim;
        }
        self.schedule(id);
    }
}

/// Adjusts a refusal for a request with an idempotency key. A refusal may say that nothing ran only
/// if the request holds the key, because another attempt with the same key may have run. Refusals
/// of requests without a valid key or client account stay as they are.
pub(super) fn qualify_for_key(
    key: Option<&IdempotencyKey>,
    claim: Claim,
    refusal: Refusal,
) -> Refusal {
    let has_valid_key = key.is_some_and(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
    let has_account = refusal.reason != Reason::Unauthorized;
    if refusal.ran == Ran::NotRun && has_valid_key && has_account && claim != Claim::Held {
        return Refusal { ran: Ran::MayHaveRun, ..refusal };
    }
    refusal
}

/// Returns the key under which a request's claim is kept; `None` if it has no idempotency key.
fn claim_key_of(pending: &Pending) -> Option<ClaimKey> {
    let key = pending.request.key.as_ref()?;
    Some(claim::key(&pending.owner.account, key))
}

/// Returns the refusal of a request whose claim wasn't granted.
fn refusal_for(verdict: Verdict) -> Refusal {
    let duplicate = |ran, message: &str| Refusal::new(Reason::Duplicate, ran, message);
    match verdict {
        Verdict::Ran => duplicate(Ran::Yes, "a request with this idempotency key ran"),
        Verdict::Expired => {
            duplicate(Ran::MayHaveRun, "the idempotency key is older than keys are remembered")
        }
        Verdict::Unsure => {
            let message = "an earlier home of the idempotency key was lost or can't be asked";
            Refusal::new(Reason::Unclaimed, Ran::MayHaveRun, message)
                .retry_after(UNSURE_RETRY_AFTER)
        }
        Verdict::Full => {
            let message = "the idempotency key's home remembers as many keys as it may";
            Refusal::new(Reason::Unclaimed, Ran::MayHaveRun, message)
                .retry_after(UNSURE_RETRY_AFTER)
        }
        Verdict::Ahead => {
            let finding = Finding::new(
                "header.idempotency-key",
                "the time in the key is ahead of the clock: check the caller's clock",
            );
            Refusal { ran: Ran::MayHaveRun, ..Refusal::bad_input(vec![finding]) }
        }
        Verdict::Held
        | Verdict::Granted
        | Verdict::Behind { .. }
        | Verdict::Moved { .. }
        | Verdict::Leaving => {
            let message = "a request with this idempotency key is in progress, or was lost";
            duplicate(Ran::MayHaveRun, message).retry_after(HELD_RETRY_AFTER)
        }
    }
}
