//! Watch endpoint: streams accepted changes as JSON lines.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use dropshot::{ApiDescription, Body, Query, RequestContext, endpoint};
use futures::{Stream, stream};
use http::{Response, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use model::{id::Offset, resource::Kind};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::time::timeout;

use crate::{
    Context,
    fault::{Failure, Fault, Reason, authenticate},
    view::Event,
};

/// Longest time without a line. A bookmark is sent after it, so that both ends detect a broken
/// connection.
const BOOKMARK_PERIOD: Duration = Duration::from_secs(5);

#[derive(Deserialize, JsonSchema)]
struct WatchQuery {
    /// First offset to stream: one more than the last offset that the client has received.
    from: Offset,
    /// Stream only changes of this kind; changes of all kinds by default.
    kind: Option<Kind>,
}

/// Position of a watch in the history.
struct Cursor {
    context: Arc<Context>,
    kind: Option<Kind>,
    /// First offset that the watch hasn't streamed yet.
    next: Offset,
    /// Whether the watch has ended because changes that it hasn't streamed were dropped from the
    /// history.
    is_gone: bool,
}

/// Registers the endpoint of this module.
pub fn register(api: &mut ApiDescription<Arc<Context>>) {
    api.register(watch).expect("the path is free");
}

/// Streams accepted changes from an offset on, one JSON object a line, with bookmarks.
#[endpoint { method = GET, path = "/v1/watch" }]
async fn watch(
    context: RequestContext<Arc<Context>>,
    query: Query<WatchQuery>,
) -> Result<Response<Body>, Fault> {
    authenticate(&context)?;
    let query = query.into_inner();
    let first = context.context().history.first();
    if query.from < first {
        let message = format!("changes before offset {first} are gone: list again");
        let gone = Failure::new(Reason::Gone, message);
        return Err(Failure { offset: Some(first), ..gone }.into());
    }
    let cursor = Cursor {
        context: Arc::clone(context.context()),
        kind: query.kind,
        next: query.from,
        is_gone: false,
    };
    let answer = Response::builder().header(header::CONTENT_TYPE, "application/x-ndjson");
    let body = Body::wrap(StreamBody::new(lines(cursor)));
    Ok(answer.body(body).expect("the answer's header is valid"))
}

fn lines(cursor: Cursor) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    stream::unfold(cursor, |mut cursor| async move {
        let events = cursor.read().await?;
        let mut text = String::new();
        for event in events {
            text.push_str(&serde_json::to_string(&event).expect("an event is JSON"));
            text.push('\n');
        }
        Some((Ok(Frame::data(Bytes::from(text))), cursor))
    })
}

impl Cursor {
    /// Waits for the next events; `None` if the watch has ended or the process is stopping.
    async fn read(&mut self) -> Option<Vec<Event>> {
        if self.is_gone {
            return None;
        }
        let next = self.next;
        let mut applied = self.context.applied.clone();
        // After a timeout only a bookmark is sent. The channel closes when the process stops.
        let advanced = timeout(BOOKMARK_PERIOD, applied.wait_for(|applied| *applied >= next)).await;
        if matches!(advanced, Ok(Err(_))) {
            return None;
        }
        drop(advanced);
        let applied = *applied.borrow();
        Some(self.events(applied))
    }

    fn events(&mut self, applied: Offset) -> Vec<Event> {
        let next = self.next;
        let Some(mut events) = self.context.history.range(next, applied, self.kind) else {
            self.is_gone = true;
            return vec![Event::Gone { first: self.context.history.first() }];
        };
        self.next = next.max(applied + 1);
        events.push(Event::Bookmark { offset: self.next - 1 });
        events
    }
}
