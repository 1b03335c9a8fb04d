//! A call to the coordinator: a connection on which the events after a given one are requested, and the set of open
//! calls.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::task::Poll;
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_platform_protocol::FrameDecoder;
use hoptiller_platform_protocol::frame_decoder::{Frame, FrameError};

use crate::watch_schedule::{CallId, WatchSchedule};

const READ_BUFFER_BYTES: usize = 8 << 10;

/// The reason why a call has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// The progress of a call.
#[derive(Debug)]
pub(crate) enum CallProgress {
    /// The call is connected, and the events are requested.
    Subscribed,
    /// A complete frame has arrived.
    Frame(Frame),
}

/// The connection of a subscribed call.
struct Subscription {
    stream: Async<TcpStream>,
    decoder: FrameDecoder,
    buffer: Vec<u8>,
}

type CallStep = Result<(Subscription, CallProgress), CallError>;

impl Subscription {
    async fn open(addr: SocketAddr, last_event: u64) -> CallStep {
        let mut stream = Async::<TcpStream>::connect(addr).await?;
        // A failure is ignored: the connection works without this option, only slower.
        let _ = stream.get_ref().set_nodelay(true);
        stream.write_all(&last_event.to_be_bytes()).await?;
        let subscription = Subscription {
            stream,
            decoder: FrameDecoder::new(last_event),
            buffer: vec![0; READ_BUFFER_BYTES],
        };
        Ok((subscription, CallProgress::Subscribed))
    }

    async fn next_frame(mut self) -> CallStep {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok((self, CallProgress::Frame(frame)));
            }
            let count = self.stream.read(&mut self.buffer).await?;
            if count == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            self.decoder.feed(&self.buffer[..count]);
        }
    }
}

/// A call that has not failed.
struct Call {
    id: CallId,
    opened_at: Instant,
    frames: u64,
    next_step: future::BoxedLocal<CallStep>,
}

/// A call that has failed, with what it received before.
#[derive(Debug)]
pub(crate) struct FailedCall {
    pub(crate) id: CallId,
    pub(crate) error: CallError,
    pub(crate) frames: u64,
    pub(crate) opened_at: Instant,
}

/// The open calls. Dropping one closes its connection.
#[derive(Default)]
pub(crate) struct OpenCalls(Vec<Call>);

impl OpenCalls {
    /// Makes a call that requests the events after `last_event`.
    pub(crate) fn open(&mut self, id: CallId, addr: SocketAddr, last_event: u64) {
        self.0.push(Call {
            id,
            opened_at: Instant::now(),
            frames: 0,
            next_step: Box::pin(Subscription::open(addr, last_event)),
        });
    }

    /// Closes the calls that the schedule does not keep.
    pub(crate) fn close_unscheduled(&mut self, schedule: &WatchSchedule) {
        self.0.retain(|call| schedule.is_open(call.id));
    }

    /// Waits for the progress of any call. A call that fails is removed.
    pub(crate) fn next_progress(
        &mut self,
    ) -> impl Future<Output = Result<(CallId, CallProgress), FailedCall>> {
        future::poll_fn(|cx| {
            for index in 0..self.0.len() {
                let call = &mut self.0[index];
                let Poll::Ready(step) = call.next_step.as_mut().poll(cx) else {
                    continue;
                };
                return Poll::Ready(match step {
                    Ok((subscription, progress)) => {
                        call.frames += u64::from(matches!(progress, CallProgress::Frame(_)));
                        call.next_step = Box::pin(subscription.next_frame());
                        Ok((call.id, progress))
                    }
                    Err(error) => Err(self.remove(index, error)),
                });
            }
            Poll::Pending
        })
    }

    fn remove(&mut self, index: usize, error: CallError) -> FailedCall {
        let Call {
            id,
            opened_at,
            frames,
            ..
        } = self.0.remove(index);
        FailedCall {
            id,
            error,
            frames,
            opened_at,
        }
    }
}
