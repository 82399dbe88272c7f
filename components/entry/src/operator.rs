//! Connects the operators' server to this process.

use std::sync::Arc;

use source::log;

use crate::{control, feed, presence};

/// Returns the operators' server's context, which reads status, metrics and configuration from the
/// control thread.
pub fn api_context(
    settings: &settings::Entry,
    control: &control::Handle,
    metrics: &Arc<metrics::Entry>,
    feeds: &feed::Handle,
) -> api::Context {
    let ready = control.clone();
    let inspect = control.clone();
    let metrics = Arc::clone(metrics);
    api::Context {
        operators: settings.operators.clone(),
        process: settings.name.clone(),
        ready: Box::new(move || ready.status().ready),
        metrics: Box::new(move || metrics.render()),
        inspect: Box::new(move |question| inspect.inspect(question)),
        presence: presence::cached_gatherer(control, feeds.live_hosts()),
        applied: control.applied(),
        history: control.history(),
        log: log::open(&settings.platform.log),
    }
}
