//! Tests the follower against a log whose answers have gaps.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use follower::{Sink, Source, Update};
use http::StatusCode;
use source::log::{Page, Record};
use standin::{fixture::ANY, server};
use tokio::sync::mpsc;

fn record(offset: u64) -> Record {
    Record { offset, payload: "no change".to_owned() }
}

/// Starts a log server whose first answer lacks the second of three records; its later answers are
/// complete.
async fn log_with_gap() -> server::Server {
    let reads = Arc::new(AtomicU32::new(0));
    let handler: server::Handler = Arc::new(move |request| {
        let is_config = request.uri().path().starts_with("/streams/config/");
        let is_first = is_config && reads.fetch_add(1, Ordering::SeqCst) == 0;
        let offsets: &[u64] = match (is_config, is_first) {
            (false, _) => &[],
            (true, true) => &[1, 3],
            (true, false) => &[1, 2, 3],
        };
        let records = offsets.iter().map(|offset| record(*offset)).collect();
        let next = if is_config { 4 } else { 1 };
        let answer = server::json(StatusCode::OK, &Page { first: 1, next, records });
        Box::pin(async { answer })
    });
    server::bind(ANY, handler).await.unwrap()
}

/// Guards against a follower that applies a page with a gap and skips the missing record for good.
#[tokio::test]
async fn a_page_with_a_gap_is_discarded_and_read_again() {
    let log = log_with_gap().await;
    let (sender, mut updates) = mpsc::unbounded_channel();
    let sink: Sink = Arc::new(move |update| {
        if let Update::Records(records) = update {
            let offsets: Vec<u64> = records.iter().map(|record| record.offset).collect();
            // Sending fails once the test has its first update, the only one that it reads.
            let _ = sender.send(offsets);
        }
    });
    let source = Source {
        log: source::log::open(&format!("http://{}", log.address)),
        poll: Duration::from_secs(1),
        relays: Arc::new(|| Box::pin(async { Vec::new() })),
        peers: Vec::new(),
    };

    let follower = follower::spawn(source, sink);
    let first_records = updates.recv().await.unwrap();
    follower.stop();

    assert_eq!(first_records, [1, 2, 3]);
}
