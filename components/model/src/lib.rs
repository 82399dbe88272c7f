//! Data types that all processes share: ids, resources, reservations, claims, log records and refusals.

pub mod change;
pub mod claim;
pub mod credential;
pub mod finding;
pub mod host;
pub mod id;
pub mod membership;
pub mod presence;
pub mod promise;
pub mod refusal;
pub mod reservation;
pub mod resource;
pub mod setup;
pub mod snapshot;
pub mod suspect;

pub use change::Change;
pub use finding::Finding;
pub use host::Host;
pub use refusal::Refusal;
pub use resource::Resource;
