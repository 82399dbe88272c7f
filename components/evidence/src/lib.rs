//! Evidence of what processes decided: records in hash-chained batches, and the audit that checks
//! them.
//!
//! Each run of a process writes its own chain to the `evidence` stream of the platform's log.
//! Missing records are detected as a gap, and the audit never treats a gap as proof that a rule
//! held.

pub mod append;
pub mod audit;
pub mod batch;
pub mod history;
pub mod outbox;
pub mod read;
pub mod record;
pub mod recorder;

pub use audit::{Report, audit};
pub use batch::Batch;
pub use history::History;
pub use outbox::{Buffer, Outbox};
pub use record::{Fact, Record};
