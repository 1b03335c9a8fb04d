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
        std::thread::sleep(ARRIVAL_GRACE);
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
        connections.evict_one();
        assert!(poll_once(&mut close_idle).await.is_some());
        assert_eq!(
            connections.counts(),
            counts(2, 2),
            "one connection is closing and one is active"
        );
    });
}

/// Guards against a rejected client that keeps its place for as long as it sends, so that nobody else is accepted.
#[test]
fn connections_that_have_sent_their_last_response_are_closed_before_idle_ones() {
    block_on(async {
        let connections = Rc::new(ServerConnections::new(3));
        let (unused, first, second) = (
            connections.register(),
            connections.register(),
            connections.register(),
        );
        first.mark_active();
        second.mark_active();
        let mut close_unused = unused.mark_idle();
        let (mut close_first, mut close_second) = (first.mark_closing(), second.mark_closing());
        assert_eq!(
            connections.counts(),
            ConnectionCounts {
                open: 3,
                active: 2,
                closing: 2
            }
        );
        let mut capacity = Box::pin(connections.wait_for_capacity());
        assert!(
            poll_once(&mut capacity).await.is_none(),
            "the maximum is reached"
        );
        assert!(poll_once(&mut close_first).await.is_some());
        assert!(
            poll_once(&mut close_second).await.is_none(),
            "one is enough"
        );
        drop(first);
        assert!(poll_once(&mut capacity).await.is_some());
        connections.evict_one();
        assert!(poll_once(&mut close_second).await.is_some());
        assert!(poll_once(&mut close_unused).await.is_none());
        std::thread::sleep(ARRIVAL_GRACE);
        connections.evict_one();
        assert!(poll_once(&mut close_unused).await.is_some());
    });
}

/// Guards against a client that has just connected and is closed before it could send its request.
#[test]
fn a_connection_is_closed_after_others_while_its_client_could_not_send_a_request_yet() {
    block_on(async {
        let connections = Rc::new(ServerConnections::new(3));
        let (unused, idle, receiving) = (
            connections.register(),
            connections.register(),
            connections.register(),
        );
        idle.mark_active();
        receiving.mark_active();
        let mut close_receiving = receiving.mark_receiving();
        let mut close_idle = idle.mark_idle();
        std::thread::sleep(ARRIVAL_GRACE);
        let mut close_unused = unused.mark_idle();
        connections.evict_one();
        assert!(poll_once(&mut close_idle).await.is_some());
        connections.evict_one();
        assert!(poll_once(&mut close_receiving).await.is_some());
        assert!(poll_once(&mut close_unused).await.is_none());
        // There is no other one left, and a request that has just begun comes last.
        let mut close_receiving = receiving.mark_receiving();
        connections.evict_one();
        assert!(poll_once(&mut close_unused).await.is_some());
        assert!(poll_once(&mut close_receiving).await.is_none());
        connections.evict_one();
        assert!(poll_once(&mut close_receiving).await.is_some());
    });
}

/// Guards against closing a connection whose request is complete.
#[test]
fn a_connection_with_a_complete_request_is_never_closed_to_make_room() {
    block_on(async {
        let connections = Rc::new(ServerConnections::new(1));
        let connection = connections.register();
        connection.mark_active();
        let mut close_receiving = connection.mark_receiving();
        connection.mark_active();
        std::thread::sleep(ARRIVAL_GRACE);
        connections.evict_one();
        assert!(poll_once(&mut close_receiving).await.is_none());
        assert_eq!(connections.counts(), counts(1, 1));
    });
}
