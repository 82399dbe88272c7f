//! Client of the platform's append-only log service.

use std::time::Duration;

use displaydoc::Display;
use model::id::Offset;
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::time::timeout;

use crate::{CONNECT_TIMEOUT, SILENCE};

const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Its position; the first record of a stream has 1.
    pub offset: Offset,
    /// What was appended, as text.
    pub payload: String,
}

/// What one read gives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Oldest offset that the log still keeps, or `next` where it keeps none.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Records from the asked offset on, without a gap.
    pub records: Vec<Record>,
}

/// What an append sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// The record's text.
    pub payload: String,
}

/// What an append gives.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// The record's position.
    pub offset: Offset,
}

/// What the log answers where the asked records are gone.
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

/// Reads and appends records.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: reqwest::Client,
}

/// Gives a client of the log at a base URL; nothing is sent yet.
pub fn open(base: &str) -> Client {
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .no_proxy()
        .retry(reqwest::retry::never())
        .build();
    Client { base: base.to_owned(), http: http.expect("a client without TLS can be built") }
}

impl Client {
    /// Appends one record and gives its offset.
    pub async fn append(&self, stream: &str, payload: &str) -> Result<Offset, Error> {
        let url = format!("{}/streams/{stream}/records", self.base);
        let body = Append { payload: payload.to_owned() };
        let sent = self.http.post(url).timeout(APPEND_TIMEOUT).json(&body).send().await;
        let answer = sent.map_err(classify)?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED => {
                let appended: Appended = answer.json().await.map_err(|_| Error::Unknown)?;
                Ok(appended.offset)
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy),
            other => Err(Error::Unexpected(other.as_u16())),
        }
    }

    /// Reads up to `limit` records from an offset on, waiting up to `wait` for the first.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let url = format!(
            "{}/streams/{stream}/records?from={from}&limit={limit}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let sent = timeout(wait + SILENCE, self.http.get(url).send()).await;
        let answer = sent.map_err(|_| Error::Unknown)?.map_err(classify)?;
        match answer.status() {
            StatusCode::OK => collect(answer).await,
            StatusCode::GONE => {
                let gone: Gone = collect(answer).await?;
                Err(Error::Expired(gone.first))
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy),
            other => Err(Error::Unexpected(other.as_u16())),
        }
    }
}

/// Reads an answer for as long as it keeps coming.
async fn collect<T: DeserializeOwned>(mut answer: Response) -> Result<T, Error> {
    let mut body = Vec::new();
    loop {
        let next = timeout(SILENCE, answer.chunk()).await.map_err(|_| Error::Unknown)?;
        match next.map_err(|_| Error::Unknown)? {
            Some(chunk) => body.extend_from_slice(&chunk),
            None => return serde_json::from_slice(&body).map_err(|_| Error::Unknown),
        }
    }
}

fn classify(error: reqwest::Error) -> Error {
    if error.is_connect() { Error::Unreachable } else { Error::Unknown }
}
