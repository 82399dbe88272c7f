//! Reads configuration records from an agent that relays them, so that only a few processes read
//! the log itself.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use model::id::Offset;
use source::log::{Page, Record};
use tarpc::context;
use wire::{AgentClient, control::Relayed};

use crate::peer;

/// Time for which a relay is used before one is chosen again by the current configuration.
const RELAY_REUSE_TIME: Duration = Duration::from_secs(10);
/// Delay before a relay is chosen again, after the last one failed or none could be reached.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Largest age of an answer of the log that a relay may pass on; older ones are rejected as stale.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(5);
/// Time beyond the wait for a record that a relay has to answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Returns the control addresses of relays, in the order to try them; empty if this process reads
/// the log itself.
pub type Choice = Arc<dyn Fn() -> BoxFuture<'static, Vec<SocketAddr>> + Send + Sync>;

/// A page of records, and when the log was asked for it.
#[derive(Debug)]
pub struct Fetched {
    /// When this process or the relay asked the log.
    pub asked: Instant,
    /// The page as the log or the relay returned it.
    pub page: Page,
}

/// Reader of records from the relay that is currently chosen.
pub struct Relay {
    choice: Choice,
    client: Option<AgentClient>,
    /// When a relay is chosen again.
    choose_again_at: Instant,
}

/// Returns a reader that has no relay yet.
pub fn open(choice: Choice) -> Relay {
    Relay { choice, client: None, choose_again_at: Instant::now() }
}

impl Relay {
    /// Reads the records from an offset on, waiting up to `wait` for the first one. Returns `None`
    /// if the log has to be read instead.
    pub async fn read(&mut self, from: Offset, wait: Duration) -> Option<Fetched> {
        if self.choose_again_at <= Instant::now() {
            self.choose().await;
        }
        let asked = Instant::now();
        let answer = self.client.as_ref()?.records(call_context(wait), from, wait).await;
        match answer.ok().flatten().filter(|relayed| relayed.age <= MAX_ANSWER_AGE) {
            Some(relayed) if relayed.next >= from => fetched(asked, relayed),
            _ => {
                self.client = None;
                self.choose_again_at = Instant::now() + RETRY_DELAY;
                None
            }
        }
    }

    async fn choose(&mut self) {
        self.client = None;
        for address in (self.choice)().await {
            self.client = peer::connect(address).await;
            if self.client.is_some() {
                break;
            }
        }
        let reuse_time = if self.client.is_some() { RELAY_REUSE_TIME } else { RETRY_DELAY };
        self.choose_again_at = Instant::now() + reuse_time;
    }
}

fn fetched(asked: Instant, relayed: Relayed) -> Option<Fetched> {
    let record = |r: wire::control::Record| Record { offset: r.offset, payload: r.payload };
    let records = relayed.records.into_iter().map(record).collect();
    let page = Page { first: 0, next: relayed.next, records };
    Some(Fetched { asked: asked.checked_sub(relayed.age)?, page })
}

fn call_context(wait: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + wait + ANSWER_GRACE;
    context
}
