//! Carries one change into the log and reads it back.

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

/// Wait before an append whose answer was lost is repeated.
const REPEAT: Duration = Duration::from_millis(100);
/// Period of asking whether a change is in force everywhere.
const ASK: Duration = Duration::from_millis(200);

/// A change with what its operator wants to wait for.
pub struct Order {
    /// The change.
    pub change: Change,
    /// What to wait for.
    pub wait: Wait,
    /// When the answer is due.
    pub deadline: Instant,
}

/// Makes a change; gives its version once it was read back as accepted.
pub async fn write(context: &Context, order: Order) -> Result<Written, Failure> {
    let version = accept(context, &order.change, order.deadline).await?;
    let change = order.change.id;
    if order.wait == Wait::InForce {
        in_force(context, change, version, order.deadline).await?;
    }
    Ok(Written { change, version, reached: order.wait })
}

async fn accept(context: &Context, change: &Change, due: Instant) -> Result<Offset, Failure> {
    refresh(context, due).await?;
    if let Some(outcome) = foresee(context, change).await? {
        return settle(context, change, outcome).await;
    }
    let payload = serde_json::to_string(change).expect("a change is JSON");
    let mut lost = false;
    while Instant::now() < due {
        match timeout_at(due, append(context, &payload)).await {
            Ok(Ok(offset)) => return read_back(context, change, offset, due).await,
            Ok(Err(log::Error::Unknown)) => lost = true,
            Ok(Err(error)) if !lost => return Err(unavailable(&error)),
            Ok(Err(_)) => {}
            Err(_) => break,
        }
        sleep(REPEAT).await;
        if let Some(outcome) = known(context, change.id).await? {
            return settle(context, change, outcome).await;
        }
    }
    Err(unknown(change.id, None))
}

/// Appends in a task of its own, which goes on where the operator's time runs out or its
/// connection breaks: a repeat with the same change id then finds the change.
async fn append(context: &Context, payload: &str) -> Result<Offset, log::Error> {
    let log = context.log.clone();
    let payload = payload.to_owned();
    let appending = tokio::spawn(async move { log.append(source::CONFIG, &payload).await });
    appending.await.unwrap_or(Err(log::Error::Unknown))
}

/// Catches up with the end of the log, so that nothing is decided on an old state.
async fn refresh(context: &Context, due: Instant) -> Result<(), Failure> {
    let applied = *context.applied.borrow();
    let read = context.log.read(source::CONFIG, applied + 1, 1, Duration::ZERO);
    let behind = "this process can't catch up with the log; nothing was changed";
    let end = match timeout_at(due, read).await {
        Ok(Ok(page)) => page.next - 1,
        Ok(Err(error)) => return Err(unavailable(&error)),
        Err(_) => return Err(Failure::new(Reason::Unavailable, behind)),
    };
    match reached(context, end, due).await {
        true => Ok(()),
        false => Err(Failure::new(Reason::Unavailable, behind)),
    }
}

/// What the change comes to without being appended, be it as a repeat; `None` where it would be
/// accepted.
async fn foresee(context: &Context, change: &Change) -> Result<Option<Outcome>, Failure> {
    let change = change.clone();
    let foreseen = context.ask(move |state| {
        let outcome = state.preview(&change);
        let is_new = outcome == Outcome::Accepted(state.applied() + 1);
        (!is_new).then_some(outcome)
    });
    foreseen.await.ok_or_else(Failure::stopping)
}

async fn known(context: &Context, id: ChangeId) -> Result<Option<Outcome>, Failure> {
    let outcome = context.ask(move |state| state.outcome(&id).cloned()).await;
    outcome.ok_or_else(Failure::stopping)
}

async fn read_back(
    context: &Context,
    change: &Change,
    offset: Offset,
    due: Instant,
) -> Result<Offset, Failure> {
    if !reached(context, offset, due).await {
        return Err(unknown(change.id, Some(offset)));
    }
    match known(context, change.id).await? {
        Some(outcome) => settle(context, change, outcome).await,
        None => Err(unknown(change.id, Some(offset))),
    }
}

/// Waits until an offset is in force here.
async fn reached(context: &Context, offset: Offset, due: Instant) -> bool {
    let mut applied = context.applied.clone();
    matches!(timeout_at(due, applied.wait_for(|applied| *applied >= offset)).await, Ok(Ok(_)))
}

/// Turns what the fold decided into the operator's answer.
async fn settle(context: &Context, change: &Change, outcome: Outcome) -> Result<Offset, Failure> {
    match outcome {
        Outcome::Accepted(version) => Ok(version),
        Outcome::Conflict { .. } => Err(conflict(context, change).await),
        Outcome::Rejected(findings) => {
            let findings = match change.action {
                Action::Put(_) => body::in_body(findings),
                Action::Delete(_) => findings,
            };
            Err(Failure { change: Some(change.id), ..Failure::bad_input(findings) })
        }
    }
}

/// A conflict with what stands now, which is what the operator has to look at.
async fn conflict(context: &Context, change: &Change) -> Failure {
    let key = change.action.key();
    let stands = context.ask(move |state| state.get(&key).map(Item::from)).await.flatten();
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

async fn in_force(
    context: &Context,
    change: ChangeId,
    version: Offset,
    due: Instant,
) -> Result<(), Failure> {
    while Instant::now() < due {
        if let Ok(true) = timeout_at(due, status::is_in_force(context, version)).await {
            return Ok(());
        }
        sleep(ASK).await;
    }
    let message = "the change is accepted, but not known to be in force everywhere yet";
    let failure = Failure::new(Reason::NotInForce, message);
    Err(Failure { change: Some(change), offset: Some(version), ..failure })
}

fn unavailable(error: &log::Error) -> Failure {
    let message = format!("nothing was changed: {error}; try again");
    Failure::new(Reason::Unavailable, message)
}

fn unknown(change: ChangeId, offset: Option<Offset>) -> Failure {
    let message = "the change may have been accepted: repeat it with the same change id";
    Failure { change: Some(change), offset, ..Failure::new(Reason::Unknown, message) }
}

/// Findings of a request without a version to expect.
pub fn missing_version() -> Failure {
    let message = "say which version you expect to stand (`?expected=7`; 0 creates)";
    Failure::bad_input(vec![Finding::new("query.expected", message)])
}
