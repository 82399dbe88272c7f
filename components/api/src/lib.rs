//! The resource API: operators declare what they want and follow changes.
