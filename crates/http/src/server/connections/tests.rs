use super::*;
use futures_lite::future::{block_on, poll_once};

fn counts(open: usize, active: usize) -> ConnectionCounts {
    ConnectionCounts {
        open,
        active,
        closing: 0,
    }
}

#[test]
fn unused_connections_are_closed_first_and_active_ones_never() {
    block_on(async {
        let connections = Rc::new(ServerConnections::new(3));
        let (active, idle, unused) = (
            connections.register(),
            connections.register(),
            connections.register(),
        );
        active.mark_active();
        idle.mark_active();
        let (mut close_idle, mut close_unused) = (idle.mark_idle(), unused.mark_idle());
        assert_eq!(connections.counts(), counts(3, 1));
        let mut capacity = Box::pin(connections.wait_for_capacity());
        assert!(
            poll_once(&mut capacity).await.is_none(),
            "the maximum is reached"
        );
        assert!(poll_once(&mut close_unused).await.is_some());
        assert!(poll_once(&mut close_idle).await.is_none());
        drop(unused);
        assert!(
            poll_once(&mut capacity).await.is_some(),
            "one connection has closed"
        );
        connections.close_one_idle();
        assert!(poll_once(&mut close_idle).await.is_some());
        assert_eq!(
            connections.counts(),
            counts(2, 2),
            "one connection is closing and one is active"
        );
    });
}
