//! The reservations of one target, waiting and granted: owns the admission reducer's state, feeds it
//! events and carries out the effects that it returns.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use model::reservation::{Ask, Denial, Fate, Grant, Id, Limit, Load};
use scheduler::{
    agent::{self, Capacity, Effect, Event, Policy, State},
    rate,
};
use tokio::sync::oneshot;
use tracing::info;
use wire::admission::Target;

use super::Seen;

/// Time after which a grant expires unless it is held: a grant may cross the cancel of its
/// reservation on the network, and then nobody ever holds it.
const GRANT_TTL: Duration = Duration::from_millis(200);
/// Largest number of waiting reservations of a target; each takes less than a kilobyte.
const MAX_WAITING: usize = 10_000;
/// Minimum share of the work, from 0 to 1, that each tier gets even while higher tiers wait.
const MIN_TIER_SHARE: f64 = 0.05;
/// Time without a new reservation after which a target's queue is removed, since another agent may
/// have taken over its admission.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// Number of starts of earlier targets that are remembered.
const MAX_EARLIER_STARTS: usize = 8;

/// Answer to a reservation.
pub type ReserveAnswer = Result<Grant, Denial>;

/// The reservations of one target and what is known of its load.
pub struct Queue {
    state: State,
    /// Reply channels of the waiting reservations.
    replies: HashMap<Id, oneshot::Sender<ReserveAnswer>>,
    target: Target,
    /// Starts of targets that listened at the address before, the latest last.
    earlier_starts: VecDeque<u64>,
    /// Requests at the target beyond those with a slot held here, by the last probe.
    unreserved: usize,
    /// Whether the last probe reached the target; `true` before the first probe.
    is_reachable: bool,
    /// When the last reservation arrived.
    last_reserved: Instant,
}

/// Returns an empty queue for a target; an entry process sent its description with a reservation.
pub fn open(target: Target) -> Queue {
    let slots = target.slots as usize;
    let room = Capacity {
        slots,
        max_tokens: u64::MAX,
        max_waiting: MAX_WAITING,
        grant_lifetime: GRANT_TTL,
    };
    info!(address = %target.address, slots, beside = target.beside, "target added");
    Queue {
        // The reducer needn't deny requests that can't meet their deadline: entry processes refuse
        // them, because they know the state of all targets.
        state: agent::open_with(
            room,
            Policy {
                min_tier_share: MIN_TIER_SHARE,
                is_latest_deadline_first: true,
                ..Policy::without_rules()
            },
        ),
        replies: HashMap::new(),
        target,
        earlier_starts: VecDeque::new(),
        unreserved: 0,
        is_reachable: true,
        last_reserved: Instant::now(),
    }
}

impl Queue {
    /// Returns the target as the last reservation described it.
    pub fn target(&self) -> Target {
        self.target
    }

    /// Returns when the next `Event::Tick` is due; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        agent::next_wake(&self.state)
    }

    /// Returns whether the queue can be removed: it has no reservations and got none for a while.
    pub fn is_idle(&self, now: Instant) -> bool {
        let Load { running, waiting, .. } = self.state.load();
        running + waiting == 0 && now.saturating_duration_since(self.last_reserved) > IDLE_TTL
    }

    /// Applies the target's rate limit as an entry process last received it; an older one than the
    /// limit in force has no effect.
    pub fn limit(&mut self, limit: Limit) {
        let before = self.state.rate_limit_interval();
        self.reduce(Event::RateLimitReported(limit));
        let interval = self.state.rate_limit_interval();
        if before != interval {
            let (address, per_second) = (self.target.address, interval.map(rate::rate_at_interval));
            info!(%address, per_second, age_ms = limit.age.as_millis() as u64, "the rate limit changed");
        }
    }

    /// Applies the description of the target in a reservation, and forgets what was learnt of the earlier target
    /// if another one has started at the address. Returns `false` if the description is of an earlier target,
    /// which entry processes with an older list still send.
    pub fn update_target(&mut self, target: Target) -> bool {
        if self.earlier_starts.contains(&target.start) {
            return false;
        }
        let previous = std::mem::replace(&mut self.target, target);
        if previous.start != target.start {
            info!(address = %target.address, "another target has started at the address");
            if self.earlier_starts.len() == MAX_EARLIER_STARTS {
                self.earlier_starts.pop_front();
            }
            self.earlier_starts.push_back(previous.start);
            self.reduce(Event::TargetReplaced);
        }
        if previous.slots != target.slots {
            info!(address = %target.address, slots = target.slots, "the target's size changed");
            self.reduce(Event::SlotsChanged(target.slots as usize));
        }
        true
    }

    /// Enqueues a reservation. The reply is sent once the reservation is granted or denied.
    pub fn reserve(&mut self, ask: Ask, reply: oneshot::Sender<ReserveAnswer>) {
        self.last_reserved = Instant::now();
        self.replies.insert(ask.id, reply);
        self.reduce(Event::Reserve(ask));
    }

    /// Cancels a waiting or granted reservation.
    pub fn cancel(&mut self, id: Id) {
        self.replies.remove(&id);
        self.reduce(Event::Cancel(id));
    }

    /// Holds a granted slot; sends a reply only if the reservation has no grant.
    pub fn hold(&mut self, id: Id, reply: oneshot::Sender<Fate>) {
        let denied = self.effects(Event::Start(id)).into_iter().find_map(|effect| match effect {
            Effect::DenyStart { fate, .. } => Some(fate),
            _ => None,
        });
        if let Some(fate) = denied {
            // The caller may have disconnected.
            let _ = reply.send(fate);
        }
    }

    /// Applies the result of a probe of the target.
    pub fn apply_probe(&mut self, result: Seen) {
        let is_reachable = result != Seen::Unreachable;
        if std::mem::replace(&mut self.is_reachable, is_reachable) != is_reachable {
            let address = self.target.address;
            info!(%address, reached = is_reachable, "the target's reachability changed");
            self.reduce(Event::ReachabilityChanged(is_reachable));
        }
        let running = self.state.load().running as usize;
        let unreserved = match result {
            Seen::Requests(requests) => {
                self.record_unused(requests);
                requests.saturating_sub(running)
            }
            Seen::Unreachable | Seen::Unknown => 0,
        };
        // A request whose slot was just released may still be at the target, so only requests
        // that two probes in a row have found count.
        let persistent = unreserved.min(self.unreserved);
        self.unreserved = unreserved;
        self.reduce(Event::UnreservedRequestsChanged(persistent));
    }

    /// Takes a probe into account that found this number of requests at the target. Logs how many of the held slots
    /// are unused when that number changes.
    fn record_unused(&mut self, requests: usize) {
        let before = self.state.unused_slots();
        self.reduce(Event::RequestsProbed(requests));
        let unused = self.state.unused_slots();
        if unused != before {
            let Load { running, waiting, .. } = self.state.load();
            let (address, granted) = (self.target.address, self.state.pending_grants());
            info!(%address, unused, held = running, granted, requests, waiting, "the unused slots changed");
        }
    }

    /// Feeds an event to the reducer and answers the reservations that it grants or denies.
    pub fn reduce(&mut self, event: Event) {
        self.effects(event);
    }

    fn effects(&mut self, event: Event) -> Vec<Effect> {
        let effects = agent::reduce(&mut self.state, Instant::now(), event);
        for effect in &effects {
            match effect {
                Effect::Grant { id, grant } => self.answer(*id, Ok(*grant)),
                Effect::Deny { id, denial } => self.answer(*id, Err(*denial)),
                _ => {}
            }
        }
        effects
    }

    fn answer(&mut self, id: Id, granted: ReserveAnswer) {
        let Load { running, waiting, .. } = self.state.load();
        let turn = self.state.turn(id);
        let account = turn.map(|turn| format!("{:016x}", turn.account));
        let (weight, lead) = (turn.map(|turn| turn.weight), turn.map(|turn| turn.lead));
        let reordered = turn.map(|turn| turn.is_reordered);
        let reason = granted.as_ref().err().map(|denial| format!("{:?}", denial.reason));
        let (request, number, to) = (id.request, id.attempt, self.target.address);
        info!(
            %request, number, %to, reason, running, waiting, granted = granted.is_ok(), account, weight,
            lead, reordered, "answered"
        );
        if let Some(reply) = self.replies.remove(&id) {
            // The caller may have disconnected; then the grant expires.
            let _ = reply.send(granted);
        }
    }
}
