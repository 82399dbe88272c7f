//! One log: JSON lines on standard output, from our code and from libraries alike.

use std::io;

pub use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Variable that sets what is logged, in `tracing-subscriber`'s filter syntax.
pub const FILTER: &str = "WAGTAILHILL_LOG";

/// What is logged unless that is set. The line of `tarpc` for a call that took too long names neither
/// peer nor call; whoever called logs both.
const USUAL: &str = "info,tarpc=warn,tarpc::client::in_flight_requests=off,dropshot=warn";

/// Lines that wait to be written; beyond it they are left out, and counted. At 200 bytes a line this
/// is under a megabyte.
const LINES: usize = 4_096;

/// A log that a slow reader can't hold up; dropping it writes what waits.
pub struct Handle {
    left_out: ErrorCounter,
    _guard: WorkerGuard,
}

impl Handle {
    /// Counts lines that find no room.
    pub fn counter(&self) -> ErrorCounter {
        self.left_out.clone()
    }
}

/// Starts logging; a second call has no effect.
pub fn init() {
    start(io::stdout);
}

/// Starts logging by a thread of its own, so that whoever logs never waits.
pub fn spawn() -> Handle {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES);
    let (writer, guard) = builder.finish(io::stdout());
    let left_out = writer.error_counter();
    start(writer);
    Handle { left_out, _guard: guard }
}

fn start<W>(writer: W)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env(FILTER).unwrap_or_else(|_| EnvFilter::new(USUAL));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    drop(started);
}

pub use crate::bridge::slog;
