//! Tests of the trace analysis.

use super::*;

fn line(second: f64, event: &str) -> String {
    format!("0.1 2026-12-01T22:15:{second:09.6}Z DEBUG {TRACE_TARGET}: {event}")
}

fn send(second: f64, id: &str, engine: u32, round: u64, believed: u64) -> String {
    line(
        second,
        &format!("send id=\"{id}\" hop=0 engine={engine} round={round} believed={believed}"),
    )
}

fn ended(second: f64, id: &str, engine: u32, why: &str) -> String {
    line(
        second,
        &format!("ended id=\"{id}\" hop=0 engine={engine} why={why}"),
    )
}

fn parse(lines: &[String]) -> Trace {
    Trace::parse(lines.iter().map(String::as_str))
}

#[test]
fn only_mismatched_counts_are_reported() {
    let served = line(3.0, "served id=\"a\" hop=0 engine=1 work=Some(5)");
    // The first send of a round already reports both of its attempts as in flight.
    let mut lines = vec![
        send(1.0, "a", 1, 7, 2),
        send(1.0, "b", 1, 7, 2),
        send(1.0, "c", 2, 7, 1),
    ];
    lines.extend([served, send(4.0, "d", 1, 8, 2)]);
    let trace = parse(&lines);
    assert_eq!(
        (
            trace.comparisons,
            trace.mismatch_count,
            trace.unparsed_lines
        ),
        (3, 0, 0),
        "{:?}",
        trace.mismatches
    );
    assert_eq!(
        trace.engines[&1],
        EngineObservations {
            sent: 3,
            served: 1,
            max_in_flight: 2,
            ..EngineObservations::default()
        }
    );
    lines[4] = send(4.0, "d", 1, 8, 3);
    let trace = parse(&lines);
    assert_eq!(
        trace.mismatches,
        [Mismatch {
            line: 5,
            engine: 1,
            counted: 2,
            believed: 3
        }]
    );
}

#[test]
fn early_attempts_after_a_rejection_are_counted() {
    let lines = [
        send(1.0, "a", 1, 1, 1),
        ended(1.1, "a", 1, "the engine is full"),
        send(1.2, "a", 1, 2, 1),
        ended(1.3, "a", 1, "no connection: timed out"),
        send(2.4, "b", 1, 3, 1),
        ended(2.5, "b", 1, "no complete response before the deadline"),
        send(2.6, "c", 1, 4, 1),
    ];
    let observations = parse(&lines).engines[&1];
    let expected = EngineObservations {
        sent: 4,
        rejected: 1,
        unreached: 1,
        resent_early: 1,
        max_in_flight: 1,
        ..EngineObservations::default()
    };
    assert_eq!(
        observations, expected,
        "an attempt 1.1 s after the last failed connection is not early"
    );
}

#[test]
fn unparsable_lines_are_counted() {
    let lines = [
        "noise".to_owned(),
        line(1.0, "send id=\"a\" hop=0"),
        line(1.0, "served"),
        ended(1.0, "nobody", 4, "the engine is full"),
        line(1.0, "settled id=3"),
        send(1.0, "a", 1, 1, 1).replace("T22", "T9999999999999"),
    ];
    let trace = parse(&lines);
    assert_eq!(
        (trace.unparsed_lines, trace.comparisons, trace.engines.len()),
        (4, 0, 0)
    );
}
