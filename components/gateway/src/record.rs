//! The log of decisions: one line for each.

use std::time::Instant;

use scheduler::direct::{Effect, Lack, Note, Refusal, State, Ticket};
use tracing::{info, warn};

/// Logs what the reducer decided.
pub fn decided(state: &State, now: Instant, effect: &Effect) {
    match effect {
        Effect::Start(start) => {
            let Some(view) = state.view(start.ticket, now) else {
                return;
            };
            info!(
                request = view.id,
                route = view.route,
                account = start.account,
                to = start.target,
                attempt = start.attempt,
                waited_ms = view.waited.as_millis() as u64,
                running = view.running,
                elsewhere = view.elsewhere,
                plan = view.plan,
                units = view.units,
                left_ms = start.until.saturating_duration_since(now).as_millis() as u64,
                "dispatched"
            );
        }
        Effect::Probe { target, .. } => info!(to = target, "asked whether it takes connections"),
        Effect::Refuse { .. } | Effect::Pass { .. } => {}
        Effect::Note(note) => noted(note),
    }
}

/// Logs a refusal with the id that the caller gave.
pub fn refused(id: &str, ticket: Ticket, refusal: &Refusal, waiting: usize) {
    let retry_after_ms = refusal.retry_after.map(|wait| wait.as_millis() as u64);
    let reason = refusal.reason;
    let not_run = refusal.not_run;
    let Some(lack) = refusal.lack else {
        return info!(request = id, ticket, ?reason, not_run, retry_after_ms, waiting, "refused");
    };
    let Lack { units, left, rate, among, together } = lack;
    info!(
        request = id,
        ticket,
        ?reason,
        not_run,
        retry_after_ms,
        units,
        left,
        rate,
        among,
        together,
        "refused"
    );
}

fn noted(note: &Note) {
    match note {
        Note::Planned { version } => info!(version, "a configuration is in force"),
        Note::Targets { ready, listed } => info!(ready, listed, "the targets changed"),
        Note::Fresh(true) => info!("the configuration is current: keys count"),
        Note::Fresh(false) => warn!("the configuration may be out of date: keys don't count"),
        Note::Peers { heard, expected, together } => {
            info!(heard, expected, together, "entry processes that are heard changed");
        }
        Note::Quarantined(body) => {
            let body = body.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
            warn!(body, "a body is refused: targets died while they ran it");
        }
    }
}
