//! The log of decisions: one line for each.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use metrics::Gateway;
use scheduler::direct::{
    Effect, Grounds, Note, Now, Outcome, Reason, Refusal, State, View,
    relay::Topic,
    rollout::{Action, Step},
};
use tracing::{info, warn};

use crate::relay::{self, Fetched};

/// Logs what the reducer decided.
pub fn decided(state: &State, at: Now, effect: &Effect) {
    let now = at.steady;
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
                limit = view.limit.map(|(per_second, _)| per_second),
                limit_age_ms = view.limit.map(|(_, age)| millis(age)),
                plan = view.plan,
                list_age_ms = view.list_age.map(millis),
                units = view.units,
                expected = view.expected,
                token_us = view.pace.map(micros),
                patience_ms = millis(view.patience),
                left_ms = start.until.saturating_duration_since(now).as_millis() as u64,
                "dispatched"
            );
        }
        Effect::Leave { ticket, target } => {
            if let Some(view) = state.view(*ticket, now) {
                let after_ms = millis(view.running_for);
                info!(request = view.id, to = target, after_ms, "leaves its silent target");
            }
        }
        Effect::Probe { target, .. } => info!(to = target, "asked whether it takes connections"),
        Effect::Fetch { .. }
        | Effect::Pass { .. }
        | Effect::Refuse { .. }
        | Effect::Reserve(_)
        | Effect::Withdraw { .. } => {}
        Effect::Note(Note::Fresh(false)) => outdated(state, at),
        Effect::Note(note) => noted(note),
    }
}

/// Counts what the reducer decided.
pub fn count(state: &State, now: Instant, metrics: &Gateway, effect: &Effect) {
    match effect {
        Effect::Start(start) => {
            if let Some(view) = state.view(start.ticket, now).filter(|view| view.attempt == 1) {
                metrics.waited(view.tier, view.waited);
            }
        }
        Effect::Refuse { refusal, grounds, .. } => {
            metrics.refused(reason(refusal.reason));
            if let Some(tier) = grounds.tier {
                metrics.sized(tier, grounds.expected, false);
            }
        }
        Effect::Note(Note::Planned { version }) => {
            metrics.version.set(i64::try_from(*version).unwrap_or(i64::MAX));
        }
        Effect::Note(Note::Fresh(fresh)) => {
            metrics.fresh.set((*fresh).into());
        }
        Effect::Note(Note::Peers { together, .. }) => {
            metrics.together.set((*together).into());
        }
        Effect::Note(Note::Targets { ready, .. }) => {
            metrics.targets.set(i64::try_from(*ready).unwrap_or(i64::MAX));
            limited(state, metrics);
        }
        Effect::Note(Note::Limited { .. }) => limited(state, metrics),
        Effect::Note(
            Note::Crashed { .. } | Note::Quarantined(_) | Note::Restarted(_) | Note::Rollout(_),
        )
        | Effect::Fetch { .. }
        | Effect::Leave { .. }
        | Effect::Pass { .. }
        | Effect::Probe { .. }
        | Effect::Reserve(_)
        | Effect::Withdraw { .. } => {}
    }
}

fn limited(state: &State, metrics: &Gateway) {
    metrics.limited.set(i64::try_from(state.limited_targets()).unwrap_or(i64::MAX));
}

/// Logs that a target is silent while its answer is waited for.
pub fn quiet(view: &View<'_>, begun: bool) {
    info!(
        request = view.id,
        begun,
        attempt = view.attempt,
        after_ms = millis(view.running_for),
        "its target is silent"
    );
}

/// Logs that a silent target goes on.
pub fn spoke(view: &View<'_>) {
    let after_ms = millis(view.running_for);
    info!(request = view.id, attempt = view.attempt, after_ms, "its silent target goes on");
}

/// Logs the end of a dispatch.
pub fn ended(view: &View<'_>, outcome: Outcome, begun: bool, events: u32) {
    info!(
        request = view.id,
        outcome = name(outcome),
        begun,
        events,
        attempt = view.attempt,
        first_ms = view.first.map(millis),
        after_ms = millis(view.running_for),
        since_arrival_ms = view.waited.as_millis() as u64,
        "a dispatch ended"
    );
}

/// Name of an outcome in logs and metrics.
pub fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Rejected => "rejected",
        Outcome::Replaced => "replaced",
        Outcome::Unreached => "unreached",
        Outcome::Failed => "failed",
        Outcome::Lost { crashed: true } => "broken_off",
        Outcome::Lost { crashed: false } => "no_proper_answer",
        Outcome::Silent => "silent",
        Outcome::Expired => "expired",
    }
}

/// Name of a reason in logs and metrics.
pub fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::NotReady => "not_ready",
        Reason::NoRoute => "no_route",
        Reason::BadKey => "unauthorized",
        Reason::Limit => "account_limit",
        Reason::NoRoom => "overloaded",
        Reason::Draining => "draining",
        Reason::Quarantined => "quarantined",
        Reason::Late => "deadline",
        Reason::Expired => "timeout",
        Reason::Lost => "target_lost",
        Reason::Unserved => "no_target",
    }
}

/// Logs a refusal with the id that the caller gave.
pub fn refused(id: &str, refusal: &Refusal, grounds: &Grounds, open: usize) {
    let (lack, fits) = (refusal.lack, grounds.fits);
    info!(
        request = id,
        reason = reason(refusal.reason),
        not_run = refusal.not_run,
        retry_after_ms = refusal.retry_after.map(millis),
        route = grounds.route,
        account = grounds.account,
        tier = grounds.tier,
        expected = grounds.expected,
        waited_ms = millis(grounds.waited),
        wait_ms = millis(grounds.wait),
        up = fits.up,
        fitting = fits.fitting,
        fast = fits.fast,
        fastest_token_us = fits.fastest.map(micros),
        left_ms = millis(grounds.left),
        begun = grounds.begun,
        ran = grounds.ran.0,
        attempts = grounds.ran.1,
        quarantined = grounds.quarantined,
        open,
        ahead = grounds.ahead,
        free = grounds.free,
        slots = grounds.slots,
        rows_age_ms = grounds.rows.map(millis),
        units = lack.map(|lack| lack.units),
        left = lack.map(|lack| lack.left),
        rate = lack.map(|lack| lack.rate),
        among = lack.map(|lack| lack.among),
        together = lack.map(|lack| lack.together),
        "refused"
    );
}

/// Logs what a fetch from another process gave.
pub fn fetched(peer: SocketAddr, topic: Topic, fetched: &Result<Fetched, relay::Error>) {
    let topic = topic.name();
    match fetched {
        Ok(Fetched { bytes, took, .. }) => {
            info!(%peer, topic, bytes, took_ms = millis(*took), "fetched from an entry process");
        }
        Err(error) => warn!(%peer, topic, %error, "nothing fetched from an entry process"),
    }
}

/// Logs that another process no longer answers, or does again; gives since when it doesn't.
pub fn exchanged(
    peer: SocketAddr,
    silent: Option<Instant>,
    answered: bool,
    metrics: &Gateway,
) -> Option<Instant> {
    match (silent, answered) {
        (None, false) => {
            let row_bytes = metrics.row_bytes.get();
            info!(%peer, row_bytes, "an entry process doesn't answer");
        }
        (Some(since), true) => {
            info!(%peer, away_ms = millis(since.elapsed()), "an entry process answers again");
        }
        _ => {}
    }
    if answered { None } else { silent.or_else(|| Some(Instant::now())) }
}

fn stepped(step: &Step) {
    let (action, decided) = match step.action {
        Action::Try => ("try", None),
        Action::Move => ("move", None),
        Action::Complete => ("complete", None),
        Action::RollBack => ("roll_back", None),
        Action::GiveUp => ("give_up", None),
        Action::Withdraw => ("withdraw", None),
        Action::Follow(progress) => ("follow", Some(progress)),
    };
    info!(
        pool = step.pool,
        target = step.target,
        action,
        decided = ?decided,
        age_ms = millis(step.age),
        dispatched = step.dispatched.0,
        exposed = step.dispatched.1,
        before_answers = step.before.answers,
        before_failed = step.before.failed,
        before_slow = step.before.slow,
        after_answers = step.after.answers,
        after_failed = step.after.failed,
        after_slow = step.after.slow,
        "a roll-out goes on"
    );
}

/// Logs that no proof of the configuration came in time. The platform's last answers tell a host that
/// is cut off or whose link is full from an outage of the platform.
fn outdated(state: &State, now: Now) {
    let ages = state.ages(now);
    warn!(
        version = state.known().plan,
        proof_age_ms = ages.proof.map(millis),
        list_age_ms = state.list_age(now.steady).map(millis),
        answered_age_ms = ages.answered.map(millis),
        "the configuration may be out of date: keys don't count"
    );
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// A time in ms as whole microseconds.
fn micros(millis: f64) -> u64 {
    (millis * 1_000.0) as u64
}

fn noted(note: &Note) {
    match note {
        Note::Planned { version } => info!(version, "a configuration is in force"),
        Note::Targets { ready, listed, kept, unordered } => {
            info!(ready, listed, kept, unordered, "the targets changed");
        }
        Note::Fresh(true) => info!("the configuration is current: keys count"),
        // Logged with the ages that tell why.
        Note::Fresh(false) => {}
        Note::Peers { heard, expected, together } => {
            info!(heard, expected, together, "entry processes that are heard changed");
        }
        Note::Restarted(target) => info!(to = target, "a target started again under its name"),
        Note::Limited { target, per_second: Some(per_second) } => {
            info!(to = target, per_second, "a target names a rate limit");
        }
        Note::Limited { target, per_second: None } => {
            info!(to = target, "a target names no rate limit any more");
        }
        Note::Rollout(step) => stepped(step),
        Note::Crashed { target, bodies } => {
            info!(to = target, bodies, "a target died while it ran requests");
        }
        Note::Quarantined(body) => {
            let body = body.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
            warn!(body, "a body is refused: targets died while they ran it");
        }
    }
}
