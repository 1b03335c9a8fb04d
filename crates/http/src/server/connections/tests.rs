use super::*;
use futures_lite::future::{block_on, poll_once};

fn counts(open: usize, active: usize) -> ConnectionCounts {
    ConnectionCounts { open, active }
}

#[test]
fn room_is_made_by_unused_connections_first_and_never_by_active_ones() {
    block_on(async {
        let connections = Rc::new(ServerConnections::new(3));
        let (active, idle, unused) = (
            connections.admit(),
            connections.admit(),
            connections.admit(),
        );
        active.set_active();
        idle.set_active();
        let (mut close_idle, mut close_unused) = (idle.set_idle(), unused.set_idle());
        assert_eq!(connections.counts(), counts(3, 1));
        let mut ready = Box::pin(connections.ready());
        assert!(
            poll_once(&mut ready).await.is_none(),
            "the bound is reached"
        );
        assert!(poll_once(&mut close_unused).await.is_some());
        assert!(poll_once(&mut close_idle).await.is_none());
        drop(unused);
        assert!(poll_once(&mut ready).await.is_some(), "one has closed");
        connections.close_one_idle();
        assert!(poll_once(&mut close_idle).await.is_some());
        assert_eq!(
            connections.counts(),
            counts(2, 2),
            "one is closing, and one is active"
        );
    });
}
