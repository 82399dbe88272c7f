//! Streams that outlive their target. A target can send the memory of a running request to another target as the
//! memory grows. A stream that may not be repeated goes on from that copy if its target is lost: this is the same
//! run, so that the caller's answer continues in its place.
//!
//! The load that this module answers: many targets are lost at the same moment while all of them are busy. Which
//! streams get a copy follows from what their callers would lose and from what the copy costs; where the copies go
//! is spread by a hash, with a bound on the copies of each target, so that no target holds too many of them.

mod resume;

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::id::TargetName;

pub use resume::{Continuation, Decision, Report};

use super::{
    State, UNRESPONSIVE_TIMEOUT_FACTOR, UNRESPONSIVE_TIMEOUT_MIN,
    capacity::HolderDemand,
    event::{Dispatch, Effect, Incarnation, Ticket},
    pending::PendingRequest,
    plan::{Repeat, StreamCopies},
};

/// Shortest expected run of a stream that gets a copy: the first parts of a copy take some tenths of a second.
const MIN_RUN: Duration = Duration::from_millis(250);
/// Largest part of a target's link, from 0 to 1, that the copies of the streams in all its slots may use. Streams with
/// long prompts and short answers need more: they cost most of what is sent and are seldom in flight at a loss.
const MAX_LINK_SHARE: f64 = 0.1;
/// Largest part of a target's memory, from 0 to 1, that copies may use.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// Maximum number of copies that a target holds for each of its slots.
const MAX_COPIES_PER_SLOT: u32 = 2;
/// Time per token that is assumed at a target whose speed isn't known.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Maximum number of times that one request goes on from a copy.
const MAX_CONTINUATIONS: u32 = 3;

/// Work of a stream, by which the worth of a copy is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// Number of tokens that the answer is expected to have.
    pub output_tokens: f64,
    /// Expected time from now to the end of the answer.
    pub time_left: Duration,
    /// Number of streams that the target runs at once.
    pub slots: u32,
}

/// Copy of the memory of a running stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Target that holds the copy.
    pub holder: TargetName,
    /// Incarnation of the holder when the copy was ordered; a restart loses the copy.
    pub incarnation: Incarnation,
    /// Address at which the holder listens for requests.
    pub address: SocketAddr,
}

/// Where the copy of a dispatched stream goes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Placement {
    /// The request is no stream that may have a copy, or copies are off.
    #[default]
    Unused,
    /// The copy would cost more than the caller can lose.
    NotWorth,
    /// No target may hold the copy.
    NoHolder,
    /// The copy goes to this target.
    At(Copy),
}

/// What a request has of copies.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Copy that the dispatch in flight keeps; `None` where it keeps none.
    pub copy: Option<Copy>,
    /// Continuation that the request waits for; `None` unless its target was lost.
    pub continuation: Option<Continuation>,
    /// Number of times that the request went on from a copy.
    pub continued: u32,
    /// Whether the target is silent and a probe of it is in flight.
    pub awaits_probe: bool,
    /// Whether an event without an increasing number was passed to the caller, so that nothing can follow it.
    pub is_unordered: bool,
    /// Time at which the target before the one in use was lost; `None` where none was.
    pub lost_at: Option<Instant>,
    /// Time of the first dispatch; `None` before it.
    pub began: Option<Instant>,
}

impl Placement {
    /// Returns the copy, if there is one.
    pub fn copy(&self) -> Option<&Copy> {
        match self {
            Placement::At(copy) => Some(copy),
            Placement::Unused | Placement::NotWorth | Placement::NoHolder => None,
        }
    }
}

impl Progress {
    /// Marks the request as dispatched. Returns whether the dispatch goes on from a copy.
    pub(super) fn begin_dispatch(&mut self, now: Instant) -> bool {
        self.began.get_or_insert(now);
        self.copy = None;
        self.awaits_probe = false;
        let continuation = self.continuation.take();
        self.lost_at = continuation.as_ref().map(|waiting| waiting.since);
        let is_continued = continuation.is_some();
        self.continued += u32::from(is_continued);
        is_continued
    }
}

/// Reports whether the copy of a stream is worth its cost: the answer takes long enough for a copy to be of use, and
/// the copies of all streams of the target leave its link free for other uses.
pub fn is_worth(work: &Work, rules: &StreamCopies) -> bool {
    if work.time_left < MIN_RUN || rules.link_bytes_per_second <= 0.0 {
        return false;
    }
    let bytes = (work.prompt_tokens + work.output_tokens) * rules.token_bytes as f64;
    let link_s = bytes * f64::from(work.slots) / rules.link_bytes_per_second;
    link_s <= work.time_left.as_secs_f64() * MAX_LINK_SHARE
}

/// Returns the number of copies of this size that a target with `slots` slots holds for all entry processes together.
pub fn max_copies(tokens: f64, slots: u32, rules: &StreamCopies) -> u32 {
    let by_memory = rules.memory_tokens as f64 * MAX_MEMORY_SHARE / tokens.max(1.0);
    (by_memory as u32).min(slots.saturating_mul(MAX_COPIES_PER_SLOT))
}

impl State {
    /// Chooses where the copies of the streams go that are dispatched by these effects.
    pub(super) fn place_copies(&mut self, now: Instant, effects: &mut [Effect]) {
        let mut held = None;
        for effect in effects {
            if let Effect::Dispatch(dispatch) = effect
                && let Some(rules) = self.copy_rules(dispatch)
            {
                let held = held.get_or_insert_with(|| self.held_copies());
                self.place_copy(now, dispatch, &rules, held);
            }
        }
    }

    /// Returns the rules for the copy of a dispatched request; `None` where it may have none. A stream that may be
    /// resumed goes on at any target from the prompt alone, which costs less than a copy of every stream.
    fn copy_rules(&self, dispatch: &Dispatch) -> Option<StreamCopies> {
        let pending = self.requests.get(&dispatch.ticket)?;
        let rules = self.configuration.as_ref()?.pool_rules(&pending.pool).stream_copies;
        let may_continue = !pending.copies.is_unordered
            && pending.copies.continued < MAX_CONTINUATIONS
            && pending.trial.is_none();
        let is_lost_otherwise = pending.is_stream && pending.retry_policy == Repeat::Never;
        rules.filter(|_| is_lost_otherwise && may_continue)
    }

    /// Returns the number of copies that this process's requests have at each target.
    fn held_copies(&self) -> HashMap<TargetName, u32> {
        let mut held = HashMap::new();
        for pending in self.requests.values() {
            let waiting = pending.copies.continuation.as_ref().map(|waiting| &waiting.copy);
            for copy in pending.copies.copy.iter().chain(waiting) {
                *held.entry(copy.holder.clone()).or_default() += 1;
            }
        }
        held
    }

    /// Chooses where the copy of a dispatched stream goes, and sets the time after which its target is probed.
    fn place_copy(
        &mut self,
        now: Instant,
        dispatch: &mut Dispatch,
        rules: &StreamCopies,
        held: &mut HashMap<TargetName, u32>,
    ) {
        let Some(pending) = self.requests.get(&dispatch.ticket) else {
            return;
        };
        let Some(in_flight) = pending.in_flight() else {
            return;
        };
        let slot = &in_flight.slot;
        let state = self.capacity.state(&slot.target);
        let token_ms = state.and_then(|state| state.ms_per_token());
        let slots = state.map_or(1, |state| state.target.slots);
        let work = work(now, pending, token_ms, slots);
        if !is_worth(&work, rules) {
            dispatch.copy = Placement::NotWorth;
            return;
        }
        let tokens = work.prompt_tokens + work.output_tokens;
        let demand = HolderDemand {
            pool: &pending.pool,
            slot,
            spread: pending.request.spread,
            excluded: &pending.possibly_ran_at,
        };
        let holder = self.capacity.choose_holder(now, &demand, |state| {
            let limit = max_copies(tokens, state.target.slots, rules);
            let part = state.part_of(limit, self.process_index);
            held.get(&state.target.name).copied().unwrap_or_default() < part
        });
        let Some(copy) = holder else {
            dispatch.copy = Placement::NoHolder;
            return;
        };
        *held.entry(copy.holder.clone()).or_default() += 1;
        let route = self
            .configuration
            .as_ref()
            .and_then(|plan| plan.route(&pending.request.host, &pending.request.path));
        let max_gap = route.map_or(Duration::ZERO, |route| route.max_gap);
        let silence = (slot.expected_first_event * UNRESPONSIVE_TIMEOUT_FACTOR).max(max_gap);
        dispatch.unresponsive_timeout = Some(UNRESPONSIVE_TIMEOUT_MIN.max(silence));
        dispatch.copy = Placement::At(copy.clone());
        if let Some(pending) = self.requests.get_mut(&dispatch.ticket) {
            pending.copies.copy = Some(copy);
        }
    }

    /// Handles an event of a stream whose place among the others isn't known: the stream can't go on from a copy,
    /// since an event could be missing or come twice.
    pub(super) fn handle_unordered_stream(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.copies.is_unordered = true;
            pending.copies.copy = None;
        }
    }
}

/// Returns the work of a dispatched stream. `token_ms` is the time per token at its target, where it is known.
fn work(now: Instant, pending: &PendingRequest, token_ms: Option<f64>, slots: u32) -> Work {
    let tokens = pending.tokens();
    let output_tokens = f64::from(tokens.max_output);
    let token_time = token_ms.map_or(DEFAULT_TOKEN_TIME.as_secs_f64(), |ms| ms / 1_000.0);
    let run_s = (output_tokens * token_time).clamp(0.0, 86_400.0);
    let ran = pending.copies.began.map_or(Duration::ZERO, |began| now.duration_since(began));
    let left = Duration::from_secs_f64(run_s).saturating_sub(ran);
    let time_left = left.min(pending.deadline.saturating_duration_since(now));
    Work { prompt_tokens: f64::from(tokens.prompt), output_tokens, time_left, slots }
}
