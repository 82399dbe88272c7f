//! Metrics of an agent, the process through which all requests to a target pass.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counters and gauges of an agent; every field may be changed from any thread.
#[derive(Debug)]
pub struct Agent {
    registry: Registry,
    /// Number of requests that run at the target or hold a grant.
    pub running: Gauge,
    /// Number of reservations that wait in the queue.
    pub waiting_reservations: Gauge,
    /// Number of requests sent to the target since the start.
    pub dispatched: Counter,
    /// Number of the target's answers that ended before they were complete.
    pub torn_answers: Counter,
    /// Number of claims on idempotency keys that the agent stores.
    pub claims: Gauge,
    /// Epoch of the membership that the agent has applied.
    pub membership_epoch: Gauge,
}

/// Creates and registers the metrics of an agent.
pub fn open() -> Agent {
    let mut registry = Registry::with_prefix("wagtailhill_agent");
    let running = Gauge::default();
    registry.register("running", "Requests that run or hold a grant", running.clone());
    let waiting = Gauge::default();
    registry.register("waiting", "Reservations that wait", waiting.clone());
    let dispatched = Counter::default();
    registry.register("dispatched", "Requests sent to the target", dispatched.clone());
    let torn = Counter::default();
    registry.register("torn", "Answers of the target that ended torn", torn.clone());
    let claims = Gauge::default();
    registry.register("claims", "Claims that are remembered", claims.clone());
    let epoch = Gauge::default();
    registry.register("membership_epoch", "Membership epoch that is applied", epoch.clone());
    Agent {
        registry,
        running,
        waiting_reservations: waiting,
        dispatched,
        torn_answers: torn,
        claims,
        membership_epoch: epoch,
    }
}

impl Agent {
    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}
