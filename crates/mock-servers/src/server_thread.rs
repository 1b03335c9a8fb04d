//! Servers that run on threads of their own. Stopping one immediately drops everything its thread holds, including
//! sockets, as the end of a process would.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;

use async_channel::Sender;
use async_executor::LocalExecutor;
use hoptiller_http::Spawner;

/// A server that runs on a thread of its own until it is crashed or dropped.
pub struct ServerThread {
    /// The address on which the server listens.
    pub addr: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a thread of that name with an executor, on which `start` starts the server and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started, or `start` fails or panics.
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
                    // Nothing is ever sent: closing or dropping the sender stops the server.
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

    /// Stops the server immediately, as a crash of its process would: sockets are closed and running work is lost.
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

/// The inner error of [`ServerThread::spawn`] if `start` panicked.
#[derive(Debug, thiserror::Error)]
#[error("the server thread panicked while starting the server")]
struct StartPanicked;
