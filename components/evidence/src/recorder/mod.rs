//! Reducers combined with the recording of evidence. The facts are derived from the same events and
//! effects as the decisions, so the evidence can't deviate from what was decided.

pub mod agent;
pub mod entry;
