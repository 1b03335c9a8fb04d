//! Owns reading and writing with time limits, without a buffer in every waiting future.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};

use crate::codec::Decoder;
use crate::ticks::Ticks;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; 64 << 10]);
}

/// Reads once into the decoder: the number of bytes, 0 at the end of the stream.
pub(crate) async fn read_into<S: AsyncRead + Unpin>(
    s: &mut S,
    decoder: &mut Decoder,
) -> io::Result<usize> {
    future::poll_fn(|cx| {
        SCRATCH.with_borrow_mut(|scratch| {
            Pin::new(&mut *s).poll_read(cx, scratch).map_ok(|n| {
                decoder.feed(&scratch[..n]);
                n
            })
        })
    })
    .await
}

/// Reads once, and keeps nothing: the number of bytes, 0 at the end of the stream.
pub(crate) async fn discard<S: AsyncRead + Unpin>(s: &mut S) -> io::Result<usize> {
    future::poll_fn(|cx| {
        SCRATCH.with_borrow_mut(|scratch| Pin::new(&mut *s).poll_read(cx, scratch))
    })
    .await
}

/// The outcome of a future, or a time-out error.
pub(crate) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(work, async {
        Timer::after(limit).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    })
    .await
}

/// Writes all; the limit is for each write that makes no progress, so that a slow reader is borne and one that
/// stands still is not.
pub(crate) async fn write_all<S: AsyncWrite + Unpin>(
    s: &mut S,
    mut bytes: &[u8],
    limit: Duration,
    ticks: &Ticks,
) -> io::Result<()> {
    while !bytes.is_empty() {
        let n = ticks.within(limit, s.write(bytes)).await?;
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[n..];
    }
    s.flush().await
}
