//! Owns stand-ins that run on threads of their own: a crash drops all that such a thread holds at once, sockets
//! included, as the end of a process would.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use hoptiller_http::Spawner;

/// A stand-in that runs.
pub struct Running {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Runs what `start` sets up, on a new thread, until told to stop.
    pub fn new<F>(name: &str, start: F) -> io::Result<Running>
    where
        F: FnOnce(Spawner) -> io::Result<SocketAddr> + Send + 'static,
    {
        let (stop, stopped): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        let (tell, told) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let ex = Rc::new(LocalExecutor::new());
                let started = start(Spawner::new(&ex));
                let good = started.is_ok();
                let _ = tell.send(started);
                if good {
                    // The receiver errs once its sender is dropped: that is the order to stop too.
                    let _ = async_io::block_on(ex.run(stopped.recv()));
                }
            })?;
        let addr = told
            .recv()
            .map_err(|_| io::Error::other("the stand-in did not start"))??;
        Ok(Running {
            addr,
            stop,
            thread: Some(thread),
        })
    }

    /// Ends it at once; sockets close, what ran is lost.
    pub fn crash(mut self) {
        self.halt();
    }

    fn halt(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.halt();
    }
}
