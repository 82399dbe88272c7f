//! Client of the platform's append-only log service.

use std::time::Duration;

use displaydoc::Display;
use model::id::Offset;
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::time::timeout;

use crate::{CONNECT_TIMEOUT, IDLE_TIMEOUT};

/// Timeout of an append, from connecting to the end of the answer.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Position of the record in its stream, starting at 1.
    pub offset: Offset,
    /// Text that was appended.
    pub payload: String,
}

/// The answer to one read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Oldest offset that the log still keeps, or `next` if it keeps no records.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Records from the requested offset on, without a gap.
    pub records: Vec<Record>,
}

/// The request body of an append.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// Text of the record.
    pub payload: String,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// The answer to a read whose records have expired.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gone {
    /// Oldest offset that the log still keeps.
    pub first: Offset,
}

/// Why a call to the log failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the log can't be reached; nothing was appended
    Unreachable,
    /// the log took the call but its answer was lost; an append may have taken effect
    Unknown,
    /// the log refuses appends for now; nothing was appended
    Busy,
    /// records before offset {0} are gone
    Expired(Offset),
    /// the log answered with status {0}
    Unexpected(u16),
}

/// HTTP client that reads and appends records.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: String,
    http: reqwest::Client,
}

/// Returns a client of the log at a base URL. Sends nothing yet.
pub fn open(base_url: &str) -> Client {
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .no_proxy()
        .retry(reqwest::retry::never())
        .build();
    Client { base_url: base_url.to_owned(), http: http.expect("a client without TLS can be built") }
}

impl Client {
    /// Appends one record to a stream and returns the record's offset.
    pub async fn append(&self, stream: &str, payload: &str) -> Result<Offset, Error> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let body = Append { payload: payload.to_owned() };
        let sent = self.http.post(url).timeout(APPEND_TIMEOUT).json(&body).send().await;
        let answer = sent.map_err(error_for)?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED => {
                let appended: Appended = answer.json().await.map_err(|_| Error::Unknown)?;
                Ok(appended.offset)
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy),
            other => Err(Error::Unexpected(other.as_u16())),
        }
    }

    /// Reads up to `limit` records of a stream from an offset on. If there are none, the log waits
    /// up to `wait` for the first one and then answers with an empty page.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let url = format!(
            "{}/streams/{stream}/records?from={from}&limit={limit}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        let sent = timeout(wait + IDLE_TIMEOUT, self.http.get(url).send()).await;
        let answer = sent.map_err(|_| Error::Unknown)?.map_err(error_for)?;
        match answer.status() {
            StatusCode::OK => read_body(answer).await,
            StatusCode::GONE => {
                let gone: Gone = read_body(answer).await?;
                Err(Error::Expired(gone.first))
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy),
            other => Err(Error::Unexpected(other.as_u16())),
        }
    }
}

/// Reads and parses the body of an answer. Fails if no byte arrives for `IDLE_TIMEOUT`, but has no
/// limit on the total time.
async fn read_body<T: DeserializeOwned>(mut answer: Response) -> Result<T, Error> {
    let mut body = Vec::new();
    loop {
        let next = timeout(IDLE_TIMEOUT, answer.chunk()).await.map_err(|_| Error::Unknown)?;
        match next.map_err(|_| Error::Unknown)? {
            Some(chunk) => body.extend_from_slice(&chunk),
            None => return serde_json::from_slice(&body).map_err(|_| Error::Unknown),
        }
    }
}

fn error_for(error: reqwest::Error) -> Error {
    if error.is_connect() { Error::Unreachable } else { Error::Unknown }
}
