//! Writes responses. What a client does not take at once counts against the memory budget for responses; when the budget
//! is exhausted, the connection whose client has taken nothing for the longest time is closed.

use std::io::{self, Write};
use std::net::TcpStream;

use async_io::Async;
use futures_lite::{AsyncWriteExt, future};

use super::Context;
use super::connections::ConnectionRegistration;
use super::memory_budget::MemoryReservation;

/// Writes a response. The write timeout applies to each write separately, so that a client that reads slowly is served,
/// and one that has stopped reading is not.
pub(super) async fn write(
    stream: &mut Async<TcpStream>,
    mut response: Vec<u8>,
    context: &Context,
    registration: &ConnectionRegistration,
) -> io::Result<()> {
    let count = match stream.get_ref().write(&response) {
        Ok(count) => count,
        Err(error) if is_transient(&error) => 0,
        Err(error) => return Err(error),
    };
    if count == response.len() {
        return Ok(());
    }
    response.drain(..count);
    response.shrink_to_fit();
    let _memory = reserve(response.len(), context, registration).await?;
    write_rest(stream, &response, context, registration).await
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Reserves memory for the rest of a response. Other connections are closed to make room, so this takes no longer than
/// they need to close. A response is accepted whatever its size while no other is reserved.
async fn reserve(
    bytes: usize,
    context: &Context,
    registration: &ConnectionRegistration,
) -> io::Result<MemoryReservation> {
    let budget = &context.response_memory;
    let reservation = budget.reservation();
    let reserve = async {
        loop {
            let released = budget.listen();
            if reservation.try_resize_or_be_sole(bytes as u64) {
                return Ok::<_, io::Error>(());
            }
            tracing::debug!(
                bytes,
                "response memory exhausted, a stalled connection is closed"
            );
            registration.evict_stalled_writer();
            released.await;
        }
    };
    let limit = context.config.write_timeout;
    context.timer.timeout(limit, reserve).await?;
    Ok(reservation)
}

async fn write_rest(
    stream: &mut Async<TcpStream>,
    mut rest: &[u8],
    context: &Context,
    registration: &ConnectionRegistration,
) -> io::Result<()> {
    while !rest.is_empty() {
        let evicted = registration.mark_writing();
        let evicted = async {
            evicted.await;
            Err(io::Error::from(io::ErrorKind::ConnectionAborted))
        };
        let write = future::or(stream.write(rest), evicted);
        let limit = context.config.write_timeout;
        let count = context.timer.timeout(limit, write).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        rest = &rest[count..];
        // A client that reads without pause must not block the other tasks of the thread.
        future::yield_now().await;
    }
    registration.mark_active();
    Ok(())
}
