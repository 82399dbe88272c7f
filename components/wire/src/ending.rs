//! A connection that ends when its other side closes it.
//!
//! A `tarpc` server lets the calls of a connection that its client closed go on. Calls that wait for as
//! long as their client lives have to end with it.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures::{Sink, Stream};

/// A transport whose end is an error, upon which the server ends all its calls.
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
