//! Calls the operators' API as a person's script would.

use model::{Resource, id::Offset};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde_json::Value;

use super::Process;

/// The key of the operator in the settings that tests use.
pub const KEY: &str = "operator-key";

/// What a call gave.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Value,
}

/// The operator that [`KEY`] opens.
pub fn setting() -> settings::Operator {
    settings::Operator { name: "olga".to_owned(), key_hash: model::credential::hash(KEY) }
}

/// A call to an entry process, not sent yet.
pub fn call(entry: &Process, method: Method, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", entry.address("operators"));
    Client::new().request(method, url).bearer_auth(KEY)
}

/// Reads a watch's lines up to the bookmark of an offset, and then breaks the connection.
pub async fn watch(entry: &Process, from: Offset, until: Offset) -> Vec<Value> {
    watch_with(entry, &format!("from={from}"), until).await
}

/// The same with a query.
pub async fn watch_with(entry: &Process, query: &str, until: Offset) -> Vec<Value> {
    let request = call(entry, Method::GET, &format!("/v1/watch?{query}"));
    let mut answer = request.send().await.unwrap();
    let mut text = String::new();
    loop {
        let chunk = answer.chunk().await.unwrap().expect("a watch goes on until it is broken");
        text.push_str(std::str::from_utf8(&chunk).unwrap());
        let whole = text.lines().filter_map(|line| serde_json::from_str(line).ok());
        let lines: Vec<Value> = whole.collect();
        let seen = lines.iter().any(|line| {
            line["type"] == "bookmark" && line["offset"].as_u64().is_some_and(|o| o >= until)
        });
        if seen {
            return lines;
        }
    }
}

/// Sends a call and reads its answer.
pub async fn send(request: RequestBuilder) -> Answer {
    read(request.send().await.unwrap()).await
}

pub async fn get(entry: &Process, path: &str) -> Answer {
    send(call(entry, Method::GET, path)).await
}

/// Puts a resource where a version is expected; `more` is added to the query.
pub async fn put(entry: &Process, resource: &Resource, expected: Offset, more: &str) -> Answer {
    let path = format!("{}?expected={expected}{more}", path(resource));
    send(call(entry, Method::PUT, &path).json(resource)).await
}

pub async fn delete(entry: &Process, path: &str, expected: Offset) -> Answer {
    send(call(entry, Method::DELETE, &format!("{path}?expected={expected}"))).await
}

/// Path of a resource.
pub fn path(resource: &Resource) -> String {
    let key = resource.key();
    let kind = serde_json::to_value(key.kind).unwrap();
    format!("/v1/resources/{}/{}", kind.as_str().unwrap(), key.name)
}

async fn read(answer: Response) -> Answer {
    let status = answer.status();
    let text = answer.text().await.unwrap();
    Answer { status, body: serde_json::from_str(&text).unwrap_or(Value::String(text)) }
}
