//! Handing claims over before an agent leaves: a snapshot while it still grants, then the tail
//! once it is frozen. Only then comes the record that moves the keys to their next homes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    claim::Transfer,
    id::{ClaimKey, Offset},
};

use super::{Effect, State};

/// Most claims in one message.
const BATCH: usize = 1_000;

/// How far the hand-over is.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    /// Epoch under which claims were given so far; `None` where none were.
    epoch: Option<Offset>,
    /// Keys that changed since they were given.
    changed: BTreeSet<ClaimKey>,
    /// Whether nothing more is granted.
    pub(super) frozen: bool,
}

impl Handover {
    /// Notes that a key has to be given again.
    pub(super) fn changed(&mut self, key: ClaimKey) {
        if self.epoch.is_some() {
            self.changed.insert(key);
        }
    }

    /// Notes that nothing is sure to have arrived.
    pub(super) fn fail(&mut self) {
        self.epoch = None;
        self.changed.clear();
    }
}

impl State {
    /// Gives what the next homes don't have yet; all of it where the members changed.
    pub(super) fn hand_over(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.members.epoch();
        let is_first = self.handover.epoch != Some(epoch);
        let changed = std::mem::take(&mut self.handover.changed);
        self.handover.epoch = Some(epoch);
        let mut by_home: BTreeMap<SocketAddr, Vec<Transfer>> = BTreeMap::new();
        let wanted = |transfer: &Transfer| is_first || changed.contains(&transfer.key);
        for transfer in self.table.iter().filter(wanted) {
            if let Some(home) = self.members.next_home(transfer.key, self.settings.incarnation) {
                by_home.entry(home.control).or_default().push(transfer);
            }
        }
        for (address, claims) in by_home {
            let batches = claims.chunks(BATCH).map(<[Transfer]>::to_vec);
            effects.extend(batches.map(|claims| Effect::HandOver { address, claims }));
        }
    }

    /// Epoch under which everything was handed over, if it still stands and everything was.
    pub fn handed_over(&self) -> Option<Offset> {
        let epoch = self.handover.epoch.filter(|epoch| *epoch == self.members.epoch())?;
        let is_whole = self.handover.frozen && self.handover.changed.is_empty();
        let has_by_home = self.members.members().any(|m| m.id != self.settings.incarnation);
        (is_whole && (has_by_home || self.is_empty())).then_some(epoch)
    }
}
