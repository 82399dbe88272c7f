//! Who waits for one target and who runs there: owns the reducer's state, takes events in and carries
//! effects out.

use std::{
    collections::HashMap,
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

/// Life of a grant whose reservation isn't held: it may have crossed the word that gave it up.
const GRANT: Duration = Duration::from_millis(200);
/// Most reservations that wait; each is under a kilobyte.
const WAITING: usize = 10_000;
/// Part of the work that each tier may have whatever waits above it.
const FLOOR: f64 = 0.05;
/// Time without a reservation after which a target is forgotten that another agent may admit to by now.
const KEEP: Duration = Duration::from_secs(10);

/// What becomes of a reservation.
pub type Granted = Result<Grant, Denial>;

/// A target, who waits for it and who runs there.
pub struct Queue {
    state: State,
    /// Who waits for room.
    granting: HashMap<Id, oneshot::Sender<Granted>>,
    target: Target,
    /// What the target had beyond what is held here, when it was last asked.
    unreserved: usize,
    /// Whether the target took connections when it was last asked.
    reached: bool,
    /// When room was last asked for.
    asked: Instant,
}

/// Gives one where nobody waits, for a target as an entry process knows it.
pub fn open(target: Target) -> Queue {
    let slots = target.slots as usize;
    let room =
        Capacity { slots, max_tokens: u64::MAX, max_waiting: WAITING, grant_lifetime: GRANT };
    info!(address = %target.address, slots, beside = target.beside, "the target is known");
    Queue {
        // Entry processes refuse what comes too late, by what they know of all targets.
        state: agent::open_with(
            room,
            Policy {
                min_tier_share: FLOOR,
                is_latest_deadline_first: true,
                ..Policy::without_rules()
            },
        ),
        granting: HashMap::new(),
        target,
        unreserved: 0,
        reached: true,
        asked: Instant::now(),
    }
}

impl Queue {
    /// The target, as an entry process last told it.
    pub fn target(&self) -> Target {
        self.target
    }

    /// When the next `Event::Tick` is due.
    pub fn next_wake(&self) -> Option<Instant> {
        agent::next_wake(&self.state)
    }

    /// Whether nobody needs it any more.
    pub fn is_idle(&self, now: Instant) -> bool {
        let Load { running, waiting, .. } = self.state.load();
        running + waiting == 0 && now.saturating_duration_since(self.asked) > KEEP
    }

    /// Learns what an entry process heard of the target's rate limit.
    pub fn limit(&mut self, limit: Limit) {
        let before = self.state.rate_limit_interval();
        self.reduce(Event::RateLimitReported(limit));
        let interval = self.state.rate_limit_interval();
        if before != interval {
            let (address, per_second) = (self.target.address, interval.map(rate::rate_at_interval));
            info!(%address, per_second, age_ms = limit.age.as_millis() as u64, "the rate limit changed");
        }
    }

    /// Takes a reservation in; it is answered once there is room, or surely none.
    pub fn reserve(&mut self, ask: Ask, target: Target, reply: oneshot::Sender<Granted>) {
        self.asked = Instant::now();
        if self.target != target {
            self.target = target;
            info!(address = %target.address, slots = target.slots, "the target's size changed");
            self.reduce(Event::SlotsChanged(target.slots as usize));
        }
        self.granting.insert(ask.id, reply);
        self.reduce(Event::Reserve(ask));
    }

    /// Gives a reservation up.
    pub fn cancel(&mut self, id: Id) {
        self.granting.remove(&id);
        self.reduce(Event::Cancel(id));
    }

    /// Keeps granted room; answers only where there is none.
    pub fn hold(&mut self, id: Id, reply: oneshot::Sender<Fate>) {
        let denied = self.effects(Event::Start(id)).into_iter().find_map(|effect| match effect {
            Effect::DenyStart { fate, .. } => Some(fate),
            _ => None,
        });
        if let Some(fate) = denied {
            // Whoever asked may have gone.
            let _ = reply.send(fate);
        }
    }

    /// Learns what the target has.
    pub fn see(&mut self, seen: Seen) {
        let reached = seen.is_some();
        if std::mem::replace(&mut self.reached, reached) != reached {
            let address = self.target.address;
            info!(%address, reached, "the target takes requests, or none");
            self.reduce(Event::ReachabilityChanged(reached));
        }
        let running = self.state.load().running as usize;
        let unreserved = seen.unwrap_or_default().saturating_sub(running);
        // What has just been given up here may still be there: it counts once it stays.
        let lasting = unreserved.min(self.unreserved);
        self.unreserved = unreserved;
        self.reduce(Event::UnreservedRequestsChanged(lasting));
    }

    /// Takes an event in; whoever waits is told what follows.
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

    fn answer(&mut self, id: Id, granted: Granted) {
        let Load { running, waiting, .. } = self.state.load();
        let reason = granted.as_ref().err().map(|denial| format!("{:?}", denial.reason));
        let (request, number, to) = (id.request, id.attempt, self.target.address);
        info!(%request, number, %to, reason, running, waiting, granted = granted.is_ok(), "answered");
        if let Some(reply) = self.granting.remove(&id) {
            // Whoever waited may have gone; what was granted lapses.
            let _ = reply.send(granted);
        }
    }
}
