//! One log: JSON lines on standard output, from our code and from libraries alike.

use tracing_subscriber::EnvFilter;

/// Variable that sets what is logged, in `tracing-subscriber`'s filter syntax.
pub const FILTER: &str = "WAGTAILHILL_LOG";

/// Starts logging; a second call has no effect.
pub fn init() {
    let filter = EnvFilter::try_from_env(FILTER)
        .unwrap_or_else(|_| EnvFilter::new("info,tarpc=warn,dropshot=warn"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_env_filter(filter)
        .try_init();
    drop(started);
}

pub use crate::bridge::slog;
