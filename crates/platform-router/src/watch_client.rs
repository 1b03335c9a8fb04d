//! A client that watches the coordinator's endpoint list. It requests the updates after the last one received, and calls
//! again after any error and when the coordinator is silent. While it is unreachable, the list stays unchanged.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use hoptiller_platform_protocol::EndpointListUpdate;
use hoptiller_platform_protocol::frame_decoder::Frame;

use crate::watch_call::{CallProgress, FailedCall, OpenCalls};
use crate::watch_schedule::WatchSchedule;

/// Watches the coordinator's endpoint list.
pub(crate) struct WatchClient {
    addr: Cell<SocketAddr>,
    last_event: Cell<u64>,
    addr_changed: Event,
}

impl WatchClient {
    /// Creates a client for the coordinator at an address that watches the events after `last_event`.
    pub(crate) fn new(addr: SocketAddr, last_event: u64) -> WatchClient {
        WatchClient {
            addr: Cell::new(addr),
            last_event: Cell::new(last_event),
            addr_changed: Event::new(),
        }
    }

    /// Reconnects if the address differs from the current one.
    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.addr_changed.notify(usize::MAX);
        }
    }

    /// Returns the number of the last event received.
    pub(crate) fn last_event(&self) -> u64 {
        self.last_event.get()
    }

    /// Watches forever, calling `on_update` once for each update, in order.
    pub(crate) async fn run(&self, on_update: impl Fn(EndpointListUpdate)) {
        loop {
            let addr_changed = self.addr_changed.listen();
            let addr = self.addr.get();
            future::or(self.watch(addr, &on_update), addr_changed).await;
            tracing::debug!(%addr, "the coordinator's address has changed");
        }
    }

    /// Watches the coordinator at an address forever.
    async fn watch(&self, addr: SocketAddr, on_update: &impl Fn(EndpointListUpdate)) {
        let mut schedule = WatchSchedule::new(Instant::now());
        let mut calls = OpenCalls::default();
        loop {
            let call_due = async {
                Timer::at(schedule.next_call_at()).await;
                None
            };
            let progress = async { Some(calls.next_progress().await) };
            let progress = future::or(progress, call_due).await;
            let now = Instant::now();
            match progress {
                None => {
                    tracing::debug!(%addr, open_calls = schedule.open_calls(), "calling the coordinator");
                    let id = schedule.begin_call(now);
                    calls.open(id, addr, self.last_event.get());
                }
                Some(Ok((id, CallProgress::Subscribed))) => schedule.subscribed(id, now),
                Some(Ok((id, CallProgress::Frame(frame)))) => {
                    schedule.frame_received(id, now);
                    self.apply(frame, on_update);
                }
                Some(Err(failed)) => {
                    self.log_failure(addr, &failed);
                    schedule.call_failed(failed.id, now);
                }
            }
            calls.close_unscheduled(&schedule);
            // A coordinator that sends without pause must not block the other tasks of the thread.
            future::yield_now().await;
        }
    }

    fn apply(&self, frame: Frame, on_update: &impl Fn(EndpointListUpdate)) {
        if let Frame::Update(update) = frame {
            self.last_event.set(update.number);
            on_update(update);
        }
    }

    fn log_failure(&self, addr: SocketAddr, failed: &FailedCall) {
        tracing::debug!(
            %addr,
            last_event = self.last_event.get(),
            frames = failed.frames,
            age_ms = failed.opened_at.elapsed().as_millis(),
            error = %failed.error,
            "coordinator disconnected"
        );
    }
}
