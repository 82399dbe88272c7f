//! What is learnt of the platform and of other entry processes.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use model::id::PoolName;

use super::{
    RETURN, SILENCE, State, allowance,
    capacity::Place,
    event::{Effect, Note, Now},
    peers::{Row, Told},
    plan::Plan,
    relay::Era,
};

/// Whether the platform has been silent for so long that this is an outage.
fn is_silent(answered: Option<Duration>, now: Now) -> bool {
    answered.is_none_or(|at| now.boot.saturating_sub(at) > SILENCE)
}

impl State {
    pub(super) fn plan(&mut self, plan: Arc<Plan>, effects: &mut Vec<Effect>) {
        // A configuration never steps back within the life of a process.
        if self.plan.as_ref().is_some_and(|known| known.version >= plan.version) {
            return;
        }
        effects.push(Effect::Note(Note::Planned { version: plan.version }));
        let routes = plan.routes.values().flatten();
        let pools: BTreeSet<&PoolName> =
            routes.flat_map(|route| &route.parts).map(|part| &part.pool).collect();
        let lowest = |pool: &PoolName| Some((pool.clone(), plan.lowest(pool)?));
        let ranks = plan.accounts.values().map(|account| account.rank);
        self.lowest_account = ranks.max().unwrap_or_default();
        self.lowest = pools.into_iter().filter_map(lowest).collect();
        self.plan = Some(plan);
        self.next_grant = None;
    }

    /// The platform answered a read, whatever that was of: one of a large configuration may last longer
    /// than silence may.
    fn reach(&mut self, now: Now) {
        if is_silent(self.answered, now) {
            self.outage = Some(now.steady);
        }
        self.answered = Some(now.boot);
    }

    /// The platform answered a read of its list.
    pub(super) fn list_answered(&mut self, now: Now) {
        self.reach(now);
        self.list_answered = Some(now.steady);
    }

    /// The platform's newest configuration was of that version.
    pub(super) fn confirm(&mut self, now: Now, boot: Duration, version: u64, era: Era) {
        self.reach(now);
        self.enter(now.steady, era);
        if self.proves(now.steady, version) {
            self.confirmed = self.confirmed.max(Some(boot));
        }
    }

    pub(super) fn freshen(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let age = self.confirmed.map(|at| now.boot.saturating_sub(at));
        let fresh = age.is_some_and(|age| age < self.settings.freshness);
        if fresh != self.fresh {
            self.fresh = fresh;
            effects.push(Effect::Note(Note::Fresh(fresh)));
        }
    }

    /// Whether living targets may be missing in a list that is read now.
    pub(super) fn is_returning(&self, now: Instant) -> bool {
        self.outage.is_some_and(|at| now.duration_since(at) < RETURN)
    }

    /// Uses the targets of the last list, and those that vanished from it if that is asked for.
    pub(super) fn use_listed(
        &mut self,
        now: Instant,
        keep_vanished: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.keeps_vanished = keep_vanished;
        if !keep_vanished {
            self.see_off(now);
        }
        let listed = &self.listing.targets;
        let mut used = listed.clone();
        if keep_vanished {
            let names: BTreeSet<&str> = listed.iter().map(|target| target.name.as_str()).collect();
            let vanished =
                self.capacity.listed().filter(|target| !names.contains(target.name.as_str()));
            used.extend(vanished.cloned());
        }
        let ready = used.iter().filter(|target| target.ready).count();
        let kept = used.len() - listed.len();
        let listed = used.len();
        let restarted = self.capacity.list(used);
        self.assign_lanes(now);
        let unordered = self.capacity.shut();
        effects.push(Effect::Note(Note::Targets { ready, listed, kept, unordered }));
        for target in restarted {
            // What broke off there just before ran when it died.
            self.count_crashes(now, &target, true, effects);
            effects.push(Effect::Note(Note::Restarted(target)));
        }
        self.look_round(now, effects);
    }

    /// Gives vanished targets up once the time in which living ones come back is over.
    pub(super) fn relist(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.keeps_vanished && !self.is_returning(now) {
            self.use_listed(now, false, effects);
        }
    }

    pub(super) fn hear(&mut self, now: Instant, rows: Vec<Row>, effects: &mut Vec<Effect>) {
        let (own, opened) = (self.settings.address, self.opened);
        for row in rows.into_iter().filter(|row| row.address != Some(own)) {
            self.hear_shares(now, row.age, &row.rollouts, effects);
            self.hear_limits(now, row.age, &row.limits, effects);
            for told in self.peers.hear(now, now.saturating_duration_since(opened), row) {
                let (Told::Spent(account, _) | Told::Left(account, _)) = &told;
                let usage = self.accounts.entry(account.clone());
                let usage = usage.or_insert_with(|| allowance::open(opened));
                match told {
                    Told::Spent(_, units) => usage.charge(units as f64),
                    Told::Left(_, left) => {
                        usage.adopt(now, left);
                        self.next_grant = None;
                    }
                }
            }
        }
        self.look_round(now, effects);
    }

    /// Takes stock of the other processes.
    pub(super) fn look_round(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let gone = self.settings.gone;
        self.peers.forget(now, gone);
        self.crashes.forget(now);
        let mut addresses = self.peers.active_addresses(now, gone);
        let own = self.settings.address;
        addresses.push(own);
        addresses.sort_unstable();
        let index = addresses.iter().position(|&address| address == own).unwrap_or_default();
        self.place = Place { index: index as u32, among: addresses.len() as u32 };
        self.capacity.share(self.peers.addresses().count());
        let heard = self.peers.heard(now, gone);
        self.heard = heard as u32 + 1;
        let together = self.peers.together(now, gone, own);
        if together != self.together {
            self.together = together;
            self.next_grant = None;
            let expected = self.peers.expected(now, gone);
            effects.push(Effect::Note(Note::Peers { heard, expected, together }));
        }
        self.capacity.count_others(now, self.peers.running(now));
        self.decide_rollouts(now, effects);
    }
}
