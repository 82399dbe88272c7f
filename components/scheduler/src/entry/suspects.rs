//! Request bodies that may crash a target's engine. A request with a suspected body waits at one
//! target at a time and runs alone there; one with a quarantined body is refused.

use std::time::{Duration, Instant};

use model::{Refusal, id::RequestId, refusal::Reason};

use super::{Effect, Record, State};
use crate::suspect::BodyStatus;

/// Time for which this process suspects a body whose request started and ended without a whole
/// answer. If an engine crashed, the record of the crash has been read by the end of this time.
const LOCAL_SUSPICION_TTL: Duration = Duration::from_secs(10);

impl State {
    /// Applies records of the stream of crashes. Requests that haven't started are refused if their
    /// bodies are now quarantined, and reserved again at one target if they are newly suspected.
    pub(super) fn apply_crash_records(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        effects: &mut Vec<Effect>,
    ) {
        for record in records {
            self.suspects.apply(record.offset, &record.payload);
        }
        let waiting: Vec<RequestId> = self.waiting.iter().map(|order| order.request).collect();
        for id in waiting {
            let was_alone = self.requests.get(&id).is_some_and(|pending| pending.runs_alone);
            if self.is_quarantined(now, id) {
                self.refuse_quarantined(id, None, effects);
            } else if !was_alone && self.requests.get(&id).is_some_and(|pending| pending.runs_alone)
            {
                self.isolate_request(now, id, effects);
            }
        }
    }

    /// Suspects the body of a request that started and ended without a whole answer, for
    /// `LOCAL_SUSPICION_TTL`.
    pub(super) fn suspect_body(&mut self, now: Instant, id: RequestId) {
        self.local_suspects.retain(|_, until| *until > now);
        if let Some(pending) = self.requests.get(&id) {
            self.local_suspects.insert(pending.request.fingerprint, now + LOCAL_SUSPICION_TTL);
        }
    }

    /// Returns whether a request's body is quarantined. If the body is suspected, also marks the
    /// request to run alone.
    pub(super) fn is_quarantined(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        let body = pending.request.fingerprint;
        let status = self.suspects.status(body);
        let is_locally_suspected = self.local_suspects.get(&body).is_some_and(|until| *until > now);
        pending.runs_alone |= is_locally_suspected || status.is_some();
        status == Some(BodyStatus::Quarantined)
    }

    /// Refuses a request whose body crashed targets. `wait` is the retry delay for the caller:
    /// `None` if the quarantine is recorded in the stream of crashes, the delay from the denial if
    /// only an agent has reported it so far.
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

    /// Cancels the reservations that a request made before its body was suspected, and reserves at
    /// one target.
    fn isolate_request(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.tried_targets.clear();
        let reservations = std::mem::take(&mut pending.reservations);
        self.cancel_reservations(reservations, effects);
        self.reserve_next(now, id, effects);
    }
}
