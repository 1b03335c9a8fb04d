use super::*;
use async_executor::LocalExecutor;

#[test]
fn waits_are_never_short_and_dropped_ones_are_forgotten() {
    let ex = Rc::new(LocalExecutor::new());
    let ticks = Ticks::new(&Spawner::of(&ex));
    async_io::block_on(ex.run(async {
        let began = Instant::now();
        for ms in [30, 1, 15] {
            let from = Instant::now();
            ticks.sleep(Duration::from_millis(ms)).await;
            assert!(from.elapsed() >= Duration::from_millis(ms));
        }
        assert!(began.elapsed() < Duration::from_secs(5));
        let long = ticks
            .within(Duration::from_secs(100), async { Ok(7) })
            .await;
        assert_eq!(long.expect("in time"), 7);
        let never = future::pending::<io::Result<()>>();
        let late = ticks.within(Duration::from_millis(5), never).await;
        assert_eq!(late.expect_err("late").kind(), io::ErrorKind::TimedOut);
        assert!(ticks.inner.borrow().line.is_empty());
    }));
}
