//! Tells a process's applied offset to an agent that keeps such reports, and hears the highest.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use model::{
    id::{HostName, Offset},
    presence::Report,
};
use scheduler::presence::PERIOD;
use tokio::{sync::watch, task::JoinHandle, time::timeout};
use wire::AgentClient;

use crate::{Sink, Update, peer};

/// Time for which a keeper is used before the configuration is asked anew.
const KEEP: Duration = Duration::from_secs(10);
/// Keepers that are tried for one report.
const TRIES: usize = 3;

/// Gives the control addresses of the keepers, in the order to try them.
pub type Keepers = Arc<dyn Fn() -> BoxFuture<'static, Vec<SocketAddr>> + Send + Sync>;

/// Who reports.
#[derive(Clone, Debug)]
pub struct Reporter {
    /// Host that the process runs on.
    pub host: HostName,
    /// Its name.
    pub process: String,
    /// Offset that it has applied.
    pub applied: watch::Receiver<Offset>,
}

struct Link {
    client: AgentClient,
    until: Instant,
}

/// Starts to report, at each change of the offset and at least once a period.
pub fn spawn(reporter: Reporter, keepers: Keepers, sink: Sink) -> JoinHandle<()> {
    tokio::spawn(run(reporter, keepers, sink))
}

async fn run(mut reporter: Reporter, keepers: Keepers, sink: Sink) {
    let mut link = None;
    loop {
        let asked = Instant::now();
        let offset = *reporter.applied.borrow_and_update();
        let report =
            Report { offset, host: reporter.host.clone(), process: reporter.process.clone() };
        match tell(&mut link, &keepers, report).await {
            Some(highest) => sink(Update::Confirmed { asked, highest }),
            None => sink(Update::Nothing),
        }
        if let Ok(Err(_)) = timeout(PERIOD, reporter.applied.changed()).await {
            return;
        }
    }
}

async fn tell(link: &mut Option<Link>, keepers: &Keepers, report: Report) -> Option<Offset> {
    if let Some(open) = link.take().filter(|open| open.until > Instant::now())
        && let Ok(highest) = open.client.report(peer::bounded(), report.clone()).await
    {
        *link = Some(open);
        return Some(highest);
    }
    for keeper in keepers().await.into_iter().take(TRIES) {
        let Some(client) = peer::connect(keeper).await else {
            continue;
        };
        if let Ok(highest) = client.report(peer::bounded(), report.clone()).await {
            *link = Some(Link { client, until: Instant::now() + KEEP });
            return Some(highest);
        }
    }
    None
}
