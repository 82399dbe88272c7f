//! The operators' server of an entry process: health, metrics, resources, watches and status.

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

/// Something that is run on the configuration in force.
pub type Question = Box<dyn FnOnce(&config::State) + Send>;

/// What the server asks of the process around it.
pub struct Context {
    /// Who may use the resource API.
    pub operators: Vec<settings::Operator>,
    /// Name of this process.
    pub process: String,
    /// Whether the balancer should send requests here.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Gives all metrics as text.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Runs a question on the thread that owns the configuration.
    pub inspect: Box<dyn Fn(Question) + Send + Sync>,
    /// Gathers what live processes have applied.
    pub presence: Box<dyn Fn() -> BoxFuture<'static, Presence> + Send + Sync>,
    /// Offset in force here.
    pub applied: channel::Receiver<Offset>,
    /// Recent changes, for watches.
    pub history: Arc<History>,
    /// The platform's log.
    pub log: source::log::Client,
}

/// What live processes have applied, as far as they could be asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Presence {
    /// What they reported.
    pub reported: Summary,
    /// Agents that keep reports and didn't answer.
    pub silent: u32,
    /// Hosts that the platform's list shows; a host without a report may be behind.
    pub listed: u32,
}

impl Context {
    /// Asks something of the configuration in force; `None` where the process is stopping.
    async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&config::State) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        (self.inspect)(Box::new(move |state| {
            // Whoever asked may have gone, and needs no answer then.
            let _ = sender.send(question(state));
        }));
        answer.await.ok()
    }
}

/// Starts the server.
pub fn spawn(
    address: SocketAddr,
    context: Context,
) -> Result<HttpServer<Arc<Context>>, BuildError> {
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(describe(), Arc::new(context), metrics::log::slog());
    server.config(config).start()
}

/// The OpenAPI document of the server, as JSON that ends in a newline.
pub fn document() -> String {
    let version = semver::Version::new(1, 0, 0);
    let mut text = Vec::new();
    let api = describe();
    let document = api.openapi("wagtailhill operators' API", version);
    document.write(&mut text).expect("the document is JSON");
    text.push(b'\n');
    String::from_utf8(text).expect("JSON is UTF-8")
}

fn describe() -> ApiDescription<Arc<Context>> {
    let mut api = ApiDescription::new();
    health::register(&mut api);
    resource::register(&mut api);
    status::register(&mut api);
    watch::register(&mut api);
    api
}
