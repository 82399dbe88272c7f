//! Bodies that may crash a target: a suspected one waits at one target at a time and runs alone, a
//! quarantined one is refused.

use std::time::{Duration, Instant};

use model::{Refusal, id::RequestId, refusal::Reason};

use super::{Effect, Record, State};
use crate::suspect::Standing;

/// Time for which a body is suspected here after a start without an answer; by then the record of
/// a crash, if it was one, has been read.
const OWN_LIFE: Duration = Duration::from_secs(10);

impl State {
    /// Applies records of the stream of crashes, and changes what waits accordingly.
    pub(super) fn heed(&mut self, now: Instant, records: Vec<Record>, effects: &mut Vec<Effect>) {
        for record in records {
            self.suspects.apply(record.offset, &record.payload);
        }
        let waiting: Vec<RequestId> = self.waiting.iter().map(|order| order.request).collect();
        for id in waiting {
            let was_alone = self.requests.get(&id).is_some_and(|pending| pending.alone);
            if self.is_quarantined(now, id) {
                self.refuse_quarantined(id, None, effects);
            } else if !was_alone && self.requests.get(&id).is_some_and(|pending| pending.alone) {
                self.isolate(now, id, effects);
            }
        }
    }

    /// A start ended without an answer: its body is suspected here for a time.
    pub(super) fn suspect(&mut self, now: Instant, id: RequestId) {
        self.own_suspects.retain(|_, until| *until > now);
        if let Some(pending) = self.requests.get(&id) {
            self.own_suspects.insert(pending.request.fingerprint, now + OWN_LIFE);
        }
    }

    /// Whether a request's body is quarantined; marks it where it is suspected.
    pub(super) fn is_quarantined(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        let body = pending.request.fingerprint;
        let standing = self.suspects.standing(body);
        let own = self.own_suspects.get(&body).is_some_and(|until| *until > now);
        pending.alone |= own || standing.is_some();
        standing == Some(Standing::Quarantined)
    }

    /// Refuses a request whose body crashed targets; without a time to come back where that is
    /// on record, with one where only its agent says so yet.
    pub(super) fn refuse_quarantined(
        &mut self,
        id: RequestId,
        wait: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let message = "this body crashed targets; sending it again can't help";
        let refusal = Refusal::not_run(Reason::Quarantined, message);
        let refusal = Refusal { retry_after: wait, ..refusal };
        self.refuse(id, refusal, effects);
    }

    /// Gives up reservations that were made before the body was suspected.
    fn isolate(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.tried.clear();
        let open = std::mem::take(&mut pending.open);
        self.cancel(open, effects);
        self.seek(now, id, effects);
    }
}
