//! Outages of the platform: how calls to it are retried, and what follows for the end of an outage.
//!
//! A process learns of the end of an outage by the first call that is answered, which may be later than the
//! end by one failed call and one backoff. The schedule of the calls bounds that delay, so the process that
//! makes the calls and the reducer share it.

use std::time::Duration;

use super::Now;

/// Timeout of connecting to the platform.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a byte of an expected answer of the platform after which a call has failed.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum backoff after the first failed call; it doubles with each further one.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum backoff after any failed call.
pub const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Longest time without an answer of the platform that doesn't count as an outage.
pub(super) const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_800);
/// Time after the end of an outage for which targets that the platform's list lacks are still used: all
/// running targets are listed again within two seconds of the outage's end.
pub(super) const RELISTING_TIME: Duration = Duration::from_millis(2_200);
/// Longest time after the end of an outage for which targets that the platform's list lacks may be used:
/// they may have left while this process could not reach the platform.
const MAX_RELISTING_TIME: Duration = Duration::from_secs(3);

/// Returns whether the platform hasn't answered for so long that this counts as an outage; `answered` is the
/// time of its last answer by the boot clock, `None` where there was none.
pub(super) fn is_outage(answered: Option<Duration>, now: Now) -> bool {
    answered.is_none_or(|at| now.boot.saturating_sub(at) > OUTAGE_THRESHOLD)
}

/// Returns for how long after the first answer that ends an outage the list may lack running targets.
/// `silence` is the time since the last answer before. The list also lacks the targets that left during the
/// outage, so the time is limited from the earliest possible end of the outage.
pub(super) fn relisting_time(silence: Duration) -> Duration {
    RELISTING_TIME.min(MAX_RELISTING_TIME - max_answer_delay(silence))
}

/// Returns how long before the first answer the platform may have been reachable again: a call that began
/// just before the end of the outage still fails, and the next one begins after a backoff. The more calls
/// have failed, the longer the backoff is.
fn max_answer_delay(silence: Duration) -> Duration {
    // The first call that failed was connected when the outage began.
    let mut failing_time = ANSWER_TIMEOUT;
    let mut backoff = BACKOFF_MIN;
    let mut delay = Duration::ZERO;
    while delay < CONNECT_TIMEOUT + BACKOFF_MAX {
        let next_delay = CONNECT_TIMEOUT + backoff;
        if failing_time + next_delay > silence {
            break;
        }
        failing_time += next_delay;
        delay = next_delay;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
    delay
}
