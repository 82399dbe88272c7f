//! Appends one change to the platform's log and reads the decision on it back.

use std::time::Duration;

use model::{
    Change, Finding,
    change::Action,
    id::{ChangeId, Offset},
};
use scheduler::config::Outcome;
use source::log;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    Context, body,
    fault::{Failure, Reason},
    status,
    view::{Item, Wait, Written},
};

/// Delay before an append whose response was lost is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay between two queries whether all live processes have applied a change.
const IN_FORCE_POLL_PERIOD: Duration = Duration::from_millis(200);

/// A change that an operator requests, and how long the response may wait.
pub struct WriteOrder {
    /// The change to append.
    pub change: Change,
    /// Condition that the response waits for.
    pub wait: Wait,
    /// Deadline of the response.
    pub deadline: Instant,
}

/// Makes a change and returns its version once the change was read back as accepted and, where the
/// order asks for it, all live processes have applied it.
pub async fn write(context: &Context, order: WriteOrder) -> Result<Written, Failure> {
    let version = append_and_read_back(context, &order.change, order.deadline).await?;
    let change = order.change.id;
    if order.wait == Wait::InForce {
        wait_until_in_force(context, change, version, order.deadline).await?;
    }
    Ok(Written { change, version, reached: order.wait })
}

async fn append_and_read_back(
    context: &Context,
    change: &Change,
    deadline: Instant,
) -> Result<Offset, Failure> {
    catch_up(context, deadline).await?;
    if let Some(outcome) = preview(context, change).await? {
        return resolve(context, change, outcome).await;
    }
    let payload = serde_json::to_string(change).expect("a change is JSON");
    let mut may_be_appended = false;
    while Instant::now() < deadline {
        match timeout_at(deadline, append(context, &payload)).await {
            Ok(Ok(offset)) => return read_back(context, change, offset, deadline).await,
            Ok(Err(log::Error::Unknown)) => may_be_appended = true,
            Ok(Err(error)) if !may_be_appended => return Err(unavailable_failure(&error)),
            Ok(Err(_)) => {}
            Err(_) => break,
        }
        sleep(APPEND_RETRY_DELAY).await;
        if let Some(outcome) = recorded_outcome(context, change.id).await? {
            return resolve(context, change, outcome).await;
        }
    }
    Err(unknown_failure(change.id, None))
}

/// Appends a record in a separate task, so that the append completes even if the operator's request
/// times out or its connection breaks. A repeat with the same change id then finds the change.
async fn append(context: &Context, payload: &str) -> Result<Offset, log::Error> {
    let log = context.log.clone();
    let payload = payload.to_owned();
    let appending = tokio::spawn(async move { log.append(source::CONFIG, &payload).await });
    appending.await.unwrap_or(Err(log::Error::Unknown))
}

/// Waits until this process has applied all records in the log, so that the change isn't checked
/// against an outdated state.
async fn catch_up(context: &Context, deadline: Instant) -> Result<(), Failure> {
    let applied = *context.applied.borrow();
    let read = context.log.read(source::CONFIG, applied + 1, 1, Duration::ZERO);
    let behind_message = "this process can't catch up with the log; nothing was changed";
    let end = match timeout_at(deadline, read).await {
        Ok(Ok(page)) => page.next - 1,
        Ok(Err(error)) => return Err(unavailable_failure(&error)),
        Err(_) => return Err(Failure::new(Reason::Unavailable, behind_message)),
    };
    match wait_for_applied(context, end, deadline).await {
        true => Ok(()),
        false => Err(Failure::new(Reason::Unavailable, behind_message)),
    }
}

/// Returns the outcome of a change that needs no append: a repeat of an earlier change has the
/// outcome of the earlier one, and a conflict or a rejection is known in advance. `None` means that
/// the change would be accepted as a new one and has to be appended.
async fn preview(context: &Context, change: &Change) -> Result<Option<Outcome>, Failure> {
    let change = change.clone();
    let previewed = context.query_config(move |state| {
        let outcome = state.preview(&change);
        let is_new = outcome == Outcome::Accepted(state.applied() + 1);
        (!is_new).then_some(outcome)
    });
    previewed.await.ok_or_else(Failure::stopping)
}

async fn recorded_outcome(context: &Context, id: ChangeId) -> Result<Option<Outcome>, Failure> {
    let outcome = context.query_config(move |state| state.outcome(&id).cloned()).await;
    outcome.ok_or_else(Failure::stopping)
}

async fn read_back(
    context: &Context,
    change: &Change,
    offset: Offset,
    deadline: Instant,
) -> Result<Offset, Failure> {
    if !wait_for_applied(context, offset, deadline).await {
        return Err(unknown_failure(change.id, Some(offset)));
    }
    match recorded_outcome(context, change.id).await? {
        Some(outcome) => resolve(context, change, outcome).await,
        None => Err(unknown_failure(change.id, Some(offset))),
    }
}

/// Waits until this process has applied an offset; `false` if the deadline passes or the process
/// stops before.
async fn wait_for_applied(context: &Context, offset: Offset, deadline: Instant) -> bool {
    let mut applied = context.applied.clone();
    matches!(timeout_at(deadline, applied.wait_for(|applied| *applied >= offset)).await, Ok(Ok(_)))
}

/// Turns the outcome of a change into its version or the failure that the operator receives.
async fn resolve(context: &Context, change: &Change, outcome: Outcome) -> Result<Offset, Failure> {
    match outcome {
        Outcome::Accepted(version) => Ok(version),
        Outcome::Conflict { .. } => Err(conflict_failure(context, change).await),
        Outcome::Rejected(findings) => {
            let findings = match change.action {
                Action::Put(_) => body::prefix_with_body(findings),
                Action::Delete(_) => findings,
            };
            Err(Failure { change: Some(change.id), ..Failure::bad_input(findings) })
        }
    }
}

/// Returns the failure for a conflict, with the current version and state of the resource for the
/// operator to compare.
async fn conflict_failure(context: &Context, change: &Change) -> Failure {
    let key = change.action.key();
    let stands = context.query_config(move |state| state.get(&key).map(Item::from)).await.flatten();
    let version = stands.as_ref().map_or(0, |item| item.version);
    let message = match version {
        0 => format!("version {} was expected, but there is no such resource", change.expected),
        _ => format!("version {} was expected, but version {version} stands", change.expected),
    };
    Failure {
        version: Some(version),
        stands,
        change: Some(change.id),
        ..Failure::new(Reason::Conflict, message)
    }
}

async fn wait_until_in_force(
    context: &Context,
    change: ChangeId,
    version: Offset,
    deadline: Instant,
) -> Result<(), Failure> {
    while Instant::now() < deadline {
        if let Ok(true) = timeout_at(deadline, status::is_in_force(context, version)).await {
            return Ok(());
        }
        sleep(IN_FORCE_POLL_PERIOD).await;
    }
    let message = "the change is accepted, but not known to be in force everywhere yet";
    let failure = Failure::new(Reason::NotInForce, message);
    Err(Failure { change: Some(change), offset: Some(version), ..failure })
}

fn unavailable_failure(error: &log::Error) -> Failure {
    let message = format!("nothing was changed: {error}; try again");
    Failure::new(Reason::Unavailable, message)
}

fn unknown_failure(change: ChangeId, offset: Option<Offset>) -> Failure {
    let message = "the change may have been accepted: repeat it with the same change id";
    Failure { change: Some(change), offset, ..Failure::new(Reason::Unknown, message) }
}

/// Returns the failure of a write whose request lacks the query parameter `expected`.
pub fn missing_expected_version() -> Failure {
    let message = "say which version you expect to stand (`?expected=7`; 0 creates)";
    Failure::bad_input(vec![Finding::new("query.expected", message)])
}
