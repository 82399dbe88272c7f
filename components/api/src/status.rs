//! How far the configuration has come.

use std::sync::Arc;

use dropshot::{ApiDescription, HttpResponseOk, RequestContext, endpoint};
use model::id::Offset;

use crate::{
    Context, Presence,
    fault::{Fault, authenticate},
    view::Status,
};

/// Adds the endpoint.
pub fn register(api: &mut ApiDescription<Arc<Context>>) {
    api.register(status).expect("the path is free");
}

/// Tells how far the configuration has come, here and in all live processes.
#[endpoint { method = GET, path = "/v1/status" }]
async fn status(context: RequestContext<Arc<Context>>) -> Result<HttpResponseOk<Status>, Fault> {
    authenticate(&context)?;
    Ok(HttpResponseOk(gather(context.context()).await))
}

/// Gathers what live processes have applied.
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

/// Whether nobody can be behind unseen. Where the platform lists the hosts, each has to have
/// reported, to whichever agent; where it lists none, each agent that keeps reports has to answer.
fn is_complete(presence: &Presence) -> bool {
    match presence.listed {
        0 => presence.silent == 0,
        listed => presence.reported.hosts >= listed,
    }
}

/// Whether every live process has applied an offset.
pub async fn is_in_force(context: &Context, offset: Offset) -> bool {
    gather(context).await.in_force.is_some_and(|lowest| lowest >= offset)
}
