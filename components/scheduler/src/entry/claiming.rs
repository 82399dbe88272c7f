//! Requests with an idempotency key: they claim it at its home before they wait for a target.

use std::time::{Duration, Instant};

use model::{
    Finding, Refusal,
    claim::{self, Ask, Settle, Verdict},
    id::{ClaimKey, IdempotencyKey, RequestId},
    refusal::{Ran, Reason},
};

use super::{
    Effect, KEY_LIMIT, Record, State,
    pending::{Pending, Stage},
};

/// Wait before a home that couldn't decide is asked again.
const CLAIM_RETRY: Duration = Duration::from_millis(50);
/// Most times that a home is asked while members change.
const CLAIM_TRIES: u32 = 20;
/// Most times that a home is asked which gives no answer at all.
const SILENT_TRIES: u32 = 3;
/// Most times that a home is told what became of an attempt.
const SETTLE_TRIES: u32 = 5;
/// Advised wait for the attempt that holds the key.
const HELD_RETRY: Duration = Duration::from_secs(1);
/// Advised wait where an earlier home can't be asked.
const UNSURE_RETRY: Duration = Duration::from_secs(10);

/// What is known of a request's idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It has none, or another attempt has the key.
    None,
    /// Its home was asked, or will be.
    Asking {
        /// How often.
        tries: u32,
        /// When to ask next; `None` while an answer is due.
        retry_at: Option<Instant>,
    },
    /// This attempt alone may run.
    Held,
}

impl Claim {
    /// When the home has to be asked again.
    pub fn retry_at(&self) -> Option<Instant> {
        match self {
            Claim::Asking { retry_at, .. } => *retry_at,
            Claim::None | Claim::Held => None,
        }
    }

    fn tries(&self) -> u32 {
        match self {
            Claim::Asking { tries, .. } => *tries,
            Claim::None | Claim::Held => 0,
        }
    }
}

impl State {
    /// Asks the key's home for the key.
    pub(super) fn ask_home(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = key(pending) else {
            return;
        };
        let tries = pending.claim.tries() + 1;
        let Some(home) = self.members.home(key) else {
            self.set_claim(id, Claim::Asking { tries, retry_at: None });
            let message = "no agent has joined that could hold the idempotency key";
            return self.ask_later(now, id, CLAIM_TRIES, message, effects);
        };
        let ask = Ask {
            key,
            attempt: id,
            epoch: self.members.epoch(),
            minted: pending.request.key.as_ref().and_then(claim::minted),
        };
        effects.push(Effect::Claim { request: id, address: home.control, ask });
        self.set_claim(id, Claim::Asking { tries, retry_at: None });
    }

    /// Takes a home's answer.
    pub(super) fn claimed(
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
                self.take_key(id);
                self.seek(now, id, effects);
            }
            Some(Verdict::Behind { .. } | Verdict::Moved { .. } | Verdict::Leaving) => {
                let message = "the members change; the idempotency key's home can't be told";
                self.ask_later(now, id, CLAIM_TRIES, message, effects);
            }
            None => {
                let message = "the agent that holds the idempotency key can't be reached";
                self.ask_later(now, id, SILENT_TRIES, message, effects);
            }
            Some(verdict) => {
                self.set_claim(id, Claim::None);
                self.refuse(id, refusal(verdict), effects);
            }
        }
    }

    /// The request's answer has begun: tells the key's home.
    pub(super) fn ran(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let pending = self.requests.get(&id).filter(|pending| pending.claim == Claim::Held);
        if let Some(key) = pending.and_then(key) {
            self.settle_key(Settle { key, attempt: id, ran: true }, 0, effects);
        }
    }

    /// Frees the key of a request that ended before it was told to start.
    pub(super) fn release(&self, pending: &Pending, effects: &mut Vec<Effect>) {
        let never_started = matches!(pending.stage, Stage::Claiming | Stage::Waiting);
        if !never_started || pending.claim == Claim::None {
            return;
        }
        if let Some(key) = key(pending) {
            let settle = Settle { key, attempt: pending.request.id, ran: false };
            self.settle_key(settle, 0, effects);
        }
    }

    /// Tells the key's home what became of an attempt; after some failures nobody is told, and
    /// the key stays held.
    pub(super) fn settle_key(&self, settle: Settle, tries: u32, effects: &mut Vec<Effect>) {
        if tries >= SETTLE_TRIES {
            return;
        }
        if let Some(home) = self.members.home(settle.key) {
            effects.push(Effect::Settle { address: home.control, settle, tries: tries + 1 });
        }
    }

    /// Applies records of the membership stream.
    pub(super) fn follow(&mut self, records: Vec<Record>) {
        for record in records {
            // A record that was read before has no effect. An entry that misses some asks the
            // wrong home, which refuses; it decides nothing by itself.
            let _ = self.members.apply(record.offset, &record.payload);
        }
        if let Some(latest) = self.members.latest() {
            self.members.prune(latest);
        }
    }

    fn ask_later(
        &mut self,
        now: Instant,
        id: RequestId,
        most: u32,
        message: &str,
        effects: &mut Vec<Effect>,
    ) {
        let tries = self.requests.get(&id).map_or(0, |pending| pending.claim.tries());
        if tries >= most {
            let refusal = Refusal::new(Reason::Unclaimed, Ran::MayHaveRun, message);
            return self.refuse(id, refusal.retry_after(HELD_RETRY), effects);
        }
        self.set_claim(id, Claim::Asking { tries, retry_at: Some(now + CLAIM_RETRY) });
    }

    fn take_key(&mut self, id: RequestId) {
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

/// Makes a refusal speak of the key: only the attempt that holds it may say that nothing ran.
pub(super) fn speak(key: Option<&IdempotencyKey>, claim: Claim, refusal: Refusal) -> Refusal {
    let names_key = key.is_some_and(|key| (1..=KEY_LIMIT).contains(&key.len()));
    let is_known = refusal.reason != Reason::Unauthorized;
    if refusal.ran == Ran::NotRun && names_key && is_known && claim != Claim::Held {
        return Refusal { ran: Ran::MayHaveRun, ..refusal };
    }
    refusal
}

fn key(pending: &Pending) -> Option<ClaimKey> {
    let key = pending.request.key.as_ref()?;
    Some(claim::key(&pending.owner.account, key))
}

fn refusal(verdict: Verdict) -> Refusal {
    let duplicate = |ran, message: &str| Refusal::new(Reason::Duplicate, ran, message);
    match verdict {
        Verdict::Ran => duplicate(Ran::Yes, "a request with this idempotency key ran"),
        Verdict::Expired => {
            duplicate(Ran::MayHaveRun, "the idempotency key is older than keys are remembered")
        }
        Verdict::Unsure => {
            let message = "an earlier home of the idempotency key was lost or can't be asked";
            Refusal::new(Reason::Unclaimed, Ran::MayHaveRun, message).retry_after(UNSURE_RETRY)
        }
        Verdict::Full => {
            let message = "the idempotency key's home remembers as many keys as it may";
            Refusal::new(Reason::Unclaimed, Ran::MayHaveRun, message).retry_after(UNSURE_RETRY)
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
            duplicate(Ran::MayHaveRun, message).retry_after(HELD_RETRY)
        }
    }
}
