//! Tells a process's applied offset to an agent that keeps such reports, and hears the highest.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use futures::future::BoxFuture;
use model::{
    id::{HostName, Offset},
    presence::Report,
};
use scheduler::presence::PERIOD;
use tokio::{sync::watch, task::JoinHandle, time::timeout};
use wire::AgentClient;

use crate::{Sink, Update, peer};

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
    keeper: SocketAddr,
    /// Offset of the configuration that the keeper was chosen by.
    offset: Offset,
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

/// Tells the first keeper that answers. The last one is used for as long as the configuration
/// stands; by another one it may be another, and whoever asks looks there.
async fn tell(link: &mut Option<Link>, keepers: &Keepers, report: Report) -> Option<Offset> {
    let mut last = link.take();
    if let Some(open) = last.take_if(|last| last.offset == report.offset)
        && let Ok(highest) = open.client.report(peer::bounded(), report.clone()).await
    {
        *link = Some(open);
        return Some(highest);
    }
    for keeper in keepers().await.into_iter().take(TRIES) {
        let same = last.as_ref().filter(|last| last.keeper == keeper);
        let client = match same.map(|last| last.client.clone()) {
            Some(client) => Some(client),
            None => peer::connect(keeper).await,
        };
        let Some(client) = client else {
            continue;
        };
        if let Ok(highest) = client.report(peer::bounded(), report.clone()).await {
            *link = Some(Link { client, keeper, offset: report.offset });
            return Some(highest);
        }
    }
    None
}
