//! HTTP server for operators in an entry process: health, metrics, resources, watches and status.

mod body;
mod fault;
mod health;
pub mod history;
mod resource;
mod status;
mod view;
mod watch;
mod write;

use std::{net::SocketAddr, sync::Arc};

use dropshot::{ApiDescription, BuildError, ConfigDropshot, HttpServer, ServerBuilder};
use futures::future::BoxFuture;
use model::{id::Offset, presence::Summary};
use scheduler::config;
use tokio::sync::{oneshot, watch as channel};

pub use body::read_kind as read_resource;
pub use fault::{Failure, Reason};
pub use history::History;
pub use view::{Event, Item, Page, Status, Wait, Written};

/// Closure that reads the configuration state on the thread that owns the state.
pub type Question = Box<dyn FnOnce(&config::State) + Send>;

/// Functions and data of the surrounding process that the server uses.
pub struct Context {
    /// Operators that may use the resource API.
    pub operators: Vec<settings::Operator>,
    /// Name of this process.
    pub process: String,
    /// Returns whether the load balancer should send requests to this process.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns all metrics in the text format of Prometheus.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Runs a closure on the thread that owns the configuration. A process that is stopping drops
    /// the closure.
    pub inspect: Box<dyn Fn(Question) + Send + Sync>,
    /// Collects from the agents which offsets the live processes have applied.
    pub presence: Box<dyn Fn() -> BoxFuture<'static, Presence> + Send + Sync>,
    /// Highest offset of the configuration log that this process has applied.
    pub applied: channel::Receiver<Offset>,
    /// Recently accepted changes, from which watches are served.
    pub history: Arc<History>,
    /// Client of the platform's log.
    pub log: source::log::Client,
}

/// Offsets that the live processes have applied, as far as the agents that keep their reports
/// answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Presence {
    /// Summary of the reports of all live processes.
    pub reported: Summary,
    /// Number of agents that keep reports and didn't answer.
    pub silent: u32,
    /// Number of hosts in the platform's list, or 0 where the list is empty or unknown. Processes
    /// on a listed host without a report may have applied less than the reported offsets.
    pub listed: u32,
}

impl Context {
    /// Runs a closure on the configuration state and returns its result; `None` if the process is
    /// stopping.
    async fn query_config<T: Send + 'static>(
        &self,
        question: impl FnOnce(&config::State) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        (self.inspect)(Box::new(move |state| {
            // The caller may have been cancelled; then nobody needs the result.
            let _ = sender.send(question(state));
        }));
        answer.await.ok()
    }
}

/// Starts the server on an address; port 0 selects a free port.
pub fn spawn(
    address: SocketAddr,
    context: Context,
) -> Result<HttpServer<Arc<Context>>, BuildError> {
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(api_description(), Arc::new(context), metrics::log::slog());
    server.config(config).start()
}

/// Returns the OpenAPI document of the server as JSON that ends in a newline.
pub fn document() -> String {
    let version = semver::Version::new(1, 0, 0);
    let mut text = Vec::new();
    let api = api_description();
    let document = api.openapi("wagtailhill operators' API", version);
    document.write(&mut text).expect("the document is JSON");
    text.push(b'\n');
    String::from_utf8(text).expect("JSON is UTF-8")
}

fn api_description() -> ApiDescription<Arc<Context>> {
    let mut api = ApiDescription::new();
    health::register(&mut api);
    resource::register(&mut api);
    status::register(&mut api);
    watch::register(&mut api);
    api
}
