//! Targets that are leaving according to the configuration or the platform's list of hosts. They
//! get no new requests.

use std::{collections::BTreeSet, time::Instant};

use model::{
    Host, host,
    id::{HostName, TargetName},
    reservation::Id,
    resource::{Desired, Target},
};

use super::{Effect, State};

impl State {
    /// Returns whether a target may get new requests: neither the operator's configuration nor the
    /// platform's list of hosts says that it is leaving.
    pub(super) fn is_serving(&self, target: &Target) -> bool {
        target.desired == Desired::Serving && !self.leaving_hosts.contains(&target.host)
    }

    /// Applies a new version of the platform's list of hosts.
    pub(super) fn update_hosts(
        &mut self,
        now: Instant,
        hosts: Vec<Host>,
        effects: &mut Vec<Effect>,
    ) {
        self.count_entry_hosts(&hosts);
        self.missing_hosts.update(now, &hosts);
        self.report_lost_members(now, effects);
        let leaving = hosts.into_iter().filter(|host| host.state == host::State::Leaving);
        let leaving: BTreeSet<HostName> = leaving.map(|host| host.name).collect();
        if leaving != self.leaving_hosts {
            self.leaving_hosts = leaving;
            self.withdraw_from_leaving_targets(now, effects);
        }
    }

    /// Cancels the reservations of requests that haven't started at targets that may get no new
    /// requests, and reserves elsewhere. A grant of such a reservation that is already in flight
    /// has no effect.
    pub(super) fn withdraw_from_leaving_targets(
        &mut self,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for (id, target) in self.reservations_on_leaving_targets() {
            let Some(pending) = self.requests.get_mut(&id.request) else {
                continue;
            };
            if pending.reservations.remove(&id).is_none() {
                continue;
            }
            if let Some(address) = self.control_address(&target) {
                effects.push(Effect::Cancel { id, address });
            }
            self.reserve_next(now, id.request, effects);
        }
    }

    /// Returns the open reservations of requests that haven't started at targets that are leaving
    /// or no longer configured.
    fn reservations_on_leaving_targets(&self) -> Vec<(Id, TargetName)> {
        let waiting = self.waiting.iter().filter_map(|order| self.requests.get(&order.request));
        let open = waiting.flat_map(|pending| &pending.reservations);
        let on_leaving = open.filter(|(_, name)| {
            self.config.target(name).is_none_or(|target| !self.is_serving(target))
        });
        on_leaving.map(|(id, name)| (*id, name.clone())).collect()
    }
}
