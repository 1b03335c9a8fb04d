use super::*;

fn line(second: f64, said: &str) -> String {
    format!("0.1 2026-12-01T22:15:{second:09.6}Z DEBUG {TRACE_TARGET}: {said}")
}

fn send(second: f64, id: &str, engine: u32, round: u64, believed: u64) -> String {
    line(
        second,
        &format!("send id=\"{id}\" hop=0 engine={engine} round={round} believed={believed}"),
    )
}

fn end(second: f64, id: &str, engine: u32, why: &str) -> String {
    line(
        second,
        &format!("ended id=\"{id}\" hop=0 engine={engine} why={why}"),
    )
}

fn read(lines: &[String]) -> Trace {
    Trace::read(lines.iter().map(String::as_str))
}

#[test]
fn a_belief_that_holds_is_not_reported_and_one_that_does_not_is_named() {
    let served = line(3.0, "served id=\"a\" hop=0 engine=1 work=Some(5)");
    // Two sends of one round are both believed out at the first of them.
    let mut lines = vec![
        send(1.0, "a", 1, 7, 2),
        send(1.0, "b", 1, 7, 2),
        send(1.0, "c", 2, 7, 1),
    ];
    lines.extend([served, send(4.0, "d", 1, 8, 2)]);
    let trace = read(&lines);
    assert_eq!(
        (trace.compared, trace.wrong_in_all, trace.unread),
        (3, 0, 0),
        "{:?}",
        trace.wrong
    );
    assert_eq!(
        trace.engines[&1],
        Seen {
            sent: 3,
            served: 1,
            most_out: 2,
            ..Seen::default()
        }
    );
    lines[4] = send(4.0, "d", 1, 8, 3);
    let trace = read(&lines);
    assert_eq!(
        trace.wrong,
        [Wrong {
            line: 5,
            engine: 1,
            counted: 2,
            believed: 3
        }]
    );
}

#[test]
fn an_engine_that_turned_it_away_and_is_asked_at_once_is_counted() {
    let lines = [
        send(1.0, "a", 1, 1, 1),
        end(1.1, "a", 1, "the engine is full"),
        send(1.2, "a", 1, 2, 1),
        end(1.3, "a", 1, "no connection: timed out"),
        send(2.4, "b", 1, 3, 1),
        end(2.5, "b", 1, "no answer in time"),
        send(2.6, "c", 1, 4, 1),
    ];
    let seen = read(&lines).engines[&1];
    let want = Seen {
        sent: 4,
        full: 1,
        unreached: 1,
        again: 1,
        most_out: 1,
        ..Seen::default()
    };
    assert_eq!(
        seen, want,
        "1.1 s after the last one it turned away is no longer at once"
    );
}

#[test]
fn what_cannot_be_read_is_counted_and_does_no_harm() {
    let lines = [
        "noise".to_owned(),
        line(1.0, "send id=\"a\" hop=0"),
        line(1.0, "served"),
        end(1.0, "nobody", 4, "the engine is full"),
        line(1.0, "settled id=3"),
        send(1.0, "a", 1, 1, 1).replace("T22", "T9999999999999"),
    ];
    let trace = read(&lines);
    assert_eq!(
        (trace.unread, trace.compared, trace.engines.len()),
        (4, 0, 0)
    );
}
