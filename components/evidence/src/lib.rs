//! Evidence of what was decided: records in hash-chained batches, and the audit that reads them.
//!
//! Each run of a process writes a chain of its own to the `evidence` stream of the platform's log.
//! What is missing shows as a gap, and the audit never takes a gap for proof.

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
