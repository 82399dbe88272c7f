//! Sends the `slog` records of `dropshot` to `tracing`.

use slog::o;
use tracing_slog::TracingSlogDrain;

/// Gives a `slog` logger whose records go to the process's one log.
pub fn slog() -> slog::Logger {
    slog::Logger::root(TracingSlogDrain, o!())
}
