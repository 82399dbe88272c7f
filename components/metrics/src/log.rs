//! Log of the process, its libraries included: JSON lines on standard output.

use std::io;

pub use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Environment variable that sets the log filter, in the syntax of `tracing-subscriber`.
pub const FILTER: &str = "WAGTAILHILL_LOG";

/// Log filter where the environment variable [`FILTER`] is unset or invalid. Timeouts of calls that `tarpc`
/// logs are left out, since these lines name neither peer nor call; the callers log both.
const DEFAULT_FILTER: &str = "info,tarpc=warn,tarpc::client::in_flight_requests=off,dropshot=warn";

/// Maximum number of lines in the queue to the log thread; lines that don't fit are dropped and counted. At
/// 200 bytes per line, a full queue takes less than a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// Handle of a log that is written by a thread of its own. Dropping the handle writes the queued lines.
pub struct Handle {
    dropped_lines: ErrorCounter,
    _guard: WorkerGuard,
}

impl Handle {
    /// Returns a counter of the lines that were dropped because the queue was full.
    pub fn counter(&self) -> ErrorCounter {
        self.dropped_lines.clone()
    }
}

/// Starts logging on the threads that log, which wait for a slow reader of standard output. A second call has
/// no effect.
pub fn init() {
    start(io::stdout);
}

/// Starts logging through a queue to a thread of its own, so that threads that log never wait for a slow
/// reader of standard output.
pub fn spawn() -> Handle {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    let dropped_lines = writer.error_counter();
    start(writer);
    Handle { dropped_lines, _guard: guard }
}

fn start<W>(writer: W)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env(FILTER).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let result = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    drop(result);
}

pub use crate::bridge::slog;
