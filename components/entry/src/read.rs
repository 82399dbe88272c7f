//! Parses a caller's HTTP request into the reducer's `Request`.

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

/// Header that names the tier of the request.
pub const TIER_HEADER: &str = "x-wagtailhill-tier";
/// Header with the time that the caller allows for the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-wagtailhill-deadline-ms";
/// Header that allows or forbids running the request more than once: `true` or `false`.
pub const IDEMPOTENT_HEADER: &str = "x-wagtailhill-idempotent";
/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Bytes of prompt that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Size of one block of a prompt, in bytes; targets' caches are matched by the hashes of blocks.
const PREFIX_BLOCK_BYTES: usize = 1_024;
/// Largest number of a prompt's blocks that are hashed; the rest of the prompt is ignored.
const MAX_PREFIX_BLOCKS: usize = 16;
/// Estimated number of generated tokens if the caller sets no `max_tokens`.
const DEFAULT_DECODE_TOKENS: u32 = 256;

/// The fields of a completion's body that the entry process reads. The body is sent to the engine
/// unchanged, with all other fields.
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

/// One message of a conversation.
#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Parses a completion. Faults of the request are collected in its `findings`.
pub fn completion(id: RequestId, headers: &HeaderMap, body: &Bytes) -> Request {
    let mut request = request_from_headers(id, headers);
    match parse_completion(body) {
        Ok(completion) => {
            let prompt = prompt_text(&completion, &mut request.findings);
            request.prefill = estimate_tokens(prompt.len());
            request.decode = completion.max_tokens.unwrap_or(DEFAULT_DECODE_TOKENS);
            request.prefix = prefix_hashes(&completion.model, prompt.as_bytes());
            request.call = Some(Call::Completion(completion.model));
        }
        Err(finding) => request.findings.push(finding),
    }
    request
}

/// Parses a call to a plain service. Faults of the request are collected in its `findings`.
pub fn service(id: RequestId, headers: &HeaderMap, pool: PoolName, body: &Bytes) -> Request {
    let mut request = request_from_headers(id, headers);
    request.prefill = estimate_tokens(body.len());
    request.call = Some(Call::Service(pool));
    request
}

fn request_from_headers(id: RequestId, headers: &HeaderMap) -> Request {
    let mut findings = Vec::new();
    let credential = header_text(headers, header::AUTHORIZATION.as_str(), &mut findings);
    Request {
        id,
        credential: credential::bearer(credential.as_deref()).ok(),
        tier: header_text(headers, TIER_HEADER, &mut findings),
        call: None,
        deadline: deadline(headers, &mut findings),
        idempotent: idempotent(headers, &mut findings),
        key: header_text(headers, IDEMPOTENCY_KEY_HEADER, &mut findings),
        prefill: 0,
        decode: 0,
        prefix: Vec::new(),
        fingerprint: Default::default(),
        findings,
    }
}

fn parse_completion(body: &Bytes) -> Result<Completion, Finding> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    let completion = parsed
        .map_err(|e| Finding::new(place("body", &e.path().to_string()), e.inner().to_string()))?;
    json.end().map_err(|e| Finding::new("body", e.to_string()))?;
    Ok(completion)
}

fn prompt_text(completion: &Completion, findings: &mut Vec<Finding>) -> String {
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

fn prefix_hashes(model: &str, prompt: &[u8]) -> Vec<BlockHash> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let blocks = prompt.chunks(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_BLOCKS);
    blocks.map(|block| chained_hash(&mut hasher, block)).collect()
}

fn chained_hash(hasher: &mut blake3::Hasher, block: &[u8]) -> BlockHash {
    hasher.update(block);
    let mut hash = [0; size_of::<BlockHash>()];
    hasher.finalize_xof().fill(&mut hash);
    BlockHash::from_le_bytes(hash)
}

fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn header_text(headers: &HeaderMap, name: &str, findings: &mut Vec<Finding>) -> Option<String> {
    match headers.get(name)?.to_str() {
        Ok(value) => Some(value.to_owned()),
        Err(_) => {
            findings.push(Finding::new(format!("header.{name}"), "must be plain ASCII"));
            None
        }
    }
}

fn deadline(headers: &HeaderMap, findings: &mut Vec<Finding>) -> Option<Duration> {
    let value = header_text(headers, DEADLINE_HEADER, findings)?;
    match value.parse() {
        Ok(millis) => Some(Duration::from_millis(millis)),
        Err(_) => {
            let message = format!("`{value}` isn't a whole number of milliseconds");
            findings.push(Finding::new(format!("header.{DEADLINE_HEADER}"), message));
            None
        }
    }
}

fn idempotent(headers: &HeaderMap, findings: &mut Vec<Finding>) -> Option<bool> {
    let value = header_text(headers, IDEMPOTENT_HEADER, findings)?;
    match value.parse() {
        Ok(idempotent) => Some(idempotent),
        Err(_) => {
            let message = format!("`{value}` is neither `true` nor `false`");
            findings.push(Finding::new(format!("header.{IDEMPOTENT_HEADER}"), message));
            None
        }
    }
}
