//! Reports a process's applied offset to a keeper, which is an agent that keeps such reports; the
//! keeper answers with the highest offset that was reported to it.

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

/// Largest number of keepers that are tried for one report.
const MAX_KEEPERS_TRIED: usize = 3;

/// Returns the control addresses of the keepers, in the order to try them.
pub type Keepers = Arc<dyn Fn() -> BoxFuture<'static, Vec<SocketAddr>> + Send + Sync>;

/// The process that reports.
#[derive(Clone, Debug)]
pub struct Reporter {
    /// Name of the host that the process runs on.
    pub host: HostName,
    /// Name of the process.
    pub process: String,
    /// Offset of the last configuration record that the process applied.
    pub applied: watch::Receiver<Offset>,
}

/// The connection to the keeper that received the last report.
struct Connection {
    client: AgentClient,
    keeper: SocketAddr,
    /// Configuration offset by which the keeper was chosen.
    offset: Offset,
}

/// Starts the task that reports at each change of the offset and at least once per period.
pub fn spawn(reporter: Reporter, keepers: Keepers, sink: Sink) -> JoinHandle<()> {
    tokio::spawn(run(reporter, keepers, sink))
}

async fn run(mut reporter: Reporter, keepers: Keepers, sink: Sink) {
    let mut connection = None;
    loop {
        let asked = Instant::now();
        let offset = *reporter.applied.borrow_and_update();
        let report =
            Report { offset, host: reporter.host.clone(), process: reporter.process.clone() };
        match send_report(&mut connection, &keepers, report).await {
            Some(highest) => sink(Update::Confirmed { asked, highest }),
            None => sink(Update::Nothing),
        }
        if let Ok(Err(_)) = timeout(PERIOD, reporter.applied.changed()).await {
            return;
        }
    }
}

/// Sends a report to the first keeper that answers, and returns the highest offset that the keeper
/// knows; `None` if no keeper answered. The keeper of the previous report is used again while the
/// configuration is unchanged. A new configuration may assign the process to another keeper, and
/// its reports are looked up there.
async fn send_report(
    connection: &mut Option<Connection>,
    keepers: &Keepers,
    report: Report,
) -> Option<Offset> {
    let mut previous = connection.take();
    if let Some(open) = previous.take_if(|previous| previous.offset == report.offset)
        && let Ok(highest) = open.client.report(peer::call_context(), report.clone()).await
    {
        *connection = Some(open);
        return Some(highest);
    }
    for keeper in keepers().await.into_iter().take(MAX_KEEPERS_TRIED) {
        let same = previous.as_ref().filter(|previous| previous.keeper == keeper);
        let client = match same.map(|previous| previous.client.clone()) {
            Some(client) => Some(client),
            None => peer::connect(keeper).await,
        };
        let Some(client) = client else {
            continue;
        };
        if let Ok(highest) = client.report(peer::call_context(), report.clone()).await {
            *connection = Some(Connection { client, keeper, offset: report.offset });
            return Some(highest);
        }
    }
    None
}
