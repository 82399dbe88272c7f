//! Status endpoint: which offsets of the configuration log the live processes have applied.

use std::sync::Arc;

use dropshot::{ApiDescription, HttpResponseOk, RequestContext, endpoint};
use model::id::Offset;

use crate::{
    Context, Presence,
    fault::{Fault, authenticate},
    view::Status,
};

/// Registers the endpoint of this module.
pub fn register(api: &mut ApiDescription<Arc<Context>>) {
    api.register(status).expect("the path is free");
}

/// Returns which offset of the configuration this process and all live processes have applied.
#[endpoint { method = GET, path = "/v1/status" }]
async fn status(context: RequestContext<Arc<Context>>) -> Result<HttpResponseOk<Status>, Fault> {
    authenticate(&context)?;
    Ok(HttpResponseOk(gather(context.context()).await))
}

/// Collects the status from the reports of the live processes.
pub async fn gather(context: &Context) -> Status {
    let applied = *context.applied.borrow();
    let presence = (context.presence)().await;
    let complete = is_complete(&presence);
    let reported = presence.reported;
    let lowest = reported.slowest.as_ref().map_or(applied, |report| report.offset.min(applied));
    Status {
        process: context.process.clone(),
        applied,
        in_force: complete.then_some(lowest),
        highest: reported.highest.max(applied),
        processes: reported.processes,
        hosts: reported.hosts,
        listed: presence.listed,
        silent: presence.silent,
        slowest: reported.slowest,
    }
}

/// Returns whether the reports cover all live processes. Where the platform lists hosts, each of
/// them must have reported to some agent; where it lists none, all agents that keep reports must
/// have answered.
fn is_complete(presence: &Presence) -> bool {
    match presence.listed {
        0 => presence.silent == 0,
        listed => presence.reported.hosts >= listed,
    }
}

/// Returns whether all live processes are known to have applied an offset.
pub async fn is_in_force(context: &Context, offset: Offset) -> bool {
    gather(context).await.in_force.is_some_and(|lowest| lowest >= offset)
}
