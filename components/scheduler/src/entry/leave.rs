//! Targets that are leaving: they get no new work, whoever said so.

use std::{collections::BTreeSet, time::Instant};

use model::{
    Host, host,
    id::{HostName, TargetName},
    reservation::Id,
    resource::{Desired, Target},
};

use super::{Effect, State};

impl State {
    /// Whether a target may get new work, as far as the operator and the platform say.
    pub(super) fn is_serving(&self, target: &Target) -> bool {
        target.desired == Desired::Serving && !self.leaving.contains(&target.host)
    }

    /// Takes the platform's list in.
    pub(super) fn list(&mut self, now: Instant, hosts: Vec<Host>, effects: &mut Vec<Effect>) {
        self.count_entries(&hosts);
        self.lost.see(now, &hosts);
        self.report_lost(now, effects);
        let leaving = hosts.into_iter().filter(|host| host.state == host::State::Leaving);
        let leaving: BTreeSet<HostName> = leaving.map(|host| host.name).collect();
        if leaving != self.leaving {
            self.leaving = leaving;
            self.withdraw(now, effects);
        }
    }

    /// Takes waiting requests away from targets that may get no new work; a grant that is on its
    /// way then starts nothing.
    pub(super) fn withdraw(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (id, target) in self.misplaced() {
            let Some(pending) = self.requests.get_mut(&id.request) else {
                continue;
            };
            if pending.open.remove(&id).is_none() {
                continue;
            }
            if let Some(address) = self.control(&target) {
                effects.push(Effect::Cancel { id, address });
            }
            self.seek(now, id.request, effects);
        }
    }

    fn misplaced(&self) -> Vec<(Id, TargetName)> {
        let waiting = self.waiting.iter().filter_map(|order| self.requests.get(&order.request));
        let open = waiting.flat_map(|pending| &pending.open);
        let misplaced = open.filter(|(_, name)| {
            self.config.target(name).is_none_or(|target| !self.is_serving(target))
        });
        misplaced.map(|(id, name)| (*id, name.clone())).collect()
    }
}
