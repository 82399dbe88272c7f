//! Reads records from an agent that relays them, so that few processes read the log itself.

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

/// Time for which a relay is used before the configuration is asked anew.
const KEEP: Duration = Duration::from_secs(10);
/// Time for which a relay isn't asked after it failed.
const REST: Duration = Duration::from_secs(2);
/// Oldest word of the log that a relay may pass on.
const AGE_LIMIT: Duration = Duration::from_secs(5);
/// Time for a relay's answer beyond the wait for a record.
const GRACE: Duration = Duration::from_millis(500);

/// Gives the control addresses of relays, in the order to try them; none where this process
/// reads the log itself.
pub type Choice = Arc<dyn Fn() -> BoxFuture<'static, Vec<SocketAddr>> + Send + Sync>;

/// What was read, and when the log was asked for it.
#[derive(Debug)]
pub struct Fetched {
    /// When the log was asked, by whoever asked it.
    pub asked: Instant,
    /// The records.
    pub page: Page,
}

/// The relay in use.
pub struct Relay {
    choice: Choice,
    client: Option<AgentClient>,
    /// When the choice is made anew.
    until: Instant,
}

/// Gives a reader that has chosen no relay yet.
pub fn open(choice: Choice) -> Relay {
    Relay { choice, client: None, until: Instant::now() }
}

impl Relay {
    /// Reads from an offset on, waiting for the first record; `None` where the log has to be
    /// read instead.
    pub async fn read(&mut self, from: Offset, wait: Duration) -> Option<Fetched> {
        if self.until <= Instant::now() {
            self.choose().await;
        }
        let asked = Instant::now();
        let answered = self.client.as_ref()?.records(within(wait), from, wait).await;
        match answered.ok().flatten().filter(|relayed| relayed.age <= AGE_LIMIT) {
            Some(relayed) if relayed.next >= from => fetched(asked, relayed),
            _ => {
                self.client = None;
                self.until = Instant::now() + REST;
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
        let life = if self.client.is_some() { KEEP } else { REST };
        self.until = Instant::now() + life;
    }
}

fn fetched(asked: Instant, relayed: Relayed) -> Option<Fetched> {
    let record = |r: wire::control::Record| Record { offset: r.offset, payload: r.payload };
    let records = relayed.records.into_iter().map(record).collect();
    let page = Page { first: 0, next: relayed.next, records };
    Some(Fetched { asked: asked.checked_sub(relayed.age)?, page })
}

fn within(wait: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + wait + GRACE;
    context
}
