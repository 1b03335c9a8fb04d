//! Owns a closed loop of requests on many connections: how many a second, and how long each took.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Request, Response};

/// Requests answered, and their times in µs.
pub struct Answered {
    pub answered: u64,
    pub failed: u64,
    pub times: Histogram<u64>,
}

/// Runs `connections` loops on `threads` threads for `time`; each asks what `first` says, and then what `next`
/// makes of the answer.
pub fn closed(
    addr: SocketAddr,
    threads: usize,
    connections: usize,
    time: Duration,
    first: impl Fn(usize) -> Request + Clone + Send + 'static,
    next: fn(&Request, &Response) -> Request,
) -> Answered {
    let handles: Vec<_> = (0..threads)
        .map(|t| {
            let first = first.clone();
            std::thread::spawn(move || {
                let ex = LocalExecutor::new();
                let answered = Rc::new(Cell::new((0u64, 0u64)));
                let times = Rc::new(RefCell::new(Histogram::<u64>::new(3).expect("a histogram")));
                let until = Instant::now() + time;
                let tasks: Vec<_> = (t..connections)
                    .step_by(threads)
                    .map(|n| {
                        let (answered, times, mut request) =
                            (answered.clone(), times.clone(), first(n));
                        ex.spawn(async move {
                            let limit = Duration::from_secs(10);
                            let Ok(mut c) = Connection::open(addr, limit, Limits::default()).await
                            else {
                                return;
                            };
                            while Instant::now() < until {
                                let began = Instant::now();
                                let got = c.exchange(&request, limit).await;
                                // Read behind the wait: others count too meanwhile.
                                let (good, bad) = answered.get();
                                match got {
                                    Ok(answer) if answer.status.0 == 200 => {
                                        answered.set((good + 1, bad));
                                        let _ = times
                                            .borrow_mut()
                                            .record(began.elapsed().as_micros() as u64);
                                        request = next(&request, &answer);
                                    }
                                    _ => {
                                        answered.set((good, bad + 1));
                                        return;
                                    }
                                }
                            }
                        })
                    })
                    .collect();
                async_io::block_on(ex.run(async {
                    for task in tasks {
                        task.await;
                    }
                }));
                let times = times.borrow().clone();
                (answered.get(), times)
            })
        })
        .collect();
    let mut all = Answered {
        answered: 0,
        failed: 0,
        times: Histogram::new(3).expect("a histogram"),
    };
    for handle in handles {
        let Ok(((good, bad), times)) = handle.join() else {
            continue;
        };
        all.answered += good;
        all.failed += bad;
        let _ = all.times.add(times);
    }
    all
}
