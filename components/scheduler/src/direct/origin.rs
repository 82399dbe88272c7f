//! The versions that begin streams. What targets of two versions write doesn't fit together, so that a stream
//! of which the caller has received a part continues only at targets of the version that began it.

use super::rollout::Version;

/// What is known of the version that began the answer to a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Origin {
    /// The caller has received nothing of the answer, so that a target of any version may begin it.
    #[default]
    NotBegun,
    /// A target of this version began the answer, which only targets of the same version may continue.
    Begun(Version),
}

impl Origin {
    /// Returns the version that targets need to continue the answer; `None` where any target may begin it.
    pub fn version(&self) -> Option<&Version> {
        match self {
            Origin::NotBegun => None,
            Origin::Begun(version) => Some(version),
        }
    }
}
