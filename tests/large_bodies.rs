//! Requests with the largest allowed body, and large answers to callers that read nothing, more of them at once than the
//! memory of the host holds.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use platform_support::{
    Store, batch,
    batch::Batch,
    runner::{self, Behavior},
    store,
};
use serde_json::json;
use support::Process;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Memory of the host.
const MEMORY_MB: usize = 64;
/// Size in bytes of the largest allowed body.
const LARGEST_BODY_BYTES: usize = 4 << 20;
/// Size in bytes of a usual body.
const USUAL_BODY_BYTES: usize = 64 << 10;
/// Number of callers with the largest body. Their bodies take twice the memory of the host.
const LARGE_CALLERS: usize = 32;
/// Number of callers with a usual body.
const USUAL_CALLERS: usize = 16;
/// Number of requests of each caller, one after another on one connection.
const REQUESTS: usize = 4;
/// Time for which a stream runs at its runner.
const RUN_TIME: Duration = Duration::from_millis(600);
/// Time for which a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Interval between two looks at the memory of the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Size in bytes of a large answer.
const LARGE_ANSWER_BYTES: usize = 8 << 20;
/// Number of callers that read nothing. Their answers take three times the memory of the host.
const SILENT_CALLERS: usize = 24;

struct Site {
    entry: Process,
    _runner: Batch,
    _store: Store,
}

/// Starts an entry process on a host of [`MEMORY_MB`].
async fn start_entry(host: IpAddr, store: &Store) -> Process {
    let port = support::free_ports(&[host]);
    let mut settings =
        platform_support::entry_settings("entry-1", "north", host, port, store.address);
    settings["limits"] = json!({"memory_mb": MEMORY_MB});
    let entry = support::gateway(&settings);
    support::gateway_ready(&entry).await;
    entry
}

async fn start(host: IpAddr) -> Site {
    let store = store::bind().await;
    let mut config = platform_support::config(1, &["key"]);
    config["limits"]["max_body_bytes"] = LARGEST_BODY_BYTES.into();
    store.write_config(&config);
    let runner = batch::bind(host, "i-1", LARGE_CALLERS + USUAL_CALLERS, RUN_TIME).await;
    let mut record = runner.record();
    // A runner without models has no agent.
    record["models"] = json!([]);
    store.write_runner("i-1", &record);
    let entry = start_entry(host, &store).await;
    Site { entry, _runner: runner, _store: store }
}

/// Observes the memory of a process until `is_over`; returns the largest number of bytes.
fn watch_memory(pid: u32, is_over: Arc<AtomicBool>) -> JoinHandle<usize> {
    thread::spawn(move || {
        let mut peak = 0;
        while !is_over.load(Ordering::Relaxed) {
            let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
            let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
            peak = peak.max(kb.unwrap_or_default() << 10);
            thread::sleep(LOOK_INTERVAL);
        }
        peak
    })
}

/// End of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// A complete answer of the runner.
    Answered,
    /// A refusal that states that the request didn't run and when to come back.
    Refused,
}

/// Sends requests one after another on one connection; returns their ends.
async fn call(address: SocketAddr, path: &str, name: &str, body_bytes: usize) -> Vec<End> {
    let client = reqwest::Client::new();
    let body = Bytes::from(vec![b'.'; body_bytes]);
    let mut ends = Vec::new();
    for number in 0..REQUESTS {
        let request = client
            .post(format!("http://{address}{path}"))
            .headers(platform_support::caller_headers(&format!("{name}-{number}"), PATIENCE))
            .body(body.clone());
        let answer = request.send().await.expect("an answer");
        let (status, headers) = (answer.status(), answer.headers().clone());
        let text = answer.text().await.expect("a complete answer");
        ends.push(match status {
            StatusCode::OK => End::Answered,
            StatusCode::SERVICE_UNAVAILABLE => {
                assert!(headers.contains_key("retry-after"), "{text}");
                assert_eq!(text, "{\"reason\":\"memory\",\"ran\":\"not_run\"}\n");
                End::Refused
            }
            status => panic!("{status}: {text}"),
        });
    }
    ends
}

/// Sends the requests of several callers at once.
async fn call_all(
    address: SocketAddr,
    path: &'static str,
    name: &str,
    (callers, body_bytes): (usize, usize),
) -> Vec<End> {
    let calls = (0..callers).map(|caller| {
        let name = format!("{name}-{caller}");
        tokio::spawn(async move { call(address, path, &name, body_bytes).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut ends = Vec::new();
    for call in calls {
        ends.extend(call.await.expect("the caller ends"));
    }
    ends
}

/// Guards against large bodies that together take more memory than the host has: the process is killed, and all its
/// requests lose their connections.
#[test_case("/stream/", 1; "bodies that are sent once")]
#[test_case("/resume/", 2; "bodies that are kept until the stream ends")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_burst_of_the_largest_bodies_takes_no_more_memory_than_the_host_has(
    path: &'static str,
    host: u8,
) {
    let site = start(IpAddr::from([127, 0, 5, host])).await;
    let address = site.entry.address("callers");
    let is_over = Arc::new(AtomicBool::new(false));
    let memory = watch_memory(site.entry.id(), Arc::clone(&is_over));

    let before = call_all(address, path, "before", (2, LARGEST_BODY_BYTES)).await;
    let (large, usual) = tokio::join!(
        call_all(address, path, "large", (LARGE_CALLERS, LARGEST_BODY_BYTES)),
        call_all(address, path, "usual", (USUAL_CALLERS, USUAL_BODY_BYTES)),
    );
    let after = call_all(address, path, "after", (2, LARGEST_BODY_BYTES)).await;
    is_over.store(true, Ordering::Relaxed);
    let peak = memory.join().expect("the memory is observed");

    let answered = large.iter().filter(|&&end| end == End::Answered).count();
    println!("{path}: {answered} of {} large ones answered, peak {peak} bytes", large.len());
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes");
    assert!([before, usual, after].concat().iter().all(|&end| end == End::Answered));
    assert!(answered > 0);
}

/// Sends a request and reads nothing.
async fn send_only(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let headers = platform_support::caller_headers(id, PATIENCE);
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().expect("a text")));
    let request = format!(
        "POST /unsafe/ HTTP/1.1\r\n{}content-length: 0\r\nconnection: close\r\n\r\n",
        lines.collect::<String>()
    );
    stream.write_all(request.as_bytes()).await.expect("sends the request");
    stream
}

/// Guards against answers that take more memory than the host has, since their callers read slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_that_callers_do_not_read_take_no_more_memory_than_the_host_has() {
    let host = IpAddr::from([127, 0, 5, 3]);
    let store = store::bind().await;
    store.write_config(&platform_support::config(1, &["key"]));
    let behavior = Behavior::LargeBody { bytes: LARGE_ANSWER_BYTES };
    let runner = runner::bind_at(host, "i-1", behavior).await;
    let mut record = runner.model_record("v1", "north", SILENT_CALLERS as u32);
    record["models"] = json!([]);
    store.write_runner("i-1", &record);
    let entry = start_entry(host, &store).await;
    let address = entry.address("callers");
    let is_over = Arc::new(AtomicBool::new(false));
    let memory = watch_memory(entry.id(), Arc::clone(&is_over));

    let mut silent = Vec::new();
    for number in 0..SILENT_CALLERS {
        silent.push(send_only(address, &format!("silent-{number}")).await);
        support::until(|| runner.ended_requests() > number).await;
    }
    let mut complete = 0;
    for stream in &mut silent {
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        complete += usize::from(read.is_ok() && answer.len() > LARGE_ANSWER_BYTES);
    }
    is_over.store(true, Ordering::Relaxed);
    let peak = memory.join().expect("the memory is observed");

    println!("{complete} of {SILENT_CALLERS} answers complete, peak {peak} bytes");
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes");
    assert!(complete > 0);
}
