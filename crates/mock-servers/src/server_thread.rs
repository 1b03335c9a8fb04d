//! Servers on threads of their own. Stopping one drops all that its thread holds at once, sockets included, as the end of
//! a process would.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;

use async_channel::Sender;
use async_executor::LocalExecutor;
use hoptiller_http::Spawner;

/// A server that runs on a thread of its own until it is stopped or dropped.
pub struct ServerThread {
    /// Where the server listens.
    pub addr: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a thread of that name with an executor, on which `start` sets the server up.
    ///
    /// # Errors
    ///
    /// If the thread can't be started, `start` fails, or `start` panics.
    pub fn spawn<F>(name: &str, start: F) -> io::Result<ServerThread>
    where
        F: FnOnce(Spawner) -> io::Result<SocketAddr> + Send + 'static,
    {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (started_sender, started) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                let result = start(Spawner::new(&executor));
                let is_started = result.is_ok();
                let _ = started_sender.send(result);
                if is_started {
                    // The channel carries nothing: closing or dropping the sender is the order to stop.
                    let _ = async_io::block_on(executor.run(stopped.recv()));
                }
            })?;
        let addr = started
            .recv()
            .map_err(|_| io::Error::other(StartPanicked))??;
        Ok(ServerThread {
            addr,
            stop,
            thread: Some(thread),
        })
    }

    /// Stops the server at once, as a crash of its process would: sockets close, what ran is lost.
    pub fn crash(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The inner error of [`ServerThread::spawn`] where the server panicked as it was set up.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in did not start")]
struct StartPanicked;
