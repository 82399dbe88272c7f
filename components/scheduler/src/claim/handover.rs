//! Hand-over of claims before an agent leaves: all claims while it still grants keys, then the
//! claims that changed in the meantime, once it is frozen. Only after that may the leave record be
//! appended, which makes other agents the homes of the keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    claim::Transfer,
    id::{ClaimKey, Offset},
};

use super::{Effect, State};

/// Maximum number of claims in one message.
const MAX_CLAIMS_PER_MESSAGE: usize = 1_000;

/// Progress of a hand-over.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    /// Membership epoch under which claims were last sent; `None` before the first hand-over and
    /// after a failed one.
    sent_epoch: Option<Offset>,
    /// Keys whose marks changed after they were sent.
    changed_keys: BTreeSet<ClaimKey>,
    /// Whether the agent grants no more keys.
    pub(super) is_frozen: bool,
}

impl Handover {
    /// Records that the mark of a key changed and has to be sent again.
    pub(super) fn mark_changed(&mut self, key: ClaimKey) {
        if self.sent_epoch.is_some() {
            self.changed_keys.insert(key);
        }
    }

    /// Discards the progress after a failed message, so that the next hand-over sends all claims.
    pub(super) fn restart(&mut self) {
        self.sent_epoch = None;
        self.changed_keys.clear();
    }
}

impl State {
    /// Sends the claims that the next homes don't have yet; all claims where the membership changed
    /// since the last hand-over, because the next homes may be others.
    pub(super) fn hand_over(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.members.epoch();
        let is_first = self.handover.sent_epoch != Some(epoch);
        let changed_keys = std::mem::take(&mut self.handover.changed_keys);
        self.handover.sent_epoch = Some(epoch);
        let mut claims_by_home: BTreeMap<SocketAddr, Vec<Transfer>> = BTreeMap::new();
        let must_send = |transfer: &Transfer| is_first || changed_keys.contains(&transfer.key);
        for transfer in self.table.iter().filter(must_send) {
            if let Some(home) = self.members.next_home(transfer.key, self.settings.incarnation) {
                claims_by_home.entry(home.control).or_default().push(transfer);
            }
        }
        for (address, claims) in claims_by_home {
            let batches = claims.chunks(MAX_CLAIMS_PER_MESSAGE).map(<[Transfer]>::to_vec);
            effects.extend(batches.map(|claims| Effect::HandOver { address, claims }));
        }
    }

    /// Returns the current epoch if every stored claim was sent under it, with its latest mark, and
    /// no more keys are granted.
    ///
    /// Returns `None` while a claim remains to be sent, while keys are still granted, after a
    /// membership change, and where claims are stored but there is no other member to take them.
    pub fn handed_over(&self) -> Option<Offset> {
        let epoch = self.handover.sent_epoch.filter(|epoch| *epoch == self.members.epoch())?;
        let is_complete = self.handover.is_frozen && self.handover.changed_keys.is_empty();
        let has_other_member = self.members.members().any(|m| m.id != self.settings.incarnation);
        (is_complete && (has_other_member || self.is_empty())).then_some(epoch)
    }
}
