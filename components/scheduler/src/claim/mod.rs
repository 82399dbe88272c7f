//! Reducer of claims: decides which attempt of a request with an idempotency key may run.
//!
//! The home of a key is the agent to which rendezvous hashing over the members assigns the key.
//! Each agent keeps, in memory only, the claims of the keys whose home it is, and grants a key to
//! one attempt. Before it grants a key that no attempt holds there, it asks every incarnation of
//! an agent that was the key's home within [`WINDOW`]. The question also fences the key: the
//! asked agent grants it no more under an epoch older than the question's. An earlier home that
//! hasn't applied the membership change yet therefore can't grant the key a second time.

mod event;
mod handover;
mod table;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{
    claim::{Answer, Ask, Mark, Question, Settle, Transfer, Verdict},
    id::{ClaimKey, IncarnationId, Offset, RequestId},
};

pub use event::{Clock, Effect, Event};
use handover::Handover;
pub use table::RETENTION;
use table::{Table, merge};

use crate::{
    config,
    entry::Record,
    membership::{self, CLOCK_ERROR_LIMIT, End, Home, WINDOW},
};

/// Maximum age of the log's last confirmation of the membership epoch at which an agent still
/// decides claims. Together with [`RETENTION`] it fits into [`WINDOW`]: a former home is asked for
/// its claims until each of them has expired, also one granted at the end of this time.
pub const STALE_EPOCH_LIMIT: Duration = Duration::from_secs(20 * 3_600);
const _: () = assert!(STALE_EPOCH_LIMIT.as_secs() + RETENTION.as_secs() <= WINDOW.as_secs());
/// Maximum time by which the time carried by a key may be ahead of the agent's wall clock.
pub const KEY_AHEAD_LIMIT: Duration = Duration::from_secs(5);

/// Settings of the reducer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Incarnation of this agent; [`Event::Rejoin`] replaces it.
    pub incarnation: IncarnationId,
    /// Number of stored claims at which no further key is granted; also the maximum number of keys
    /// with a fence of their own.
    pub claims: usize,
}

/// A claim that waits for the answers of the key's earlier homes.
#[derive(Clone, Debug)]
struct PendingClaim {
    ask: Ask,
    /// Membership epoch at which the earlier homes were determined.
    epoch: Offset,
    /// Incarnations that haven't answered yet.
    unanswered: BTreeSet<IncarnationId>,
    /// Merge of this agent's own mark and those answered so far; `None` while there is none.
    mark: Option<Mark>,
    /// Whether an incarnation was unreachable or its process has lost its claims.
    is_unsure: bool,
}

/// State from which an agent decides claims.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    /// Earlier incarnations of this same process, which other processes removed as lost. The
    /// process still has their claims.
    past_incarnations: BTreeSet<IncarnationId>,
    members: membership::State,
    /// Time at which the log last confirmed that all membership records are applied; `None`
    /// before the first time.
    confirmed_at: Option<Instant>,
    /// Whether membership records are missing, so that no later epoch can be confirmed.
    has_gap: bool,
    table: Table,
    /// Claims that wait for earlier homes. Contains no key whose mark in `table` is `Held` or
    /// `Ran`.
    pending: BTreeMap<ClaimKey, PendingClaim>,
    /// Fence of each fenced key: the epoch that this agent must apply before it grants the key.
    key_fences: BTreeMap<ClaimKey, Offset>,
    /// Fence of all keys, used once `key_fences` is full; 0 fences no key.
    common_fence: Offset,
    handover: Handover,
}

/// Returns the state of an agent that has applied no membership record and stores no claim.
pub fn open(settings: Settings) -> State {
    State {
        settings,
        past_incarnations: BTreeSet::new(),
        members: membership::State::default(),
        confirmed_at: None,
        has_gap: false,
        table: Table::open(settings.claims),
        pending: BTreeMap::new(),
        key_fences: BTreeMap::new(),
        common_fence: 0,
        handover: Handover::default(),
    }
}

/// Applies one event to the state and returns the effects to carry out.
pub fn reduce(state: &mut State, clock: Clock, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    state.table.expire(clock.now);
    match event {
        Event::Claim(ask) => state.decide(clock, ask, &mut effects),
        Event::Asked(question) => effects.push(Effect::Tell(state.answer_question(question))),
        Event::Answered { key, incarnation, answer } => {
            state.apply_answer(clock, key, incarnation, answer, &mut effects);
        }
        Event::Settle(settle) => state.settle(clock, settle, &mut effects),
        Event::Received(claims) => state.store_transfers(clock, &claims),
        Event::Records(records) => state.apply_records(clock, records),
        Event::CaughtUp => state.confirmed_at = Some(clock.now),
        Event::HandOver => state.hand_over(&mut effects),
        Event::HandOverFailed => state.handover.restart(),
        Event::Freeze => state.handover.is_frozen = true,
        Event::Rejoin(incarnation) => {
            state.past_incarnations.insert(state.settings.incarnation);
            state.settings.incarnation = incarnation;
        }
        Event::Thaw => state.handover = Handover::default(),
    }
    effects
}

impl State {
    /// Returns the membership as of the last record that this agent has applied.
    pub fn members(&self) -> &membership::State {
        &self.members
    }

    /// Returns the current incarnation of this agent.
    pub fn incarnation(&self) -> IncarnationId {
        self.settings.incarnation
    }

    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn decide(&mut self, clock: Clock, ask: Ask, effects: &mut Vec<Effect>) {
        let verdict = match self.decide_locally(clock, &ask) {
            Some(verdict) => verdict,
            None => match self.ask_earlier_homes(clock, ask, effects) {
                Some(verdict) => verdict,
                None => return,
            },
        };
        effects.push(Effect::Reply { attempt: ask.attempt, verdict });
    }

    /// Returns the verdict that needs no question to other agents; `None` where the key's earlier
    /// homes have to be asked.
    fn decide_locally(&self, clock: Clock, ask: &Ask) -> Option<Verdict> {
        let epoch = self.members.epoch();
        if ask.epoch > epoch || self.is_fenced(ask.key) || !self.is_confirmed(clock.now) {
            return Some(Verdict::Behind { epoch });
        }
        if !self.is_home(ask.key) {
            return Some(Verdict::Moved { epoch });
        }
        if self.handover.is_frozen {
            return Some(Verdict::Leaving);
        }
        match self.table.get(ask.key) {
            Some(Mark::Held(holder)) => Some(verdict_of_held(holder, ask.attempt)),
            Some(Mark::Ran) => Some(Verdict::Ran),
            // The released attempt was reported as never run, so a delayed copy of its ask mustn't
            // be granted.
            Some(Mark::Free(released)) if released == ask.attempt => Some(Verdict::Held),
            Some(Mark::Free(_)) => self.check_key_time(clock, ask),
            None if self.table.is_full() => Some(Verdict::Full),
            None => self.check_key_time(clock, ask),
        }
    }

    /// Returns the rejection of a key whose own time is too far ahead, or so old that a claim of it
    /// may have expired already; `None` where the key carries no time or an acceptable one.
    fn check_key_time(&self, clock: Clock, ask: &Ask) -> Option<Verdict> {
        let minted = ask.minted?;
        if minted > clock.wall + KEY_AHEAD_LIMIT {
            return Some(Verdict::Ahead);
        }
        let earliest_expiry = minted + RETENTION - KEY_AHEAD_LIMIT - CLOCK_ERROR_LIMIT * 2;
        (clock.wall > earliest_expiry).then_some(Verdict::Expired)
    }

    /// Sends questions to the key's earlier homes and returns `None`; returns the verdict where no
    /// question is needed. A repeated ask of the same attempt waits for the answers to the first.
    fn ask_earlier_homes(
        &mut self,
        clock: Clock,
        ask: Ask,
        effects: &mut Vec<Effect>,
    ) -> Option<Verdict> {
        if let Some(pending) = self.pending.get(&ask.key) {
            return (pending.ask.attempt != ask.attempt).then_some(Verdict::Held);
        }
        let epoch = self.members.epoch();
        let homes: Vec<Home<'_>> = self.homes_to_ask(clock, &ask).collect();
        if homes.iter().any(|home| home.former.is_some_and(|former| former.end == End::Ended)) {
            return Some(Verdict::Unsure);
        }
        if homes.is_empty() {
            self.grant(clock.now, ask);
            return Some(Verdict::Granted);
        }
        let mark = self.table.get(ask.key);
        let free = match mark {
            Some(Mark::Free(released)) => Some(released),
            _ => None,
        };
        for Home { incarnation, .. } in &homes {
            let question = Question { key: ask.key, incarnation: incarnation.id, epoch, free };
            effects.push(Effect::Ask { address: incarnation.control, question });
        }
        let unanswered = homes.iter().map(|home| home.incarnation.id).collect();
        let pending = PendingClaim { ask, epoch, unanswered, mark, is_unsure: false };
        self.pending.insert(ask.key, pending);
        None
    }

    /// Returns the earlier homes that may have a claim of the key which this process doesn't have.
    fn homes_to_ask<'a>(&'a self, clock: Clock, ask: &Ask) -> impl Iterator<Item = Home<'a>> {
        let ask = *ask;
        let homes = self.members.homes(ask.key).into_iter();
        homes.filter(move |home| {
            !self.is_own(home.incarnation.id)
                && !home.has_handed_over()
                && !cannot_have_claim(home, clock, &ask)
        })
    }

    /// Merges the answer of an earlier home into the pending claim, and decides the claim once all
    /// have answered. `None` means that the home was unreachable.
    fn apply_answer(
        &mut self,
        clock: Clock,
        key: ClaimKey,
        incarnation: IncarnationId,
        answer: Option<Answer>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        if !pending.unanswered.remove(&incarnation) {
            return;
        }
        match answer {
            None | Some(Answer::Stranger) => pending.is_unsure = true,
            Some(Answer::Unknown) => {}
            Some(Answer::Known(mark)) => {
                pending.mark = Some(pending.mark.map_or(mark, |old| merge(old, mark)));
            }
        }
        if !pending.unanswered.is_empty() {
            return;
        }
        if let Some(pending) = self.pending.remove(&key) {
            let verdict = self.decide_pending(clock, &pending);
            effects.push(Effect::Reply { attempt: pending.ask.attempt, verdict });
        }
    }

    /// Returns the verdict on a claim whose earlier homes have all answered.
    ///
    /// The local checks are repeated, since the state may have changed while the questions were in
    /// flight. If the membership epoch changed, the verdict is [`Verdict::Behind`], so that the
    /// entry asks again and the earlier homes are determined anew.
    fn decide_pending(&mut self, clock: Clock, pending: &PendingClaim) -> Verdict {
        let ask = pending.ask;
        let own = self.table.get(ask.key);
        let mark =
            own.map_or(pending.mark, |own| Some(pending.mark.map_or(own, |m| merge(own, m))));
        if let Some(mark) = mark.filter(|mark| !matches!(mark, Mark::Free(_))) {
            self.store(clock.now, ask.key, mark);
        }
        if let Some(verdict) = self.decide_locally(clock, &ask) {
            return verdict;
        }
        if self.members.epoch() != pending.epoch {
            return Verdict::Behind { epoch: self.members.epoch() };
        }
        if pending.is_unsure {
            return Verdict::Unsure;
        }
        if mark == Some(Mark::Free(ask.attempt)) {
            return Verdict::Held;
        }
        self.grant(clock.now, ask);
        Verdict::Granted
    }

    fn grant(&mut self, now: Instant, ask: Ask) {
        self.store(now, ask.key, Mark::Held(ask.attempt));
    }

    /// Returns the answer to a later home of a key, and fences the key where the question's epoch
    /// is newer than this agent's. An attempt that the question reports as never run is recorded as
    /// released first.
    fn answer_question(&mut self, question: Question) -> Answer {
        if !self.is_own(question.incarnation) {
            return Answer::Stranger;
        }
        if question.epoch > self.members.epoch() {
            self.fence_key(question);
        }
        let Some(mark) = self.table.get(question.key) else {
            return Answer::Unknown;
        };
        let mark = question.free.map_or(mark, |free| merge(mark, Mark::Free(free)));
        self.update(question.key, mark);
        Answer::Known(mark)
    }

    /// Fences the key of a question: this agent grants the key only once it has applied the
    /// question's epoch. If too many keys are fenced already, the fence applies to all keys.
    fn fence_key(&mut self, question: Question) {
        if self.key_fences.len() >= self.settings.claims {
            self.common_fence = self.common_fence.max(question.epoch);
            return;
        }
        let fence = self.key_fences.entry(question.key).or_default();
        *fence = question.epoch.max(*fence);
    }

    /// Records whether a granted attempt ran. An unknown claim is stored only where this agent is
    /// the key's home, is not frozen and has capacity.
    fn settle(&mut self, clock: Clock, settle: Settle, effects: &mut Vec<Effect>) {
        let reported = match settle.ran {
            true => Mark::Ran,
            false => Mark::Free(settle.attempt),
        };
        let taken = self.is_home(settle.key) && !self.handover.is_frozen;
        match self.table.get(settle.key) {
            Some(old) => self.update(settle.key, merge(old, reported)),
            None if taken && !self.table.is_full() => self.store(clock.now, settle.key, reported),
            None => {}
        }
        effects.push(Effect::Settled { taken });
    }

    /// Stores the claims that a leaving agent hands over, also beyond the maximum number of claims.
    fn store_transfers(&mut self, clock: Clock, claims: &[Transfer]) {
        for Transfer { key, mark } in claims {
            let own = self.table.get(*key);
            self.store(clock.now, *key, own.map_or(*mark, |own| merge(own, *mark)));
        }
    }

    /// Stores the mark of a key (whether it is free, held or its request ran) for [`RETENTION`] from
    /// now on.
    fn store(&mut self, now: Instant, key: ClaimKey, mark: Mark) {
        self.table.set(now, key, mark);
        self.handover.mark_changed(key);
    }

    /// Changes the mark of a stored claim (whether the key is free, held or its request ran); the
    /// claim keeps its expiry time.
    fn update(&mut self, key: ClaimKey, mark: Mark) {
        self.table.update(key, mark);
        self.handover.mark_changed(key);
    }

    /// Applies records of the membership stream and removes the fences that their epoch lifts.
    fn apply_records(&mut self, clock: Clock, records: Vec<Record>) {
        for record in records {
            // A record that was applied before is returned as an error and has no effect.
            let applied = self.members.apply(record.offset, &record.payload);
            self.has_gap |= matches!(applied, Err(config::Error::Gap { .. }));
        }
        self.members.prune(clock.wall);
        let epoch = self.members.epoch();
        self.key_fences.retain(|_, fence| *fence > epoch);
    }

    fn is_home(&self, key: ClaimKey) -> bool {
        self.members.home(key).is_some_and(|home| home.id == self.settings.incarnation)
    }

    /// Returns whether an incarnation is this process, now or before it joined again, so that its
    /// claims are in this table.
    fn is_own(&self, incarnation: IncarnationId) -> bool {
        incarnation == self.settings.incarnation || self.past_incarnations.contains(&incarnation)
    }

    fn is_fenced(&self, key: ClaimKey) -> bool {
        let fence = self.key_fences.get(&key).copied().unwrap_or_default().max(self.common_fence);
        fence > self.members.epoch()
    }

    /// Returns whether the epoch is complete and was confirmed recently enough to decide claims.
    fn is_confirmed(&self, now: Instant) -> bool {
        !self.has_gap
            && self
                .confirmed_at
                .is_some_and(|at| now.saturating_duration_since(at) <= STALE_EPOCH_LIMIT)
    }
}

/// Returns the verdict on a key that `holder` holds: a repeated ask of the holder is granted again.
fn verdict_of_held(holder: RequestId, attempt: RequestId) -> Verdict {
    if holder == attempt { Verdict::Granted } else { Verdict::Held }
}

/// Returns whether an incarnation that is no longer a member surely never granted the key, or
/// granted it so long ago that the claim has expired. Such an incarnation need not be asked.
///
/// Both cases are decided by the clocks of the system's hosts, whose error is limited, and never by
/// a caller's clock: a home rejects a key whose time is ahead of its own clock. A removed
/// incarnation whose process may still run grants for at most [`STALE_EPOCH_LIMIT`] after its
/// removal.
fn cannot_have_claim(home: &Home<'_>, clock: Clock, ask: &Ask) -> bool {
    let Some(former) = home.former else {
        return false;
    };
    let may_grant_for = match former.end {
        End::Lost => STALE_EPOCH_LIMIT,
        End::Ended | End::HandedOver => Duration::ZERO,
    };
    let last_grant = former.left_at + may_grant_for + CLOCK_ERROR_LIMIT * 2;
    let is_after_last_grant = |minted| minted > last_grant + KEY_AHEAD_LIMIT;
    ask.minted.is_some_and(is_after_last_grant) || clock.wall > last_grant + RETENTION
}
