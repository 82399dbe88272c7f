//! The platform's stand-ins, for tests that configure entry processes by themselves.

use standin::{
    fixture::{self, ANY},
    hosts, log,
};

use super::operator;

/// The platform's services.
pub struct Platform {
    pub log: log::Log,
    pub hosts: hosts::Hosts,
}

/// Starts the platform's services, empty.
pub async fn platform() -> Platform {
    Platform { log: log::bind(ANY).await.unwrap(), hosts: hosts::bind(ANY).await.unwrap() }
}

/// Settings of an entry process that the operator of the tests may use.
pub fn settings(name: &str, platform: &Platform) -> settings::Entry {
    let mut settings = fixture::entry(name, &platform.log, &platform.hosts);
    settings.operators = vec![operator::setting()];
    settings
}
