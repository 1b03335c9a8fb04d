//! Reads and writes with timeouts. Reads share one buffer per thread, so that waiting futures need none of their own.

use std::cell::RefCell;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, future};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::codec::Decoder;

/// Maximum number of bytes of one read.
const READ_BUFFER_BYTES: usize = 64 << 10;

thread_local! {
    /// The buffer of all reads of a thread, which is possible because it is used only within a poll.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// Reads once, at most `max_bytes`, and returns what `receive` makes of the bytes, of which there are none at the end of
/// the stream.
pub(crate) async fn read_with<S: AsyncRead + Unpin, T>(
    stream: &mut S,
    max_bytes: usize,
    mut receive: impl FnMut(&[u8]) -> T,
) -> io::Result<T> {
    future::poll_fn(|cx| {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let end = buffer.len().min(max_bytes);
            Pin::new(&mut *stream)
                .poll_read(cx, &mut buffer[..end])
                .map_ok(|count| receive(&buffer[..count]))
        })
    })
    .await
}

/// Reads once into the decoder, and returns the number of bytes, or 0 at the end of the stream.
pub(crate) async fn read_into<S: AsyncRead + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
) -> io::Result<usize> {
    read_with(stream, usize::MAX, |bytes| {
        decoder.feed(bytes);
        bytes.len()
    })
    .await
}

/// Reads once, discards the bytes, and returns their number, or 0 at the end of the stream.
pub(crate) async fn discard<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<usize> {
    read_with(stream, usize::MAX, <[u8]>::len).await
}

/// Returns whether the peer has closed the connection or its sending side, which is known before the bytes in front of
/// the close have been read.
pub(crate) fn is_closed_by_peer(socket: &impl AsFd) -> bool {
    let mut sockets = [PollFd::new(socket, PollFlags::RDHUP)];
    let count = poll(&mut sockets, Some(&Timespec::default()));
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    count.is_ok() && sockets[0].revents().intersects(closed)
}

/// Waits at most `limit` for a future, using a timer of its own, for client connections, which have no [`CoarseTimer`].
/// Returns an I/O error of kind `TimedOut` if the future takes longer.
pub(crate) async fn timeout<T, E: From<io::Error>>(
    limit: Duration,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    future::or(future, async {
        Timer::after(limit).await;
        Err(io::Error::from(io::ErrorKind::TimedOut).into())
    })
    .await
}
