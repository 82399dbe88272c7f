//! Client of the platform's lagging list of hosts.

use std::time::Duration;

use model::Host;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the list of hosts.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: reqwest::Client,
}

/// Gives a client of the list at a base URL; nothing is sent yet.
pub fn open(base: &str) -> Client {
    let http = reqwest::Client::builder().timeout(TIMEOUT).no_proxy().build();
    Client { base: base.to_owned(), http: http.expect("a client without TLS can be built") }
}

impl Client {
    /// Reads the whole list.
    pub async fn list(&self) -> Result<Vec<Host>, reqwest::Error> {
        let url = format!("{}/hosts", self.base);
        self.http.get(url).send().await?.error_for_status()?.json().await
    }
}
