//! The reducer of claims: which attempt of a request with an idempotency key may run.
//!
//! Each agent keeps the claims of the keys whose home it is. A home grants a key once, from
//! memory; before it grants a key that it doesn't hold, it asks every run of an agent that was
//! the key's home within the window. The question fences the key there against grants under
//! older epochs, so that a home that hasn't heard of the change can do no harm.

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
    membership::{self, CLOCK_ERROR, End, Home, WINDOW},
};

/// Time for which an agent goes on with an epoch that the log hasn't confirmed. A claim granted
/// at its end is still remembered when the window closes over the home that granted it.
pub const STALE_LIMIT: Duration = Duration::from_secs(20 * 3_600);
const _: () = assert!(STALE_LIMIT.as_secs() + RETENTION.as_secs() <= WINDOW.as_secs());
/// Most by which a key's own time may be ahead of the clock.
pub const AHEAD_LIMIT: Duration = Duration::from_secs(5);

/// What the reducer is told at its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// This run of the agent.
    pub incarnation: IncarnationId,
    /// Most claims that are remembered.
    pub claims: usize,
}

/// A key whose earlier homes are being asked for one attempt.
#[derive(Clone, Debug)]
struct Asking {
    ask: Ask,
    /// Epoch under which the homes were found.
    epoch: Offset,
    /// Runs that haven't answered.
    open: BTreeSet<IncarnationId>,
    /// What is known so far.
    mark: Option<Mark>,
    /// Whether a run can't be asked.
    unsure: bool,
}

/// Everything that an agent decides claims from.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    /// Earlier runs of this process that were taken for lost; it remembers their claims.
    past: BTreeSet<IncarnationId>,
    members: membership::State,
    /// When the log last confirmed the epoch.
    confirmed: Option<Instant>,
    /// Whether records are missing, so that no epoch after them can be confirmed.
    gap: bool,
    table: Table,
    /// Never holds a key whose mark is held or ran.
    asking: BTreeMap<ClaimKey, Asking>,
    /// Keys that aren't granted before this agent has applied the epoch.
    fenced: BTreeMap<ClaimKey, Offset>,
    /// The same for all keys, where too many were fenced one by one.
    fence: Offset,
    handover: Handover,
}

/// Gives the state of an agent that has read nothing yet.
pub fn open(settings: Settings) -> State {
    State {
        settings,
        past: BTreeSet::new(),
        members: membership::State::default(),
        confirmed: None,
        gap: false,
        table: Table::open(settings.claims),
        asking: BTreeMap::new(),
        fenced: BTreeMap::new(),
        fence: 0,
        handover: Handover::default(),
    }
}

/// Takes one event in and gives what has to be done about it.
pub fn reduce(state: &mut State, clock: Clock, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    state.table.expire(clock.now);
    match event {
        Event::Claim(ask) => state.claim(clock, ask, &mut effects),
        Event::Asked(question) => effects.push(Effect::Tell(state.tell(question))),
        Event::Answered { key, incarnation, answer } => {
            state.answered(clock, key, incarnation, answer, &mut effects);
        }
        Event::Settle(settle) => state.settle(clock, settle, &mut effects),
        Event::Received(claims) => state.receive(clock, &claims),
        Event::Records(records) => state.apply(clock, records),
        Event::CaughtUp => state.confirmed = Some(clock.now),
        Event::HandOver => state.hand_over(&mut effects),
        Event::HandOverFailed => state.handover.fail(),
        Event::Freeze => state.handover.frozen = true,
        Event::Rejoin(incarnation) => {
            state.past.insert(state.settings.incarnation);
            state.settings.incarnation = incarnation;
        }
        Event::Thaw => state.handover = Handover::default(),
    }
    effects
}

impl State {
    /// The members as this agent knows them.
    pub fn members(&self) -> &membership::State {
        &self.members
    }

    /// The run of the agent that this is now.
    pub fn incarnation(&self) -> IncarnationId {
        self.settings.incarnation
    }

    /// Claims that are remembered.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn claim(&mut self, clock: Clock, ask: Ask, effects: &mut Vec<Effect>) {
        let verdict = match self.check(clock, &ask) {
            Some(verdict) => verdict,
            None => match self.ask_homes(clock, ask, effects) {
                Some(verdict) => verdict,
                None => return,
            },
        };
        effects.push(Effect::Reply { attempt: ask.attempt, verdict });
    }

    /// What can be said without asking anybody; `None` where earlier homes have to be asked.
    fn check(&self, clock: Clock, ask: &Ask) -> Option<Verdict> {
        let epoch = self.members.epoch();
        if ask.epoch > epoch || self.is_fenced(ask.key) || !self.is_confirmed(clock.now) {
            return Some(Verdict::Behind { epoch });
        }
        if !self.is_home(ask.key) {
            return Some(Verdict::Moved { epoch });
        }
        if self.handover.frozen {
            return Some(Verdict::Leaving);
        }
        match self.table.get(ask.key) {
            Some(Mark::Held(holder)) => Some(held(holder, ask.attempt)),
            Some(Mark::Ran) => Some(Verdict::Ran),
            Some(Mark::Free(released)) if released == ask.attempt => Some(Verdict::Held),
            Some(Mark::Free(_)) => self.check_time(clock, ask),
            None if self.table.is_full() => Some(Verdict::Full),
            None => self.check_time(clock, ask),
        }
    }

    fn check_time(&self, clock: Clock, ask: &Ask) -> Option<Verdict> {
        let minted = ask.minted?;
        if minted > clock.wall + AHEAD_LIMIT {
            return Some(Verdict::Ahead);
        }
        let forgotten = minted + RETENTION - AHEAD_LIMIT - CLOCK_ERROR * 2;
        (clock.wall > forgotten).then_some(Verdict::Expired)
    }

    /// Asks the key's earlier homes; gives the verdict where there is none to ask.
    fn ask_homes(&mut self, clock: Clock, ask: Ask, effects: &mut Vec<Effect>) -> Option<Verdict> {
        if let Some(asking) = self.asking.get(&ask.key) {
            return (asking.ask.attempt != ask.attempt).then_some(Verdict::Held);
        }
        let epoch = self.members.epoch();
        let homes: Vec<Home<'_>> = self.earlier(clock, &ask).collect();
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
        let open = homes.iter().map(|home| home.incarnation.id).collect();
        self.asking.insert(ask.key, Asking { ask, epoch, open, mark, unsure: false });
        None
    }

    /// Runs that may remember the key, besides this one.
    fn earlier<'a>(&'a self, clock: Clock, ask: &Ask) -> impl Iterator<Item = Home<'a>> {
        let ask = *ask;
        let homes = self.members.homes(ask.key).into_iter();
        homes.filter(move |home| {
            !self.is_own(home.incarnation.id) && !home.handed_over() && !is_over(home, clock, &ask)
        })
    }

    fn answered(
        &mut self,
        clock: Clock,
        key: ClaimKey,
        incarnation: IncarnationId,
        answer: Option<Answer>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(asking) = self.asking.get_mut(&key) else {
            return;
        };
        if !asking.open.remove(&incarnation) {
            return;
        }
        match answer {
            None | Some(Answer::Stranger) => asking.unsure = true,
            Some(Answer::Unknown) => {}
            Some(Answer::Known(mark)) => {
                asking.mark = Some(asking.mark.map_or(mark, |old| merge(old, mark)));
            }
        }
        if !asking.open.is_empty() {
            return;
        }
        if let Some(asking) = self.asking.remove(&key) {
            let verdict = self.conclude(clock, &asking);
            effects.push(Effect::Reply { attempt: asking.ask.attempt, verdict });
        }
    }

    /// The verdict once every earlier home has answered. Whatever changed meanwhile is looked at
    /// again, by asking again.
    fn conclude(&mut self, clock: Clock, asking: &Asking) -> Verdict {
        let ask = asking.ask;
        let own = self.table.get(ask.key);
        let mark = own.map_or(asking.mark, |own| Some(asking.mark.map_or(own, |m| merge(own, m))));
        if let Some(mark) = mark.filter(|mark| !matches!(mark, Mark::Free(_))) {
            self.remember(clock.now, ask.key, mark);
        }
        if let Some(verdict) = self.check(clock, &ask) {
            return verdict;
        }
        if self.members.epoch() != asking.epoch {
            return Verdict::Behind { epoch: self.members.epoch() };
        }
        if asking.unsure {
            return Verdict::Unsure;
        }
        if mark == Some(Mark::Free(ask.attempt)) {
            return Verdict::Held;
        }
        self.grant(clock.now, ask);
        Verdict::Granted
    }

    fn grant(&mut self, now: Instant, ask: Ask) {
        self.remember(now, ask.key, Mark::Held(ask.attempt));
    }

    /// Answers a later home of a key, and fences the key against grants under older epochs.
    fn tell(&mut self, question: Question) -> Answer {
        if !self.is_own(question.incarnation) {
            return Answer::Stranger;
        }
        if question.epoch > self.members.epoch() {
            self.fence(question);
        }
        let Some(mark) = self.table.get(question.key) else {
            return Answer::Unknown;
        };
        let mark = question.free.map_or(mark, |free| merge(mark, Mark::Free(free)));
        self.update(question.key, mark);
        Answer::Known(mark)
    }

    fn fence(&mut self, question: Question) {
        if self.fenced.len() >= self.settings.claims {
            self.fence = self.fence.max(question.epoch);
            return;
        }
        let fence = self.fenced.entry(question.key).or_default();
        *fence = question.epoch.max(*fence);
    }

    fn settle(&mut self, clock: Clock, settle: Settle, effects: &mut Vec<Effect>) {
        let told = match settle.ran {
            true => Mark::Ran,
            false => Mark::Free(settle.attempt),
        };
        let taken = self.is_home(settle.key) && !self.handover.frozen;
        match self.table.get(settle.key) {
            Some(old) => self.update(settle.key, merge(old, told)),
            None if taken && !self.table.is_full() => self.remember(clock.now, settle.key, told),
            None => {}
        }
        effects.push(Effect::Settled { taken });
    }

    fn receive(&mut self, clock: Clock, claims: &[Transfer]) {
        for Transfer { key, mark } in claims {
            let own = self.table.get(*key);
            self.remember(clock.now, *key, own.map_or(*mark, |own| merge(own, *mark)));
        }
    }

    fn remember(&mut self, now: Instant, key: ClaimKey, mark: Mark) {
        self.table.set(now, key, mark);
        self.handover.changed(key);
    }

    fn update(&mut self, key: ClaimKey, mark: Mark) {
        self.table.update(key, mark);
        self.handover.changed(key);
    }

    fn apply(&mut self, clock: Clock, records: Vec<Record>) {
        for record in records {
            // A record that was read before has no effect.
            let applied = self.members.apply(record.offset, &record.payload);
            self.gap |= matches!(applied, Err(config::Error::Gap { .. }));
        }
        self.members.prune(clock.wall);
        let epoch = self.members.epoch();
        self.fenced.retain(|_, fence| *fence > epoch);
    }

    fn is_home(&self, key: ClaimKey) -> bool {
        self.members.home(key).is_some_and(|home| home.id == self.settings.incarnation)
    }

    /// Whether a run's claims are those that this process remembers.
    fn is_own(&self, incarnation: IncarnationId) -> bool {
        incarnation == self.settings.incarnation || self.past.contains(&incarnation)
    }

    fn is_fenced(&self, key: ClaimKey) -> bool {
        let fence = self.fenced.get(&key).copied().unwrap_or_default().max(self.fence);
        fence > self.members.epoch()
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        !self.gap
            && self.confirmed.is_some_and(|at| now.saturating_duration_since(at) <= STALE_LIMIT)
    }
}

fn held(holder: RequestId, attempt: RequestId) -> Verdict {
    if holder == attempt { Verdict::Granted } else { Verdict::Held }
}

/// Whether a run that ended surely never granted the key, or would have forgotten it by now. The
/// clocks of the system's hosts bound both, never a caller's: a home refuses keys that are ahead
/// of its own clock. A run that may go on does so no longer than without the log.
fn is_over(home: &Home<'_>, clock: Clock, ask: &Ask) -> bool {
    let Some(former) = home.former else {
        return false;
    };
    let goes_on = match former.end {
        End::Lost => STALE_LIMIT,
        End::Ended | End::HandedOver => Duration::ZERO,
    };
    let last_grant = former.left_at + goes_on + CLOCK_ERROR * 2;
    let is_later = |minted| minted > last_grant + AHEAD_LIMIT;
    ask.minted.is_some_and(is_later) || clock.wall > last_grant + RETENTION
}
