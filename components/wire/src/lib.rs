//! The protocols between an entry process and an agent, and between agents.
//!
//! Control calls use `tarpc`; an answer is a stream of frames in the body of an HTTP response.

pub mod admission;
pub mod answer;
pub mod control;
pub mod ending;
pub mod events;
pub mod frame;
pub mod pool;
pub mod socket;

pub use admission::AdmissionClient;
pub use answer::Answer;
pub use control::AgentClient;
pub use frame::Frame;
pub use pool::Pool;
