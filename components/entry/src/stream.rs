//! Sends answers to callers: buffered until they are complete, or streamed piece by piece.

use std::{convert::Infallible, sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use dropshot::Body;
use futures::Stream;
use http::{Response, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use model::{Refusal, id::RequestId};
use scheduler::entry::Owner;
use tracing::{info, warn};
use wire::{answer::Piece, events};

use crate::{
    control::RequestHandle,
    fault::{self, REQUEST_ID},
    relay::Opened,
};

/// Records the progress of one answer in metrics and the process log.
pub struct AnswerRecorder {
    /// ID of the answered request.
    pub id: RequestId,
    /// Client account and tier of the request.
    pub owner: Owner,
    /// When the request arrived; latencies are measured from here.
    pub arrived: Instant,
    /// Metrics of the entry process.
    pub metrics: Arc<metrics::Entry>,
}

impl AnswerRecorder {
    /// Records the latency of the answer's first piece.
    fn record_first_byte(&self) {
        self.metrics.record_first_byte(&self.owner.tier, self.arrived.elapsed());
    }

    fn record_complete(&self) {
        let took = self.arrived.elapsed();
        self.metrics.record_answer(&self.owner.tier, &self.owner.account, took);
        info!(request = %self.id, millis = took.as_millis(), "answer complete");
    }

    fn record_torn(&self, refusal: &Refusal) {
        self.metrics.count_torn_answer(&self.owner.tier);
        warn!(
            request = %self.id,
            reason = ?refusal.reason,
            message = refusal.message,
            "answer incomplete"
        );
    }
}

/// Buffers the whole answer before sending any of it, so that a failed one is answered by a
/// refusal alone.
pub async fn respond_whole(
    handle: RequestHandle,
    recorder: AnswerRecorder,
    mut opened: Opened,
) -> Response<Body> {
    let mut body = BytesMut::new();
    loop {
        match opened.next().await {
            Ok(Piece::Head { .. }) => {}
            Ok(Piece::Chunk(bytes)) => body.extend_from_slice(&bytes),
            Ok(Piece::Whole) => break,
            Err(refusal) => {
                recorder.record_torn(&refusal);
                handle.fail(&refusal);
                return fault::answer(recorder.id, refusal);
            }
        }
    }
    recorder.record_first_byte();
    recorder.record_complete();
    handle.complete(opened.digest());
    drop(handle);
    whole_response(&recorder, &opened, Body::with_content(body.freeze()))
}

/// Streams the answer to the caller piece by piece. An incomplete answer ends in an `error` event
/// and never in `[DONE]`.
///
/// The response's head is sent with the first piece, in one TCP segment: a second small segment
/// would wait 40 ms for the first one's acknowledgement (docs/design/0005-nodelay.md).
pub async fn respond_streamed(
    handle: RequestHandle,
    recorder: AnswerRecorder,
    mut opened: Opened,
) -> Response<Body> {
    let first = match opened.next().await {
        Ok(first) => first,
        Err(refusal) => {
            recorder.record_torn(&refusal);
            handle.fail(&refusal);
            return fault::answer(recorder.id, refusal);
        }
    };
    recorder.record_first_byte();
    let id = recorder.id;
    let status = opened.status;
    let content_type = opened.content_type.clone();
    let events = relay_events(handle, recorder, opened, first);
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .header(header::CACHE_CONTROL, "no-store")
        .header(REQUEST_ID, id.to_string())
        .body(Body::wrap(StreamBody::new(events)))
        .expect("the target's content type was valid")
}

fn relay_events(
    handle: RequestHandle,
    recorder: AnswerRecorder,
    mut opened: Opened,
    first: Piece,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    async_stream::stream! {
        // The `[DONE]` event is held back until the answer is known to be complete.
        let mut done_event = Bytes::new();
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Piece::Head { .. }) => {}
                Ok(Piece::Chunk(bytes)) => {
                    if !done_event.is_empty() {
                        yield Ok(Frame::data(std::mem::take(&mut done_event)));
                    }
                    match events::is_done(&bytes) {
                        true => done_event = bytes,
                        false => yield Ok(Frame::data(bytes)),
                    }
                }
                Ok(Piece::Whole) => {
                    recorder.record_complete();
                    handle.complete(opened.digest());
                    yield Ok(Frame::data(done_event));
                    return;
                }
                Err(refusal) => {
                    recorder.record_torn(&refusal);
                    handle.fail(&refusal);
                    let event = format!("event: error\ndata: {}\n\n", fault::render(refusal));
                    yield Ok(Frame::data(event.into()));
                    return;
                }
            }
            next = opened.next().await;
        }
    }
}

fn whole_response(recorder: &AnswerRecorder, opened: &Opened, body: Body) -> Response<Body> {
    Response::builder()
        .status(opened.status)
        .header(header::CONTENT_TYPE, &opened.content_type)
        .header(REQUEST_ID, recorder.id.to_string())
        .body(body)
        .expect("the target's content type was valid")
}
