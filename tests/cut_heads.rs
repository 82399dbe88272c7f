//! Targets that stop within the head of an answer and close the connection.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{StreamExt, stream};
use http::StatusCode;
use platform_support::store;
use reqwest::Client;
use serde_json::json;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// How an answer states where its body ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    /// It ends with its connection.
    None,
}

const BODY: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
/// Maximum number of requests that are sent until the target receives one.
const MAX_TRIES: usize = 200;
/// Time for which a caller waits for its answer. Requests that may be repeated wait for another target until then.
const PATIENCE: Duration = Duration::from_millis(300);
/// Number of requests that are sent at once.
const AT_ONCE: usize = 16;

/// Numbers of bytes after which heads were cut.
type Cuts = Arc<Mutex<BTreeSet<usize>>>;

/// Returns the head of an answer. The headers that prove the answer come first, so that a cut head has them.
fn head(framing: Framing, id: &str) -> String {
    let framing = match framing {
        Framing::Length => format!("content-length: {}\r\n", BODY.len()),
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::None => String::new(),
    };
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s\r\n\
         content-type: text/event-stream\r\n{framing}x: y\r\n\r\n"
    )
}

/// Serves one connection: a request with the ID `cut-N-..` is answered with the first N bytes of a head.
async fn serve(mut stream: TcpStream, framing: Framing, cuts: &Cuts) -> std::io::Result<()> {
    let mut received = Vec::new();
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut received).await? == 0 {
            return Ok(());
        }
    }
    let request = String::from_utf8_lossy(&received).to_lowercase();
    if request.starts_with("get /api/report") {
        let report = json!({"queue_depth": 0, "in_flight": 0}).to_string();
        let length = report.len();
        let head =
            format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
        return stream.write_all((head + &report).as_bytes()).await;
    }
    let id = request.lines().find_map(|line| line.strip_prefix("request-id: "));
    let id = id.unwrap_or_default();
    let Some(length) = id.split('-').nth(1).and_then(|number| number.parse().ok()) else {
        return Ok(());
    };
    let head = head(framing, id);
    stream.write_all(&head.as_bytes()[..length]).await?;
    stream.shutdown().await?;
    cuts.lock().expect("the lock is not poisoned").insert(length);
    Ok(())
}

async fn bind(ip: IpAddr, framing: Framing) -> (SocketAddr, Cuts) {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await.expect("binds a port");
    let address = listener.local_addr().expect("has a local address");
    let cuts = Cuts::default();
    let all = Arc::clone(&cuts);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let all = Arc::clone(&all);
            tokio::spawn(async move {
                // A probe closes its connection without a request.
                let _ = serve(stream, framing, &all).await;
            });
        }
    });
    (address, cuts)
}

/// Guards against answers that are passed on as whole although their target stopped within the head.
#[test_case("/unsafe/", Framing::Length, false, 1; "a length")]
#[test_case("/safe/", Framing::Length, false, 2; "a length, may be repeated")]
#[test_case("/unsafe/", Framing::Chunks, false, 3; "chunks")]
#[test_case("/unsafe/", Framing::None, false, 4; "no framing")]
#[test_case("/stream/", Framing::Chunks, false, 5; "a stream in chunks")]
#[test_case("/stream/", Framing::None, false, 6; "a stream without framing")]
#[test_case("/resume/", Framing::Chunks, true, 7; "a stream in chunks, with an agent")]
#[test_case("/unsafe/", Framing::Length, true, 8; "a length, with an agent")]
#[test_case("/stream/", Framing::None, true, 9; "a stream without framing, with an agent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_within_its_head_is_not_passed_on(
    path: &str,
    framing: Framing,
    has_agent: bool,
    host: u8,
) {
    let host = IpAddr::from([127, 0, 7, host]);
    let store = store::bind().await;
    store.write_config(&platform_support::config(1, &["key"]));
    let (address, cuts) = bind(host, framing).await;
    let models = if has_agent { json!([{"name": "m"}]) } else { json!([]) };
    let record = json!({
        "service": "pool", "address": address, "zone": "north", "version": "v1", "slots": AT_ONCE,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "models": models,
    });
    store.write_runner("i-1", &record);
    let port = support::free_ports(&[host]);
    let agent_settings = platform_support::agent_settings("side-1", host, port);
    let _agent = has_agent.then(|| support::admission(&agent_settings));
    let settings = platform_support::entry_settings("entry-1", "north", host, port, store.address);
    let entry = support::gateway(&settings);
    support::gateway_ready(&entry).await;
    let client = Client::new();

    // Heads are cut at each byte before the last one.
    let calls = stream::iter(0..head(framing, "cut-100-000").len() - 1).map(async |length| {
        let mut passed_on = Vec::new();
        let is_cut = || cuts.lock().expect("the lock is not poisoned").contains(&length);
        let mut tries = 0;
        while !is_cut() {
            tries += 1;
            assert!(tries < MAX_TRIES, "the target gets no requests");
            let id = format!("cut-{length:03}-{tries:03}");
            let request = client
                .post(format!("http://{}{path}", entry.address("callers")))
                .headers(platform_support::caller_headers(&id, PATIENCE))
                // Equal requests are refused once a few of them have broken off.
                .body(id.clone());
            let answer = request.send().await.expect("an answer");
            if answer.status() == StatusCode::OK {
                passed_on.push((length, answer.text().await));
            }
        }
        passed_on
    });
    let passed_on: Vec<_> = calls.buffer_unordered(AT_ONCE).concat().await;

    assert!(passed_on.is_empty(), "{passed_on:?}");
}
