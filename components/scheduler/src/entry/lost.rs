//! Removes an agent from the membership if its host has disappeared from the platform's list of
//! hosts: such an agent can't append the record of its own leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{Host, id::HostName, membership::Leave};

use super::{Effect, State};

/// Time for which a host has to be missing from the platform's list before its agent is considered
/// lost.
pub const HOST_ABSENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Hosts that have disappeared from the platform's list, derived from successive lists.
#[derive(Clone, Debug, Default)]
pub(super) struct MissingHosts {
    /// Hosts of the latest list.
    listed: BTreeSet<HostName>,
    /// Hosts that were listed before and aren't in the latest list, each with the time at which it
    /// was first missing or, if later, at which its agent was last reported as lost.
    missing: BTreeMap<HostName, Instant>,
}

impl MissingHosts {
    /// Updates the missing hosts from a new list. A host that was never listed doesn't count as
    /// missing, because the list may lag behind the start of a host.
    pub(super) fn update(&mut self, now: Instant, hosts: &[Host]) {
        let listed: BTreeSet<HostName> = hosts.iter().map(|host| host.name.clone()).collect();
        for host in self.listed.difference(&listed) {
            self.missing.entry(host.clone()).or_insert(now);
        }
        self.missing.retain(|host, _| !listed.contains(host));
        self.listed = listed;
    }
}

impl State {
    /// Reports members whose hosts have been missing for `HOST_ABSENCE_TIMEOUT`, and repeats the
    /// report at that interval. If more than half of the members' hosts are missing, the list is
    /// considered faulty and nothing is reported.
    pub(super) fn report_lost_members(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let hosts: BTreeSet<HostName> =
            self.membership.members().map(|member| member.host.clone()).collect();
        self.missing_hosts.missing.retain(|host, _| hosts.contains(host));
        if self.missing_hosts.missing.len() * 2 > hosts.len() {
            return;
        }
        for member in self.membership.members() {
            let Some(since) = self.missing_hosts.missing.get_mut(&member.host) else {
                continue;
            };
            if now.saturating_duration_since(*since) >= HOST_ABSENCE_TIMEOUT {
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

    /// Requests the record that removes a lost member, unless the member's host is listed again or
    /// the member is no longer in the membership, for example because another process removed it.
    pub(super) fn remove_lost_member(&self, leave: Leave, effects: &mut Vec<Effect>) {
        let member = self.membership.incarnation(&leave.target);
        let member = member.filter(|member| member.id == leave.incarnation);
        if member.is_some_and(|member| self.missing_hosts.missing.contains_key(&member.host)) {
            effects.push(Effect::Remove(leave));
        }
    }
}
