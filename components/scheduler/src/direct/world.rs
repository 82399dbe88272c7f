//! Updates of the state by what is read from the platform and received from other entry processes.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use model::id::PoolName;

use super::{
    State,
    allowance::PeerCharge,
    capacity::ProcessIndex,
    event::{Effect, LogEntry, Now},
    outage,
    peers::{Row, UsageChange, UsageChanges, exchange_period},
    plan::Configuration,
    relay::{Era, MIN_CRASH_FETCH_INTERVAL},
    shares,
};

/// Returns the log entries of the pools whose rules differ between two configurations.
fn changed_rules<'a>(
    known: Option<&'a Configuration>,
    next: &'a Configuration,
) -> impl Iterator<Item = LogEntry> + 'a {
    let pools: BTreeSet<&PoolName> = known
        .into_iter()
        .chain([next])
        .flat_map(|configuration| configuration.pools.keys())
        .collect();
    let changed = move |pool: &PoolName| {
        let before = known.map(|known| known.pool_rules(pool)).unwrap_or_default();
        before != next.pool_rules(pool)
    };
    pools.into_iter().filter(move |pool| changed(pool)).map(|pool| LogEntry::RulesChanged {
        pool: pool.clone(),
        rules: next.pool_rules(pool),
        version: next.version,
    })
}

impl State {
    /// Puts a configuration in force if it is newer than the known one.
    pub(super) fn apply_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        effects: &mut Vec<Effect>,
    ) {
        // A process never replaces its configuration by an older version.
        if self.configuration.as_ref().is_some_and(|known| known.version >= configuration.version) {
            return;
        }
        effects
            .push(Effect::Log(LogEntry::ConfigurationChanged { version: configuration.version }));
        let known = self.configuration.as_deref();
        effects.extend(changed_rules(known, &configuration).map(Effect::Log));
        let routes = configuration.routes.values().flatten();
        let pools: BTreeSet<&PoolName> =
            routes.flat_map(|route| &route.pools).map(|share| &share.pool).collect();
        let lowest =
            |pool: &PoolName| Some((pool.clone(), configuration.lowest_stream_rank(pool)?));
        let ranks = configuration.accounts.values().map(|account| account.rank);
        self.lowest_account_rank = ranks.max().unwrap_or_default();
        self.lowest_tiers = pools.into_iter().filter_map(lowest).collect();
        self.weights = shares::weights(&configuration);
        self.configuration = Some(configuration);
        self.next_grant = None;
    }

    /// Records that the platform answered a read of any kind: a single read of a large configuration may
    /// take longer than the time without an answer that counts as an outage.
    fn record_platform_answer(&mut self, now: Now) {
        if outage::is_outage(self.platform_answered, now) {
            let silence = self.platform_answered.map(|at| now.boot.saturating_sub(at));
            let time = silence.map_or(outage::RELISTING_TIME, outage::relisting_time);
            self.relisting_until = Some(now.steady + time);
        }
        self.platform_answered = Some(now.boot);
    }

    /// Records that the platform answered a read of its list of targets.
    pub(super) fn record_list_answer(&mut self, now: Now) {
        self.record_platform_answer(now);
        self.list_answered = Some(now.steady);
    }

    /// Records that at the time `boot`, by the boot clock, the platform's newest configuration had this
    /// version and its service this era.
    pub(super) fn confirm(
        &mut self,
        now: Now,
        boot: Duration,
        version: u64,
        era: Era,
        effects: &mut Vec<Effect>,
    ) {
        self.record_platform_answer(now);
        self.enter_era(now.steady, era);
        if !self.confirms_configuration(now.steady, version) {
            return;
        }
        self.confirmed = self.confirmed.max(Some(boot));
        // The same read returned the orders of rollouts.
        if let Some(at) = now.steady.checked_sub(now.boot.saturating_sub(boot)) {
            self.rollouts.confirm_orders(at);
        }
        if self.rollouts.has_candidates() {
            self.assign_lanes(now.steady);
            self.log_targets(effects);
        }
    }

    /// Logs the targets in use if any of them get no requests because of their version, or no longer do.
    fn log_targets(&mut self, effects: &mut Vec<Effect>) {
        let unordered = self.capacity.closed_count();
        if std::mem::replace(&mut self.unordered, unordered) != unordered {
            let listed = self.capacity.listed_targets().count();
            let ready = self.capacity.listed_targets().filter(|target| target.is_ready).count();
            let kept = listed - listed.min(self.target_list.targets.len());
            effects.push(Effect::Log(LogEntry::TargetsChanged { ready, listed, kept, unordered }));
        }
    }

    /// Updates whether the configuration counts as current, and logs a change.
    pub(super) fn update_freshness(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let age = self.confirmed.map(|at| now.boot.saturating_sub(at));
        let fresh = age.is_some_and(|age| age < self.settings.max_configuration_age);
        if fresh != self.is_fresh {
            self.is_fresh = fresh;
            effects.push(Effect::Log(LogEntry::FreshnessChanged(fresh)));
        }
    }

    /// Returns whether an outage of the platform ended so recently that the platform's list may still lack
    /// running targets.
    pub(super) fn is_recovering_from_outage(&self, now: Instant) -> bool {
        self.relisting_until.is_some_and(|until| now < until)
    }

    /// Replaces the targets in use by those of the last list and, if `keep_vanished` is set, those that are
    /// in use but missing in the list.
    pub(super) fn apply_target_list(
        &mut self,
        now: Instant,
        keep_vanished: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.keeps_vanished = keep_vanished;
        if !keep_vanished {
            self.remember_departed(now);
        }
        let listed = &self.target_list.targets;
        let mut used = listed.clone();
        if keep_vanished {
            let names: BTreeSet<&str> = listed.iter().map(|target| target.name.as_str()).collect();
            let vanished = self
                .capacity
                .listed_targets()
                .filter(|target| !names.contains(target.name.as_str()));
            used.extend(vanished.cloned());
        }
        let ready = used.iter().filter(|target| target.is_ready).count();
        let kept = used.len() - listed.len();
        let listed = used.len();
        self.listed_versions.replace(now, used.iter());
        let restarted = self.capacity.replace_targets(now, used);
        self.assign_lanes(now);
        let unordered = self.capacity.closed_count();
        self.unordered = unordered;
        effects.push(Effect::Log(LogEntry::TargetsChanged { ready, listed, kept, unordered }));
        for target in restarted {
            // Requests whose connection broke off shortly before the restart ran when the target crashed.
            self.count_crashes(now, &target, true, effects);
            effects.push(Effect::Log(LogEntry::Restarted(target)));
        }
        self.update_homes(now, effects);
        self.update_peers(now, effects);
    }

    /// Removes the targets that were kept after an outage although the platform's list lacks them, once the
    /// platform had time to list every running target again.
    pub(super) fn drop_vanished_targets(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.keeps_vanished && !self.is_recovering_from_outage(now) {
            self.apply_target_list(now, false, effects);
        }
    }

    /// Applies rows that were received from another process, whose own row is the first: rollouts, rate
    /// limits and notices of targets, and the use of accounts' limits.
    pub(super) fn receive_rows(&mut self, now: Instant, rows: Vec<Row>, effects: &mut Vec<Effect>) {
        let (own, uptime) = (self.settings.address, now.saturating_duration_since(self.started));
        let sender = rows.first().and_then(|row| row.address);
        for row in rows.into_iter().filter(|row| row.address != Some(own)) {
            self.merge_peer_rollouts(now, row.age, &row.rollouts, effects);
            self.record_peer_limits(now, row.age, &row.target_limits, effects);
            self.record_peer_leaving(now, &row.leaving_targets, effects);
            if let Some(changes) = self.peers.record_row(now, uptime, row) {
                self.apply_usage_changes(now, changes);
            }
        }
        if let Some(sender) = sender {
            self.peers.record_heard(now, sender);
        }
        self.update_peers(now, effects);
    }

    /// Applies the changes of accounts' use that another process reported.
    fn apply_usage_changes(&mut self, now: Instant, reported: UsageChanges) {
        let UsageChanges { peer, made, time, changes } = reported;
        for change in changes {
            match change {
                UsageChange::Admitted(account, units, held_units) => {
                    self.refill_account(now, &account);
                    let (units, held_units) = (units as f64, held_units as f64);
                    let charge = PeerCharge { units, held_units, made, time };
                    self.allowance(&account).charge(peer, charge);
                    // Where fewer units were admitted than expected, more are left for requests that wait.
                    self.next_grant = None;
                }
                UsageChange::Remaining(account, left) => {
                    self.allowance(&account).adopt(now, left);
                    self.next_grant = None;
                }
                UsageChange::Ended(account) => self.allowance(&account).remove_peer(&peer),
            }
        }
    }

    /// Updates everything that is derived from the rows of the other processes and their ages: the share of
    /// this process, the load of the targets and the decisions about rollouts.
    pub(super) fn update_peers(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let peer_timeout = self.settings.peer_timeout;
        self.peers.remove_expired(now, peer_timeout);
        self.crashes.remove_expired(now);
        let period = exchange_period(self.peers.addresses().count());
        self.parts.set_settling_time(period * 2 + MIN_CRASH_FETCH_INTERVAL);
        self.parts.update(now);
        let mut addresses = self.peers.active_addresses(now, peer_timeout);
        let own = self.settings.address;
        addresses.push(own);
        addresses.sort_unstable();
        let index = addresses.iter().position(|&address| address == own).unwrap_or_default();
        self.process_index = ProcessIndex { index: index as u32, count: addresses.len() as u32 };
        self.parts.set_turn(self.process_index.index);
        self.capacity.set_other_processes(self.peers.addresses().count());
        let known = self.peers.current_count(now, peer_timeout);
        self.current_processes = known as u32 + 1;
        let usable = self.peers.usable_parts(now, peer_timeout, own);
        if usable != self.usable_parts {
            self.usable_parts = usable;
            self.next_grant = None;
            let expected = self.peers.active_count(now, peer_timeout);
            effects.push(Effect::Log(LogEntry::PeersChanged { known, expected, usable }));
        }
        self.update_leases(now, effects);
        self.capacity.replace_other_load(now, self.peers.target_loads(now));
        self.advance_rollouts(now, effects);
    }
}
