//! The gate without sockets.

use super::*;
use futures_lite::future::{block_on, poll_once};

#[test]
fn room_is_made_first_by_those_that_never_sent_a_request_and_never_by_one_at_work() {
    block_on(async {
        let gate = Rc::new(Gate::new(3));
        let (working, idle, fresh) = (gate.enter(), gate.enter(), gate.enter());
        working.work();
        idle.work();
        let (mut idle_told, mut fresh_told) = (idle.rest(), fresh.rest());
        assert_eq!(gate.counts(), (3, 1));
        let mut room = Box::pin(gate.room());
        assert!(poll_once(&mut room).await.is_none(), "all places are taken");
        assert!(
            poll_once(&mut fresh_told).await.is_some() && poll_once(&mut idle_told).await.is_none()
        );
        drop(fresh);
        assert!(poll_once(&mut room).await.is_some(), "its place is free");
        gate.make_room();
        assert!(poll_once(&mut idle_told).await.is_some());
        assert_eq!(gate.counts(), (2, 2), "one ends, and one is at work");
    });
}
