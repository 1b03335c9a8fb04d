use super::*;

fn wait_graph(waits: &[(&str, &str)]) -> WaitGraph {
    let mut graph = WaitGraph::default();
    for (waiter, blocker) in waits {
        graph.add_wait(waiter, blocker);
    }
    graph
}

#[test]
fn indirect_waiters_are_included() {
    let graph = wait_graph(&[("b", "a"), ("c", "b"), ("d", "b"), ("x", "y")]);
    assert_eq!(graph.waiters_of("a").len(), 3);
    assert_eq!(graph.waiters_of("c"), Vec::<&str>::new());
    assert!(graph.is_waiting("b") && !graph.is_waiting("a") && graph.cycle("b").is_none());
}

#[test]
fn cycles_are_found_from_their_members_only() {
    let graph = wait_graph(&[("a", "b"), ("b", "c"), ("c", "a"), ("d", "a"), ("e", "e")]);
    assert_eq!(graph.cycle("a"), Some(vec!["a", "b", "c"]));
    assert_eq!(graph.cycle("d"), None, "it only waits for the cycle");
    assert_eq!(graph.cycle("e"), None);
    let mut waiters = graph.waiters_of("a");
    waiters.sort_unstable();
    assert_eq!(waiters, ["b", "c", "d"]);
}
