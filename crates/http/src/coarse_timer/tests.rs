use super::*;
use async_executor::LocalExecutor;

#[test]
fn sleeps_last_at_least_their_duration_and_are_removed_when_dropped() {
    let executor = Rc::new(LocalExecutor::new());
    let timer = CoarseTimer::new(&Spawner::new(&executor));
    async_io::block_on(executor.run(async {
        let start = Instant::now();
        for milliseconds in [30, 1, 15] {
            let duration = Duration::from_millis(milliseconds);
            let sleep_start = Instant::now();
            timer.sleep(duration).await;
            assert!(sleep_start.elapsed() >= duration);
        }
        assert!(start.elapsed() < Duration::from_secs(5));
        let ready = async { Ok::<_, io::Error>(7) };
        let in_time = timer.timeout(Duration::from_secs(100), ready).await;
        assert_eq!(in_time.expect("in time"), 7);
        let never = future::pending::<io::Result<()>>();
        let late = timer.timeout(Duration::from_millis(5), never).await;
        assert_eq!(late.expect_err("late").kind(), io::ErrorKind::TimedOut);
        assert!(timer.state.borrow().pending.is_empty());
    }));
}
