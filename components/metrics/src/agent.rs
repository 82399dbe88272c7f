//! Metrics of an agent.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counters and gauges; every field may be changed from any thread.
#[derive(Debug)]
pub struct Agent {
    registry: Registry,
    /// Requests that run at the target or hold a grant.
    pub running: Gauge,
    /// Reservations that wait.
    pub waiting: Gauge,
    /// Requests sent to the target.
    pub dispatched: Counter,
    /// Answers of the target that ended torn.
    pub torn: Counter,
    /// Claims that are remembered.
    pub claims: Gauge,
    /// Membership epoch that is applied.
    pub epoch: Gauge,
}

/// Builds the metrics.
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
    Agent { registry, running, waiting, dispatched, torn, claims, epoch }
}

impl Agent {
    /// Writes all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}
