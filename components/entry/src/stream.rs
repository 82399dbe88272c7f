//! Answers callers: whole, or streamed as they come.

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
    control::Ticket,
    fault::{self, REQUEST_ID},
    relay::Opened,
};

/// For whom an answer counts.
pub struct Account {
    /// The request.
    pub id: RequestId,
    /// Its client account and tier.
    pub owner: Owner,
    /// When it arrived.
    pub arrived: Instant,
    /// Where it is counted.
    pub metrics: Arc<metrics::Entry>,
}

impl Account {
    /// Counts the first piece of the answer.
    fn first_byte(&self) {
        self.metrics.record_first_byte(&self.owner.tier, self.arrived.elapsed());
    }

    fn whole(&self) {
        let took = self.arrived.elapsed();
        self.metrics.record_answer(&self.owner.tier, &self.owner.account, took);
        info!(request = %self.id, millis = took.as_millis(), "whole");
    }

    fn torn(&self, refusal: &Refusal) {
        self.metrics.count_torn_answer(&self.owner.tier);
        warn!(request = %self.id, reason = ?refusal.reason, message = refusal.message, "torn");
    }
}

/// Collects the whole answer before the caller gets any of it.
pub async fn whole(ticket: Ticket, account: Account, mut opened: Opened) -> Response<Body> {
    let mut body = BytesMut::new();
    loop {
        match opened.next().await {
            Ok(Piece::Head { .. }) => {}
            Ok(Piece::Chunk(bytes)) => body.extend_from_slice(&bytes),
            Ok(Piece::Whole) => break,
            Err(refusal) => {
                account.torn(&refusal);
                ticket.torn(&refusal);
                return fault::answer(account.id, refusal);
            }
        }
    }
    account.first_byte();
    account.whole();
    ticket.whole(opened.digest());
    drop(ticket);
    respond(&account, &opened, Body::with_content(body.freeze()))
}

/// Passes the answer on as it comes; a torn one ends in an `error` event and never in `[DONE]`.
///
/// The head waits for the first piece, so that both leave in one segment: a second small one
/// would wait 40 ms for the first one's acknowledgement (docs/design/0005-nodelay.md).
pub async fn streamed(ticket: Ticket, account: Account, mut opened: Opened) -> Response<Body> {
    let first = match opened.next().await {
        Ok(first) => first,
        Err(refusal) => {
            account.torn(&refusal);
            ticket.torn(&refusal);
            return fault::answer(account.id, refusal);
        }
    };
    account.first_byte();
    let id = account.id;
    let status = opened.status;
    let content_type = opened.content_type.clone();
    let events = relay_events(ticket, account, opened, first);
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .header(header::CACHE_CONTROL, "no-store")
        .header(REQUEST_ID, id.to_string())
        .body(Body::wrap(StreamBody::new(events)))
        .expect("the target's content type was valid")
}

fn relay_events(
    ticket: Ticket,
    account: Account,
    mut opened: Opened,
    first: Piece,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    async_stream::stream! {
        // The event that says `whole` is held back until the answer is known to be whole.
        let mut held = Bytes::new();
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Piece::Head { .. }) => {}
                Ok(Piece::Chunk(bytes)) => {
                    if !held.is_empty() {
                        yield Ok(Frame::data(std::mem::take(&mut held)));
                    }
                    match events::is_done(&bytes) {
                        true => held = bytes,
                        false => yield Ok(Frame::data(bytes)),
                    }
                }
                Ok(Piece::Whole) => {
                    account.whole();
                    ticket.whole(opened.digest());
                    yield Ok(Frame::data(held));
                    return;
                }
                Err(refusal) => {
                    account.torn(&refusal);
                    ticket.torn(&refusal);
                    let event = format!("event: error\ndata: {}\n\n", fault::render(refusal));
                    yield Ok(Frame::data(event.into()));
                    return;
                }
            }
            next = opened.next().await;
        }
    }
}

fn respond(account: &Account, opened: &Opened, body: Body) -> Response<Body> {
    Response::builder()
        .status(opened.status)
        .header(header::CONTENT_TYPE, &opened.content_type)
        .header(REQUEST_ID, account.id.to_string())
        .body(body)
        .expect("the target's content type was valid")
}
