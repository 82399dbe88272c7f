//! Members whose hosts the platform took away: somebody has to say that they are gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{Host, id::HostName, membership::Leave};

use super::{Effect, State};

/// Time for which a host has to be missing from the list before its agent is taken for lost.
pub const ABSENCE: Duration = Duration::from_secs(30);

/// What the lists so far say of hosts that were on one and aren't any more.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch {
    /// Hosts of the last list.
    listed: BTreeSet<HostName>,
    /// Hosts that were listed and aren't now, and since when, or when their agents were last
    /// reported.
    missing: BTreeMap<HostName, Instant>,
}

impl Watch {
    /// Takes a list in. A host that was never listed isn't missing: the list lags.
    pub(super) fn see(&mut self, now: Instant, hosts: &[Host]) {
        let listed: BTreeSet<HostName> = hosts.iter().map(|host| host.name.clone()).collect();
        for host in self.listed.difference(&listed) {
            self.missing.entry(host.clone()).or_insert(now);
        }
        self.missing.retain(|host, _| !listed.contains(host));
        self.listed = listed;
    }
}

impl State {
    /// Reports members whose hosts have been missing for long. A list that lacks most members'
    /// hosts is taken for faulty.
    pub(super) fn report_lost(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let hosts: BTreeSet<HostName> = self.members.members().map(|m| m.host.clone()).collect();
        self.lost.missing.retain(|host, _| hosts.contains(host));
        if self.lost.missing.len() * 2 > hosts.len() {
            return;
        }
        for member in self.members.members() {
            let Some(since) = self.lost.missing.get_mut(&member.host) else {
                continue;
            };
            if now.saturating_duration_since(*since) >= ABSENCE {
                *since = now;
                effects.push(Effect::Lost(Leave {
                    target: member.target.clone(),
                    incarnation: member.id,
                    handed_over: None,
                    ended: false,
                }));
            }
        }
    }

    /// Lets the record go to the log, unless the agent is back or another process was faster.
    pub(super) fn remove(&self, leave: Leave, effects: &mut Vec<Effect>) {
        let member = self.members.incarnation(&leave.target);
        let member = member.filter(|member| member.id == leave.incarnation);
        if member.is_some_and(|member| self.lost.missing.contains_key(&member.host)) {
            effects.push(Effect::Remove(leave));
        }
    }
}
