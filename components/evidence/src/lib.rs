//! Evidence: hash-chained batches of decisions, and the audit of them.
