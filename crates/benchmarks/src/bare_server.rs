//! A bare hyper server on one thread, the baseline of the poll benchmark.

use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

use crate::error::BenchmarkError;

/// Arguments of the hidden command.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Bytes of the body
    bytes: usize,
}

/// Responds to each request with a body of the given size, until the process is killed.
pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    println!("ready http://{}", listener.get_ref().local_addr()?);
    let executor = Rc::new(LocalExecutor::new());
    let body = Bytes::from(vec![b'x'; args.bytes]);
    async_io::block_on(executor.run(async {
        loop {
            let (stream, _) = listener.accept().await?;
            stream.get_ref().set_nodelay(true)?;
            let body = body.clone();
            let connection = async move {
                let service = service_fn(move |_| {
                    let response = hyper::Response::builder()
                        .header("Content-Type", "application/json")
                        .body(Full::new(body.clone()));
                    async { response }
                });
                let _ = http1::Builder::new()
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
            };
            executor.spawn(connection).detach();
        }
    }))
}
