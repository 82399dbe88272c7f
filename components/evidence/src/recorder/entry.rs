//! Runs the entry process's reducer and derives the facts to record from its events and effects.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Instant, SystemTime},
};

use model::{
    Host, Refusal, Resource,
    change::Action,
    claim, host,
    id::{Offset, PoolName, RequestId},
    refusal::Reason,
    resource::{Desired, Kind, Target},
};
use scheduler::{
    config,
    entry::{self, Call, Effect, Event, Owner, State},
};

use crate::record::{Departure, Fact, Outcome, Request, Start, Subject};

/// Result of reducing one event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Effects to execute.
    pub effects: Vec<Effect>,
    /// Facts to record.
    pub facts: Vec<Fact>,
}

/// State from which facts are completed: a fact is recorded only when all of its fields are known.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// Requests that haven't ended yet.
    open: BTreeMap<RequestId, OpenRequest>,
    /// Hosts and targets that are leaving.
    leaving: BTreeSet<Subject>,
    /// Offset of the configuration that was recorded last; 0 before the first.
    applied: Offset,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: Request,
    pool: Option<PoolName>,
    /// How the request ended; `None` until it is known.
    outcome: Option<Outcome>,
}

/// Reduces one event and returns its effects and the facts to record. `at` is the wall-clock time
/// of the event.
pub fn reduce(
    recorder: &mut Recorder,
    state: &mut State,
    now: Instant,
    at: SystemTime,
    event: Event,
) -> Step {
    let mut facts = Vec::new();
    recorder.record_event(state, at, &event, &mut facts);
    let effects = entry::reduce(state, now, event);
    for effect in &effects {
        recorder.record_effect(state, effect, &mut facts);
    }
    let applied = state.config().applied();
    if applied != recorder.applied {
        recorder.applied = applied;
        facts.push(Fact::Applied { offset: applied });
    }
    Step { effects, facts }
}

impl Recorder {
    /// Sets the outcome of a started request. The request is recorded when its `Event::Ended` is
    /// reduced.
    pub fn ended(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(open) = self.open.get_mut(&request) {
            open.outcome = Some(outcome);
        }
    }

    /// Returns the fact that closes the chain of the process.
    pub fn close(&self, state: &State) -> Fact {
        Fact::Closed { open: state.len().try_into().unwrap_or(u32::MAX) }
    }

    fn record_event(
        &mut self,
        state: &State,
        at: SystemTime,
        event: &Event,
        facts: &mut Vec<Fact>,
    ) {
        match event {
            Event::Arrived(request) => {
                self.open.insert(request.id, open_request(state.config(), at, request));
            }
            Event::Ended { request } => {
                if let Some(open) = self.open.remove(request) {
                    let outcome = open.outcome.unwrap_or(Outcome::Abandoned);
                    facts.push(Fact::Request(Request { outcome, ..open.request }));
                }
            }
            Event::Hosts(hosts) => self.record_hosts(hosts, facts),
            Event::Drain => facts.push(Fact::Draining),
            _ => {}
        }
    }

    fn record_effect(&mut self, state: &State, effect: &Effect, facts: &mut Vec<Fact>) {
        match effect {
            Effect::Start(start) => {
                if let Some(open) = self.open.get_mut(&start.id.request) {
                    set_owner(&mut open.request, state.config(), &start.owner);
                    let target = start.target.clone();
                    open.request.starts.push(Start { attempt: start.id.attempt, target });
                }
            }
            Effect::Refuse { request, owner, refusal } => {
                if let Some(open) = self.open.remove(request) {
                    facts.push(refused_fact(state, open, owner, refusal));
                }
            }
            Effect::Applied(config::AppliedRecord {
                outcome: config::Outcome::Accepted(_),
                action,
                ..
            }) => {
                self.record_change(action.as_ref(), facts);
            }
            Effect::Restored(_) => {
                let targets: Vec<&Target> = state
                    .config()
                    .list(Kind::Target)
                    .filter_map(|v| as_target(&v.resource))
                    .collect();
                for target in targets {
                    self.record_target(target, facts);
                }
            }
            _ => {}
        }
    }

    fn record_hosts(&mut self, hosts: &[Host], facts: &mut Vec<Fact>) {
        let leaving = hosts.iter().filter(|host| host.state == host::State::Leaving);
        let leaving: BTreeSet<&str> = leaving.map(|host| host.name.as_str()).collect();
        let returned = self.leaving.iter().filter(
            |subject| matches!(subject, Subject::Host(name) if !leaving.contains(name.as_str())),
        );
        for subject in returned.cloned().collect::<Vec<_>>() {
            self.record_departure(subject, false, facts);
        }
        for name in leaving {
            self.record_departure(Subject::Host(name.to_owned()), true, facts);
        }
    }

    fn record_change(&mut self, action: Option<&Action>, facts: &mut Vec<Fact>) {
        match action {
            Some(Action::Put(Resource::Target(target))) => self.record_target(target, facts),
            Some(Action::Delete(key)) if key.kind == Kind::Target => {
                self.record_departure(Subject::Target(key.name.clone()), true, facts);
            }
            _ => {}
        }
    }

    fn record_target(&mut self, target: &Target, facts: &mut Vec<Fact>) {
        let leaving = target.desired != Desired::Serving;
        self.record_departure(Subject::Target(target.name.clone()), leaving, facts);
    }

    /// Records that a subject began to leave or came back, unless that is already recorded.
    fn record_departure(&mut self, subject: Subject, leaving: bool, facts: &mut Vec<Fact>) {
        let changed = match leaving {
            true => self.leaving.insert(subject.clone()),
            false => self.leaving.remove(&subject),
        };
        if changed {
            facts.push(Fact::Departure(Departure { subject, leaving }));
        }
    }
}

fn open_request(
    config: &config::State,
    arrived: SystemTime,
    request: &entry::Request,
) -> OpenRequest {
    let pool = match &request.call {
        Some(Call::Completion(model)) => config.pool_of_model(model),
        Some(Call::Service(name)) => config.pool(name),
        None => None,
    };
    let account =
        request.credential.as_ref().and_then(|credential| config.account_by_key(credential));
    let account = account.map(|account| account.name.clone()).unwrap_or_default();
    let claim = request.key.as_ref().map(|key| claim::key(&account, key));
    let idempotent = request.idempotent.or(pool.map(|pool| pool.idempotent)).unwrap_or(true);
    let record = Request {
        request: request.id,
        account,
        rank: None,
        claim,
        idempotent,
        arrived,
        starts: Vec::new(),
        outcome: Outcome::Abandoned,
    };
    OpenRequest { request: record, pool: pool.map(|pool| pool.name.clone()), outcome: None }
}

fn refused_fact(state: &State, open: OpenRequest, owner: &Owner, refusal: &Refusal) -> Fact {
    let mut request = open.request;
    set_owner(&mut request, state.config(), owner);
    let pool = open.pool.filter(|_| refusal.reason == Reason::Overloaded);
    let left_waiting = pool.and_then(|pool| state.lowest_waiting_for(&pool));
    let outcome = Outcome::Refused { reason: refusal.reason, ran: refusal.ran, left_waiting };
    Fact::Request(Request { outcome, ..request })
}

/// Sets the rank, and the account if it is still unknown, which the reducer determined for a
/// request.
fn set_owner(request: &mut Request, config: &config::State, owner: &Owner) {
    request.rank = config.tier(&owner.tier).map(|tier| tier.rank);
    if request.account.is_empty() {
        request.account.clone_from(&owner.account);
    }
}

fn as_target(resource: &Resource) -> Option<&Target> {
    match resource {
        Resource::Target(target) => Some(target),
        _ => None,
    }
}
