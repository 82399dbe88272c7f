//! Reads a caller's HTTP request into the reducer's form.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, header};
use model::{
    Finding, credential,
    finding::place,
    id::{ModelName, PoolName, RequestId},
    reservation::BlockHash,
};
use scheduler::entry::{Call, Request};
use serde::Deserialize;
use serde_with::{OneOrMany, serde_as};

/// Header that names the tier.
pub const TIER: &str = "x-wagtailhill-tier";
/// Header that gives the time for the whole answer, in milliseconds.
pub const DEADLINE: &str = "x-wagtailhill-deadline-ms";
/// Header that says whether the request may run more than once: `true` or `false`.
pub const IDEMPOTENT: &str = "x-wagtailhill-idempotent";
/// Header that carries the caller's idempotency key.
pub const KEY: &str = "idempotency-key";

/// Bytes of prompt that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of prompt in one block of the prefix.
const BLOCK_BYTES: usize = 1_024;
/// Most blocks of a prompt that are hashed.
const BLOCK_LIMIT: usize = 16;
/// Tokens to generate where the caller doesn't say.
const DEFAULT_DECODE: u32 = 256;

/// The parts of a completion that the system reads; the rest goes to the engine untouched.
#[serde_as]
#[derive(Debug, Deserialize)]
struct Completion {
    model: ModelName,
    #[serde(default)]
    #[serde_as(as = "Option<OneOrMany<_>>")]
    prompt: Option<Vec<String>>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Reads a completion.
pub fn completion(id: RequestId, headers: &HeaderMap, body: &Bytes) -> Request {
    let mut request = common(id, headers);
    match parse(body) {
        Ok(completion) => {
            let prompt = prompt(&completion, &mut request.findings);
            request.prefill = tokens(prompt.len());
            request.decode = completion.max_tokens.unwrap_or(DEFAULT_DECODE);
            request.prefix = prefix(&completion.model, prompt.as_bytes());
            request.call = Some(Call::Completion(completion.model));
        }
        Err(finding) => request.findings.push(finding),
    }
    request
}

/// Reads a call to a plain service.
pub fn service(id: RequestId, headers: &HeaderMap, pool: PoolName, body: &Bytes) -> Request {
    let mut request = common(id, headers);
    request.prefill = tokens(body.len());
    request.call = Some(Call::Service(pool));
    request
}

fn common(id: RequestId, headers: &HeaderMap) -> Request {
    let mut findings = Vec::new();
    let credential = text(headers, header::AUTHORIZATION.as_str(), &mut findings);
    Request {
        id,
        credential: credential::bearer(credential.as_deref()).ok(),
        tier: text(headers, TIER, &mut findings),
        call: None,
        deadline: deadline(headers, &mut findings),
        idempotent: idempotent(headers, &mut findings),
        key: text(headers, KEY, &mut findings),
        prefill: 0,
        decode: 0,
        prefix: Vec::new(),
        fingerprint: Default::default(),
        findings,
    }
}

fn parse(body: &Bytes) -> Result<Completion, Finding> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    let completion = parsed
        .map_err(|e| Finding::new(place("body", &e.path().to_string()), e.inner().to_string()))?;
    json.end().map_err(|e| Finding::new("body", e.to_string()))?;
    Ok(completion)
}

fn prompt(completion: &Completion, findings: &mut Vec<Finding>) -> String {
    match (&completion.prompt, &completion.messages) {
        (Some(prompt), None) => prompt.concat(),
        (None, Some(messages)) => {
            let line = |message: &Message| format!("{}\n{}\n", message.role, message.content);
            messages.iter().map(line).collect()
        }
        (Some(_), Some(_)) => {
            findings.push(Finding::new("body", "give `prompt` or `messages`, not both"));
            String::new()
        }
        (None, None) => {
            findings.push(Finding::new("body", "give `prompt` or `messages`"));
            String::new()
        }
    }
}

fn prefix(model: &str, prompt: &[u8]) -> Vec<BlockHash> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let blocks = prompt.chunks(BLOCK_BYTES).take(BLOCK_LIMIT);
    blocks.map(|block| chained(&mut hasher, block)).collect()
}

fn chained(hasher: &mut blake3::Hasher, block: &[u8]) -> BlockHash {
    hasher.update(block);
    let mut word = [0; size_of::<BlockHash>()];
    hasher.finalize_xof().fill(&mut word);
    BlockHash::from_le_bytes(word)
}

fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn text(headers: &HeaderMap, name: &str, findings: &mut Vec<Finding>) -> Option<String> {
    match headers.get(name)?.to_str() {
        Ok(value) => Some(value.to_owned()),
        Err(_) => {
            findings.push(Finding::new(format!("header.{name}"), "must be plain ASCII"));
            None
        }
    }
}

fn deadline(headers: &HeaderMap, findings: &mut Vec<Finding>) -> Option<Duration> {
    let value = text(headers, DEADLINE, findings)?;
    match value.parse() {
        Ok(millis) => Some(Duration::from_millis(millis)),
        Err(_) => {
            let message = format!("`{value}` isn't a whole number of milliseconds");
            findings.push(Finding::new(format!("header.{DEADLINE}"), message));
            None
        }
    }
}

fn idempotent(headers: &HeaderMap, findings: &mut Vec<Finding>) -> Option<bool> {
    let value = text(headers, IDEMPOTENT, findings)?;
    match value.parse() {
        Ok(idempotent) => Some(idempotent),
        Err(_) => {
            let message = format!("`{value}` is neither `true` nor `false`");
            findings.push(Finding::new(format!("header.{IDEMPOTENT}"), message));
            None
        }
    }
}
