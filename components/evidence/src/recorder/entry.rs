//! The entry's reducer with its evidence.

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

/// What one event came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// What has to be done.
    pub effects: Vec<Effect>,
    /// What has to be recorded.
    pub facts: Vec<Fact>,
}

/// What is remembered until a fact is whole.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// Requests that haven't ended.
    open: BTreeMap<RequestId, Open>,
    /// What is known to leave.
    leaving: BTreeSet<Subject>,
    /// Offset that was last recorded.
    applied: Offset,
}

#[derive(Clone, Debug)]
struct Open {
    request: Request,
    pool: Option<PoolName>,
    /// How its answer ended, where that is known.
    ended: Option<Outcome>,
}

/// Takes one event in; gives its effects and the facts that they make.
pub fn reduce(
    recorder: &mut Recorder,
    state: &mut State,
    now: Instant,
    at: SystemTime,
    event: Event,
) -> Step {
    let mut facts = Vec::new();
    recorder.before(state, at, &event, &mut facts);
    let effects = entry::reduce(state, now, event);
    for effect in &effects {
        recorder.follow(state, effect, &mut facts);
    }
    let applied = state.config().applied();
    if applied != recorder.applied {
        recorder.applied = applied;
        facts.push(Fact::Applied { offset: applied });
    }
    Step { effects, facts }
}

impl Recorder {
    /// Tells how the answer to a started request ended; its record follows with `Event::Ended`.
    pub fn ended(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(open) = self.open.get_mut(&request) {
            open.ended = Some(outcome);
        }
    }

    /// The last fact of a process.
    pub fn close(&self, state: &State) -> Fact {
        Fact::Closed { open: state.len().try_into().unwrap_or(u32::MAX) }
    }

    fn before(&mut self, state: &State, at: SystemTime, event: &Event, facts: &mut Vec<Fact>) {
        match event {
            Event::Arrived(request) => {
                self.open.insert(request.id, open(state.config(), at, request));
            }
            Event::Ended { request } => {
                if let Some(open) = self.open.remove(request) {
                    let outcome = open.ended.unwrap_or(Outcome::Abandoned);
                    facts.push(Fact::Request(Request { outcome, ..open.request }));
                }
            }
            Event::Hosts(hosts) => self.list(hosts, facts),
            Event::Drain => facts.push(Fact::Draining),
            _ => {}
        }
    }

    fn follow(&mut self, state: &State, effect: &Effect, facts: &mut Vec<Fact>) {
        match effect {
            Effect::Start(start) => {
                if let Some(open) = self.open.get_mut(&start.id.request) {
                    own(&mut open.request, state.config(), &start.owner);
                    let target = start.target.clone();
                    open.request.starts.push(Start { attempt: start.id.attempt, target });
                }
            }
            Effect::Refuse { request, owner, refusal } => {
                if let Some(open) = self.open.remove(request) {
                    facts.push(refused(state, open, owner, refusal));
                }
            }
            Effect::Applied(config::AppliedRecord {
                outcome: config::Outcome::Accepted(_),
                action,
                ..
            }) => {
                self.change(action.as_ref(), facts);
            }
            Effect::Restored(_) => {
                let targets: Vec<&Target> =
                    state.config().list(Kind::Target).filter_map(|v| target(&v.resource)).collect();
                for target in targets {
                    self.target(target, facts);
                }
            }
            _ => {}
        }
    }

    fn list(&mut self, hosts: &[Host], facts: &mut Vec<Fact>) {
        let leaving = hosts.iter().filter(|host| host.state == host::State::Leaving);
        let leaving: BTreeSet<&str> = leaving.map(|host| host.name.as_str()).collect();
        let back = self.leaving.iter().filter(
            |subject| matches!(subject, Subject::Host(name) if !leaving.contains(name.as_str())),
        );
        for subject in back.cloned().collect::<Vec<_>>() {
            self.depart(subject, false, facts);
        }
        for name in leaving {
            self.depart(Subject::Host(name.to_owned()), true, facts);
        }
    }

    fn change(&mut self, action: Option<&Action>, facts: &mut Vec<Fact>) {
        match action {
            Some(Action::Put(Resource::Target(target))) => self.target(target, facts),
            Some(Action::Delete(key)) if key.kind == Kind::Target => {
                self.depart(Subject::Target(key.name.clone()), true, facts);
            }
            _ => {}
        }
    }

    fn target(&mut self, target: &Target, facts: &mut Vec<Fact>) {
        let leaving = target.desired != Desired::Serving;
        self.depart(Subject::Target(target.name.clone()), leaving, facts);
    }

    /// Records a change; what is known already is recorded once.
    fn depart(&mut self, subject: Subject, leaving: bool, facts: &mut Vec<Fact>) {
        let changed = match leaving {
            true => self.leaving.insert(subject.clone()),
            false => self.leaving.remove(&subject),
        };
        if changed {
            facts.push(Fact::Departure(Departure { subject, leaving }));
        }
    }
}

fn open(config: &config::State, arrived: SystemTime, request: &entry::Request) -> Open {
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
    Open { request: record, pool: pool.map(|pool| pool.name.clone()), ended: None }
}

fn refused(state: &State, open: Open, owner: &Owner, refusal: &Refusal) -> Fact {
    let mut request = open.request;
    own(&mut request, state.config(), owner);
    let pool = open.pool.filter(|_| refusal.reason == Reason::Overloaded);
    let left_waiting = pool.and_then(|pool| state.lowest_waiting_for(&pool));
    let outcome = Outcome::Refused { reason: refusal.reason, ran: refusal.ran, left_waiting };
    Fact::Request(Request { outcome, ..request })
}

/// Fills in what the reducer found out about a request.
fn own(request: &mut Request, config: &config::State, owner: &Owner) {
    request.rank = config.tier(&owner.tier).map(|tier| tier.rank);
    if request.account.is_empty() {
        request.account.clone_from(&owner.account);
    }
}

fn target(resource: &Resource) -> Option<&Target> {
    match resource {
        Resource::Target(target) => Some(target),
        _ => None,
    }
}
