//! A transport wrapper that makes a `tarpc` server cancel the calls of a closed connection.
//!
//! By default a `tarpc` server continues the calls of a connection after its client has closed it.
//! Calls that last as long as their client lives must be cancelled instead.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures::{Sink, Stream};

/// A transport that reports the end of its stream as an error, which makes the server cancel all
/// calls of the connection.
#[derive(Debug)]
pub struct Ending<T> {
    inner: T,
}

/// Wraps a transport.
pub fn open<T>(inner: T) -> Ending<T> {
    Ending { inner }
}

impl<T, I> Stream for Ending<T>
where
    T: Stream<Item = io::Result<I>> + Unpin,
{
    type Item = io::Result<I>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.inner).poll_next(context);
        polled.map(|item| item.or_else(|| Some(Err(io::ErrorKind::UnexpectedEof.into()))))
    }
}

impl<T, I> Sink<I> for Ending<T>
where
    T: Sink<I> + Unpin,
{
    type Error = T::Error;

    fn poll_ready(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        Pin::new(&mut self.inner).poll_ready(context)
    }

    fn start_send(mut self: Pin<&mut Self>, item: I) -> Result<(), Self::Error> {
        Pin::new(&mut self.inner).start_send(item)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
