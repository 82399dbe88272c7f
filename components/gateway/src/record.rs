//! Log lines and metrics about the decisions of the reducer and about calls to other entry processes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::StatusCode;
use metrics::Gateway;
use model::{
    id::{PartId, TargetName},
    promise::Redemption,
};
use scheduler::direct::{
    DispatchView, Effect, LateWait, LogEntry, Now, Outcome, Refusal, RefusalContext, RefusalReason,
    SharedWork, ShortageCause, State,
    copies::{Decision, Placement},
    parts::{Level, LevelChange, TrialsChange},
    relay::Topic,
    returns::PromiseOutcome,
    rollout::{Action, Step},
};
use tracing::{info, warn};

use crate::{
    AnswerInfo,
    answer::Kind,
    relay::{self, Fetched},
};

/// Change of the load of the process.
#[derive(Clone, Copy, Debug)]
pub enum LoadChange {
    /// New connections are refused from now on, at times or all the time.
    Began {
        /// Maximum number of requests in work.
        limit: usize,
        /// Median time in work of the last requests; `None` where there were too few.
        median: Option<Duration>,
        /// Number of connections of callers.
        connections: usize,
    },
    /// No connection was refused for a second.
    Ended {
        /// Number of times that the listening socket was closed.
        refusals: u64,
    },
}

/// Logs an effect that the reducer returned, unless effects of its kind are logged elsewhere or not at all.
pub fn log_effect(state: &State, at: Now, effect: &Effect) {
    let now = at.steady;
    match effect {
        Effect::Dispatch(dispatch) => {
            let Some(view) = state.dispatch_view(dispatch.ticket, now) else {
                return;
            };
            info!(
                request = view.id,
                route = view.route,
                account = dispatch.account,
                to = dispatch.target,
                version = view.version,
                parts = part_names(view.shared_parts),
                late = view.is_late,
                resumes = view
                    .resumption
                    .map(|resumption| { resumption.first_attempt.as_deref().unwrap_or_default() }),
                attempt = dispatch.attempt,
                waited_ms = view.waited.as_millis() as u64,
                running = view.running,
                elsewhere = view.running_of_others,
                limit = view.limit.map(|(per_second, _)| per_second),
                limit_age_ms = view.limit.map(|(_, age)| millis(age)),
                plan = view.configuration_version,
                list_age_ms = view.list_age.map(millis),
                units = view.units,
                weight = view.shared_work.map(|work| work.weight),
                tokens = view.shared_work.map(|work| work.tokens),
                expected = view.expected_tokens,
                token_us = view.token_ms.map(micros),
                patience_ms = millis(view.timeout),
                copy = placement_name(&dispatch.copy),
                copy_at = dispatch.copy.copy().map(|copy| copy.holder.as_str()),
                continues = dispatch.continues.then_some(true),
                left_ms = dispatch.deadline.saturating_duration_since(now).as_millis() as u64,
                "dispatched"
            );
        }
        Effect::CancelDispatch { ticket, target } => {
            if let Some(view) = state.dispatch_view(*ticket, now) {
                let after_ms = millis(view.running_for);
                info!(
                    request = view.id,
                    to = target,
                    after_ms,
                    "the dispatch is cancelled in favour of another target"
                );
            }
        }
        Effect::Probe { target, .. } => {
            info!(to = target, "probing whether the target accepts connections")
        }
        Effect::AskPromise { .. }
        | Effect::Fetch { .. }
        | Effect::FindOrigin { .. }
        | Effect::PassFailure { .. }
        | Effect::RecordOrigin { .. }
        | Effect::RedeemPromise { .. }
        | Effect::Refuse { .. }
        | Effect::Reserve(_)
        | Effect::WithdrawReservation { .. } => {}
        Effect::Log(LogEntry::FreshnessChanged(false)) => log_outdated(state, at),
        Effect::Log(entry) => log_entry(entry),
    }
}

/// Updates the metrics by an effect that the reducer returned.
pub fn count_effect(state: &State, now: Instant, metrics: &Gateway, effect: &Effect) {
    match effect {
        Effect::Dispatch(dispatch) => {
            if let Some(view) =
                state.dispatch_view(dispatch.ticket, now).filter(|view| view.attempt == 1)
            {
                metrics.record_wait(view.tier, view.waited);
                if view.is_late {
                    metrics.count_late(view.tier, "dispatched");
                }
            }
            if let Some(placement) = placement_name(&dispatch.copy) {
                metrics.count_stream_copy(dispatch.tier, placement);
            }
        }
        Effect::Log(LogEntry::StreamLostTarget(report)) => {
            metrics.count_stream_copy(report.tier, decision_name(report.decision));
        }
        Effect::Refuse { refusal, context, .. } => {
            metrics.count_refusal(reason_name(refusal.reason));
            if let Some(cause) = refusal.shortage.and_then(|shortage| shortage.cause) {
                metrics.count_limit_refusal(cause_name(cause));
            }
            if let Some(tier) = context.tier {
                metrics.count_by_length(tier, context.expected_tokens, false);
            }
            count_shared_work(metrics, context.shared_work, false);
        }
        Effect::Log(LogEntry::ConfigurationChanged { version }) => {
            metrics.configuration_version.set(i64::try_from(*version).unwrap_or(i64::MAX));
        }
        Effect::Log(LogEntry::FreshnessChanged(fresh)) => {
            metrics.is_configuration_current.set((*fresh).into());
        }
        Effect::Log(LogEntry::PeersChanged { usable, .. }) => {
            metrics.usable_processes.set((*usable).into());
        }
        Effect::Log(LogEntry::TargetsChanged { ready, .. }) => {
            metrics.ready_targets.set(i64::try_from(*ready).unwrap_or(i64::MAX));
            set_limited_targets(state, metrics);
        }
        Effect::Log(LogEntry::TrialsChanged(change)) => {
            metrics.are_trials_paused.set(change.are_paused.into());
        }
        Effect::Log(LogEntry::RateLimitChanged { .. }) => set_limited_targets(state, metrics),
        Effect::Log(LogEntry::LateWait(LateWait { tier, is_begun, .. })) => {
            metrics.count_late(*tier, if *is_begun { "waiting" } else { "refused" });
        }
        Effect::Log(LogEntry::LeaseChanged { .. }) => drop(metrics.lease_changes.inc()),
        Effect::Log(
            LogEntry::Crashed { .. }
            | LogEntry::Leaving { .. }
            | LogEntry::OriginLookedUp { .. }
            | LogEntry::PartLevelChanged(_)
            | LogEntry::Quarantined(_)
            | LogEntry::Restarted(_)
            | LogEntry::Resting { .. }
            | LogEntry::ReturnLookedUp { .. }
            | LogEntry::ReturnPromised { .. }
            | LogEntry::Rollout(_)
            | LogEntry::RulesChanged { .. },
        )
        | Effect::AskPromise { .. }
        | Effect::Fetch { .. }
        | Effect::CancelDispatch { .. }
        | Effect::FindOrigin { .. }
        | Effect::PassFailure { .. }
        | Effect::Probe { .. }
        | Effect::RecordOrigin { .. }
        | Effect::RedeemPromise { .. }
        | Effect::Reserve(_)
        | Effect::WithdrawReservation { .. } => {}
    }
}

/// Counts the work of a request that was answered whole (`served`) or refused, where accounts share its pool.
pub fn count_shared_work(metrics: &Gateway, work: Option<SharedWork>, served: bool) {
    if let Some(SharedWork { account_rank, tokens, .. }) = work {
        metrics.count_shared_work(account_rank, tokens, served);
    }
}

fn set_limited_targets(state: &State, metrics: &Gateway) {
    metrics.limited_targets.set(i64::try_from(state.limited_targets()).unwrap_or(i64::MAX));
}

/// Logs that the target of a dispatch is unresponsive; the dispatch still waits for the answer.
pub fn log_unresponsive(view: &DispatchView<'_>, begun: bool) {
    info!(
        request = view.id,
        begun,
        attempt = view.attempt,
        after_ms = millis(view.running_for),
        "the target is unresponsive"
    );
}

/// Logs that the copy of a stream is given up, since the numbers of its events don't increase.
pub fn log_unordered(view: &DispatchView<'_>) {
    info!(request = view.id, attempt = view.attempt, "a stream has no order; its copy is given up");
}

/// Logs that the unresponsive target of a dispatch continues its answer.
pub fn log_resumed(view: &DispatchView<'_>) {
    let after_ms = millis(view.running_for);
    info!(request = view.id, attempt = view.attempt, after_ms, "the unresponsive target continues");
}

/// Logs an answer of a target that isn't passed on, and which request and target it names.
pub fn log_answer(
    request_id: &str,
    target: &TargetName,
    status: StatusCode,
    answer: &AnswerInfo,
    kind: Kind,
) {
    info!(
        request = request_id,
        to = target,
        kind = ?kind,
        status = status.as_u16(),
        names = answer.request_id,
        made_by = answer.target,
        "an answer isn't passed on"
    );
}

/// Logs the end of a dispatch.
pub fn log_dispatch_ended(view: &DispatchView<'_>, outcome: Outcome, begun: bool, events: u32) {
    info!(
        request = view.id,
        outcome = outcome_name(outcome),
        begun,
        events,
        attempt = view.attempt,
        first_ms = view.time_to_first_event.map(millis),
        after_ms = millis(view.running_for),
        since_arrival_ms = view.waited.as_millis() as u64,
        "a dispatch ended"
    );
}

/// Returns the name of a copy's placement in logs and metrics; `None` where the request may have no copy.
fn placement_name(placement: &Placement) -> Option<&'static str> {
    match placement {
        Placement::Unused => None,
        Placement::NotWorth => Some("not_worth"),
        Placement::NoHolder => Some("no_holder"),
        Placement::At(_) => Some("placed"),
    }
}

/// Returns the name of a decision about a stream that lost its target, in logs and metrics.
fn decision_name(decision: Decision) -> &'static str {
    match decision {
        Decision::Continue => "continued",
        Decision::TargetReached => "target_reached",
        Decision::TargetUnknown => "target_unknown",
        Decision::HolderLost => "holder_lost",
        Decision::CopyMissing => "copy_missing",
        Decision::Suspect => "suspect",
    }
}

/// Returns the name of an outcome in logs and metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "done",
        Outcome::Rejected => "rejected",
        Outcome::Replaced => "replaced",
        Outcome::Unreachable => "unreached",
        Outcome::Failed => "failed",
        Outcome::Incomplete { crashed: true } => "broken_off",
        Outcome::Incomplete { crashed: false } => "no_proper_answer",
        Outcome::Unresponsive => "silent",
        Outcome::DeadlineExceeded => "expired",
    }
}

/// Returns the name of a reason in logs, metrics and answers to callers.
pub fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NotReady => "not_ready",
        RefusalReason::NoRoute => "no_route",
        RefusalReason::BadKey => "unauthorized",
        RefusalReason::AccountLimit => "account_limit",
        RefusalReason::NoFreeSlot => "overloaded",
        RefusalReason::NoMemory => "memory",
        RefusalReason::TargetsResting => "targets_resting",
        RefusalReason::Draining => "draining",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::DeadlineExceeded => "deadline",
        RefusalReason::DeadlineExceededMayHaveRun => "timeout",
        RefusalReason::Lost => "target_lost",
        RefusalReason::AllDispatchesFailed => "no_target",
        RefusalReason::VersionUnavailable => "version_unavailable",
        RefusalReason::VersionUnknown => "version_unknown",
    }
}

/// Returns the name of the cause of a shortage in logs and metrics.
fn cause_name(cause: ShortageCause) -> &'static str {
    match cause {
        ShortageCause::Spent => "spent",
        ShortageCause::Part => "part",
        ShortageCause::Expected => "expected",
        ShortageCause::Held => "held",
        ShortageCause::Reserved => "reserved",
        ShortageCause::Size => "size",
    }
}

/// Logs the refusal of the request with the ID that its caller sent. `open` is the number of requests of this
/// process that haven't ended.
pub fn log_refusal(id: &str, refusal: &Refusal, context: &RefusalContext, open: usize) {
    let (shortage, fits) = (refusal.shortage, context.fits);
    info!(
        request = id,
        reason = reason_name(refusal.reason),
        not_run = refusal.not_run,
        retry_after_ms = refusal.retry_after.map(millis),
        route = context.route,
        account = context.account,
        tier = context.tier,
        expected = context.expected_tokens,
        waited_ms = millis(context.waited),
        wait_ms = millis(context.max_wait),
        up = fits.available,
        fitting = fits.fitting,
        fast = fits.fast,
        fastest_token_us = fits.fastest_token_ms.map(micros),
        left_ms = millis(context.time_left),
        begun = context.has_begun,
        late = context.is_late,
        ran = context.attempts.0,
        attempts = context.attempts.1,
        quarantined = context.is_quarantined,
        open,
        ahead = context.ahead,
        free = context.free_slots,
        slots = context.slots,
        rows_age_ms = context.oldest_row.map(millis),
        weight = context.shared_work.map(|work| work.weight),
        tokens = context.shared_work.map(|work| work.tokens),
        units = shortage.map(|shortage| shortage.needed),
        left = shortage.map(|shortage| shortage.left),
        rate = shortage.map(|shortage| shortage.rate),
        among = shortage.map(|shortage| shortage.processes),
        together = shortage.map(|shortage| shortage.usable),
        cause = shortage.and_then(|shortage| shortage.cause).map(cause_name),
        "refused"
    );
}

/// Memory that a request waited for.
#[derive(Clone, Copy, Debug)]
pub struct MemoryWait {
    /// Size in bytes that the caller states for the body; `None` where it states none.
    pub body_bytes: Option<usize>,
    /// Time for which the request waited.
    pub waited: Duration,
}

/// Logs that a request waited for the memory that its body takes. `refusal` is its refusal, where there was too little.
pub fn log_memory_wait(id: &str, wait: MemoryWait, refusal: Option<&Refusal>, metrics: &Gateway) {
    let MemoryWait { body_bytes, waited } = wait;
    let (waited_ms, used_bytes) = (millis(waited), metrics.request_body_bytes.get());
    let Some(refusal) = refusal else {
        return info!(request = id, body_bytes, waited_ms, used_bytes, "a body waited for memory");
    };
    info!(
        request = id,
        reason = reason_name(refusal.reason),
        not_run = refusal.not_run,
        retry_after_ms = refusal.retry_after.map(millis),
        body_bytes,
        waited_ms,
        used_bytes,
        "refused"
    );
}

/// Logs the result of a fetch from another entry process.
pub fn log_fetch(peer: SocketAddr, topic: Topic, result: &Result<Fetched, relay::Error>) {
    let topic = topic.name();
    match result {
        Ok(Fetched { bytes, duration, .. }) => {
            let took_ms = millis(*duration);
            info!(%peer, topic, bytes, took_ms, "fetched from an entry process");
        }
        Err(error) => warn!(%peer, topic, %error, "nothing fetched from an entry process"),
    }
}

/// Logs that another entry process stopped answering exchanges or answers again. `unanswered_since` is the
/// time of the first exchange that it left unanswered, and `None` where it answered the last one; returns
/// that time after this exchange.
pub fn log_exchange(
    peer: SocketAddr,
    unanswered_since: Option<Instant>,
    answered: bool,
    metrics: &Gateway,
) -> Option<Instant> {
    match (unanswered_since, answered) {
        (None, false) => {
            let row_bytes = metrics.row_bytes.get();
            info!(%peer, row_bytes, "an entry process doesn't answer");
        }
        (Some(since), true) => {
            info!(%peer, away_ms = millis(since.elapsed()), "an entry process answers again");
        }
        _ => {}
    }
    if answered { None } else { unanswered_since.or_else(|| Some(Instant::now())) }
}

/// Logs whether a request waits for late service.
fn log_late_wait(wait: &LateWait) {
    let LateWait { request, tier, outlook, is_begun } = wait;
    info!(
        request,
        tier,
        left_ms = millis(outlook.time_left),
        patience_ms = outlook.patience.map(millis),
        run_ms = millis(outlook.run_time),
        ahead = outlook.ahead,
        late = outlook.waiting,
        slots = outlook.slots,
        among = outlook.processes,
        expected_wait_ms = outlook.expected_wait().map(millis),
        starts_per_second = outlook.starts_per_second,
        wait_ms = millis(outlook.max_wait()),
        waits = is_begun,
        "a request found no slot in time for its target latency"
    );
}

/// Logs a step of a rollout.
fn log_rollout_step(step: &Step) {
    let (action, decided) = match step.action {
        Action::StartCanary => ("try", None),
        Action::StartShift => ("move", None),
        Action::Complete => ("complete", None),
        Action::RollBack => ("roll_back", None),
        Action::TimeOut => ("give_up", None),
        Action::Withdraw => ("withdraw", None),
        Action::AdoptDecision(progress) => ("follow", Some(progress)),
    };
    info!(
        pool = step.pool,
        target = step.version,
        action,
        decided = ?decided,
        age_ms = millis(step.age),
        dispatched = step.dispatch_totals.0,
        exposed = step.dispatch_totals.1,
        before_answers = step.base.answers,
        before_failed = step.base.failed,
        before_slow = step.base.slow,
        after_answers = step.ordered.answers,
        after_failed = step.ordered.failed,
        after_slow = step.ordered.slow,
        "a rollout made a step"
    );
}

/// Logs that the configuration may be out of date. The age of the platform's last answer to any entry
/// process distinguishes an outage of the platform from a host that is partitioned or whose link is full.
fn log_outdated(state: &State, now: Now) {
    let ages = state.ages(now);
    warn!(
        version = state.known().plan,
        proof_age_ms = ages.confirmed.map(millis),
        list_age_ms = state.list_age(now.steady).map(millis),
        answered_age_ms = ages.answered.map(millis),
        "the configuration may be out of date: API keys aren't accepted"
    );
}

/// Returns a time as whole milliseconds.
fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Converts a time in ms to whole microseconds.
fn micros(millis: f64) -> u64 {
    (millis * 1_000.0) as u64
}

/// Logs that the process became overloaded or no longer is.
pub fn log_load(change: LoadChange) {
    match change {
        LoadChange::Began { limit, median, connections } => {
            let median_ms = median.map(millis);
            warn!(limit, median_ms, connections, "overloaded: new connections are refused");
        }
        LoadChange::Ended { refusals } => info!(refusals, "no longer overloaded"),
    }
}

/// Returns the name of the answer to the question whether a caller returns at its time.
fn redemption_name(redemption: Option<Redemption>) -> &'static str {
    match redemption {
        Some(Redemption::Due) => "due",
        Some(Redemption::Early) => "early",
        Some(Redemption::Unpromised) => "unpromised",
        Some(Redemption::Unknown) => "unknown",
        None => "unanswered",
    }
}

/// Returns the name of the outcome of the request for a promise.
fn promise_name(outcome: PromiseOutcome) -> &'static str {
    match outcome {
        PromiseOutcome::Promised => "promised",
        PromiseOutcome::Kept => "kept",
        PromiseOutcome::Declined => "declined",
        PromiseOutcome::Unanswered => "unanswered",
    }
}

/// Returns the name of a part's level in logs.
fn level_name(level: Level) -> &'static str {
    match level {
        Level::Clear => "clear",
        Level::Watched => "watched",
        Level::Isolated => "isolated",
        Level::Held => "held",
        Level::Quarantined => "quarantined",
    }
}

/// Returns the numbers of a prompt's shared parts, in hexadecimal, for a log line.
fn part_names(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join(",")
}

/// Logs a change of the reducer's state.
fn log_entry(entry: &LogEntry) {
    match entry {
        LogEntry::ConfigurationChanged { version } => info!(version, "a configuration is in force"),
        LogEntry::RulesChanged { pool, rules, version } => info!(
            pool,
            shares_fairly = rules.shares_fairly,
            orders_returns = rules.orders_returns,
            serves_late = rules.serves_late,
            copies_streams = rules.stream_copies.is_some(),
            version,
            "the rules of a pool changed"
        ),
        LogEntry::TargetsChanged { ready, listed, kept, unordered } => {
            info!(ready, listed, kept, unordered, "the targets changed");
        }
        LogEntry::FreshnessChanged(true) => {
            info!("the configuration is current: API keys are accepted")
        }
        // Logged by `log_outdated`, with the ages on which the change was based.
        LogEntry::FreshnessChanged(false) => {}
        LogEntry::PeersChanged { known, expected, usable } => {
            info!(
                heard = known,
                expected,
                together = usable,
                "the entry processes with current rows changed"
            );
        }
        LogEntry::OriginLookedUp { request, version, lookups, unanswered, waited } => info!(
            request,
            version,
            lookups,
            unanswered,
            waited_ms = millis(*waited),
            "the version that began a resumed stream was looked up"
        ),
        LogEntry::Restarted(target) => info!(to = target, "a target restarted under its name"),
        LogEntry::RateLimitChanged { target, per_second: Some(per_second) } => {
            info!(to = target, per_second, "a target states a rate limit");
        }
        LogEntry::RateLimitChanged { target, per_second: None } => {
            info!(to = target, "a target no longer states a rate limit");
        }
        LogEntry::Leaving { target, is_relayed, list_age } => {
            let list_age_ms = list_age.map(millis);
            info!(to = target, is_relayed, list_age_ms, "a target states that it is leaving");
        }
        LogEntry::LeaseChanged { account, weight, rate, mutual_age } => {
            let mutual_age_ms = mutual_age.map(millis);
            info!(account, weight, rate, mutual_age_ms, "the leased part of a limit changed");
        }
        LogEntry::Resting { target, asked, granted } => {
            let (asked_ms, rest_ms) = (millis(*asked), millis(*granted));
            info!(to = target, asked_ms, rest_ms, "a target asks for a rest");
        }
        LogEntry::ReturnLookedUp { request, redemption, is_waiting, waited } => info!(
            request,
            outcome = redemption_name(*redemption),
            waits = is_waiting,
            waited_ms = millis(*waited),
            "the promise to a returning caller was looked up"
        ),
        LogEntry::ReturnPromised { request, tier, outcome, due, outlook } => info!(
            request,
            tier,
            outcome = promise_name(*outcome),
            due_ms = due.map(millis),
            ahead = outlook.ahead,
            per_second = outlook.per_second,
            promised_per_second = outlook.promised_per_second,
            report_age_ms = outlook.report_age.map(millis),
            "a promise to a caller was asked for"
        ),
        LogEntry::StreamLostTarget(report) => info!(
            request = report.request,
            tier = report.tier,
            decision = decision_name(report.decision),
            lost = report.lost,
            holder = report.holder,
            begun = report.has_begun,
            waited_ms = millis(report.waited),
            "a stream lost its target"
        ),
        LogEntry::Rollout(step) => log_rollout_step(step),
        LogEntry::LateWait(wait) => log_late_wait(wait),
        LogEntry::Crashed { target, requests } => {
            let ids: Vec<&str> = requests.iter().map(|request| request.id.as_str()).collect();
            let silent = requests.iter().filter(|request| !request.has_begun);
            let silent_parts: Vec<String> =
                silent.map(|request| part_names(&request.shared_parts)).collect();
            info!(
                to = target,
                bodies = requests.len(),
                requests = ids.join(" "),
                silent = silent_parts.join(" "),
                "a target crashed while it ran requests"
            );
        }
        LogEntry::PartLevelChanged(LevelChange { part, level, crashes, rounds }) => {
            let level = level_name(*level);
            info!(part = part_names(&[*part]), level, crashes, rounds, "a part's level changed");
        }
        LogEntry::TrialsChanged(TrialsChange { are_paused, lost, targets }) => {
            info!(paused = are_paused, lost, targets, "requests with suspect parts wait or go on");
        }
        LogEntry::Quarantined(body) => {
            let body = body.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
            warn!(body, "a body is refused: targets crashed while they ran it");
        }
    }
}
