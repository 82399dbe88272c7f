//! Forwards log records of `dropshot`, which uses `slog`, to `tracing`.

use slog::o;
use tracing_slog::TracingSlogDrain;

/// Creates a `slog` logger whose records go to the log of the process.
pub fn slog() -> slog::Logger {
    slog::Logger::root(TracingSlogDrain, o!())
}
