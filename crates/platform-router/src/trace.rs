//! Analysis of a router's trace (`HOPTILLER_LOG=hoptiller_platform_router=debug`): the attempts in flight at each
//! engine, counted from the events, are compared with the policy's counts, and attempts sent to an engine soon after it
//! rejected one or was not reached are counted. The input is plain text.
//!
//! The events `send`, `served` and `ended` are logged where the core's commands are executed.

use std::collections::{BTreeMap, HashSet};

/// The log target of the events that a trace is made of.
pub const TRACE_TARGET: &str = "hoptiller_platform_router::trace";
/// The target of the same events in traces of releases from before the package was renamed.
const FORMER_TRACE_TARGET: &str = "hoptiller_node::node";

/// An attempt counts as early if it is sent within this time after the engine rejected one or was not reached.
const EARLY_RESEND_MICROS: u64 = 1_000_000;
/// Maximum number of mismatches that are kept. Further ones are only counted.
const MAX_MISMATCHES: usize = 100;
/// The prefix of an `ended` event's reason if the engine rejected the attempt.
const REJECTED_REASON: &str = "the engine is full";
/// The prefix of an `ended` event's reason if no connection was established.
const UNREACHED_REASON: &str = "no connection";

/// Counts of the attempts at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineObservations {
    /// The number of attempts sent.
    pub sent: u64,
    /// The number of attempts served.
    pub served: u64,
    /// The number of attempts that the engine rejected for lack of capacity.
    pub rejected: u64,
    /// The number of attempts for which no connection was established.
    pub unreached: u64,
    /// The number of attempts sent within a second after the engine rejected one or was not reached.
    pub resent_early: u64,
    /// The maximum number of attempts in flight at once.
    pub max_in_flight: u64,
}

/// A difference between the attempts in flight according to the trace and to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// The line number in the trace, starting at 1.
    pub line: usize,
    /// The engine's id.
    pub engine: u32,
    /// The attempts in flight, counted from the trace.
    pub counted: u64,
    /// The attempts in flight according to the policy.
    pub believed: u64,
}

/// The result of the analysis of a router's trace.
#[derive(Debug, Default)]
pub struct Trace {
    /// The observations, by engine.
    pub engines: BTreeMap<u32, EngineObservations>,
    /// The first mismatches, up to a limit.
    pub mismatches: Vec<Mismatch>,
    /// The number of all mismatches.
    pub mismatch_count: usize,
    /// The number of comparisons made.
    pub comparisons: usize,
    /// The number of event lines that can't be parsed or that end an attempt that was not sent.
    pub unparsed_lines: usize,
    in_flight: BTreeMap<u32, HashSet<AttemptId>>,
    /// By engine, the time of day in µs at which it last rejected an attempt or was not reached.
    last_failures: BTreeMap<u32, u64>,
    round: Option<Round>,
}

/// The identity of an attempt.
#[derive(Debug, PartialEq, Eq, Hash)]
struct AttemptId {
    request: String,
    number: u32,
}

/// The attempts sent in one round, that is, one batch of the core's event loop. The policy counts all of them as in
/// flight before the first is logged.
#[derive(Debug)]
struct Round {
    number: u64,
    /// The last `send` event, by engine.
    sends: BTreeMap<u32, SendEvent>,
}

#[derive(Debug)]
struct SendEvent {
    line: usize,
    believed: u64,
}

impl Trace {
    /// Analyses a complete trace.
    pub fn parse<'a>(lines: impl IntoIterator<Item = &'a str>) -> Trace {
        let mut trace = Trace::default();
        for (index, line) in lines.into_iter().enumerate() {
            let Some((head, event)) = split_event(line) else {
                continue;
            };
            let (name, fields) = event.split_once(' ').unwrap_or((event, ""));
            let parsed = match name {
                "send" => trace.record_send(index + 1, time_of_day(head), fields),
                "served" | "ended" => trace.record_end(time_of_day(head), fields),
                _ => Some(()),
            };
            trace.unparsed_lines += usize::from(parsed.is_none());
        }
        trace.compare_round();
        trace
    }

    fn record_send(&mut self, line: usize, at: Option<u64>, fields: &str) -> Option<()> {
        let attempt = attempt_id(fields)?;
        let engine = number(fields, "engine")? as u32;
        let round_number = number(fields, "round")?;
        let believed = number(fields, "believed")?;
        let at = at?;
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.number != round_number)
        {
            self.compare_round();
        }
        let round = self.round.get_or_insert_with(|| Round {
            number: round_number,
            sends: BTreeMap::new(),
        });
        round.sends.insert(engine, SendEvent { line, believed });
        let in_flight = self.in_flight.entry(engine).or_default();
        in_flight.insert(attempt);
        let observations = self.engines.entry(engine).or_default();
        observations.sent += 1;
        observations.max_in_flight = observations.max_in_flight.max(in_flight.len() as u64);
        let last_failure = self.last_failures.get(&engine);
        let is_early =
            last_failure.is_some_and(|time| at.saturating_sub(*time) < EARLY_RESEND_MICROS);
        observations.resent_early += u64::from(is_early);
        Some(())
    }

    fn record_end(&mut self, at: Option<u64>, fields: &str) -> Option<()> {
        self.compare_round();
        let attempt = attempt_id(fields)?;
        let (engine, at) = (number(fields, "engine")? as u32, at?);
        let was_in_flight = self.in_flight.get_mut(&engine)?.remove(&attempt);
        let observations = self.engines.get_mut(&engine)?;
        let reason = fields.split_once("why=").map(|(_, reason)| reason);
        match reason {
            None => observations.served += 1,
            Some(reason) if reason.starts_with(REJECTED_REASON) => {
                observations.rejected += 1;
                self.last_failures.insert(engine, at);
            }
            Some(reason) if reason.starts_with(UNREACHED_REASON) => {
                observations.unreached += 1;
                self.last_failures.insert(engine, at);
            }
            Some(_) => {}
        }
        was_in_flight.then_some(())
    }

    /// Compares the attempts in flight with the policy's counts, once all attempts of a round are sent.
    fn compare_round(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for (engine, SendEvent { line, believed }) in round.sends {
            let counted = self.in_flight.get(&engine).map_or(0, HashSet::len) as u64;
            self.comparisons += 1;
            if counted == believed {
                continue;
            }
            self.mismatch_count += 1;
            if self.mismatches.len() < MAX_MISMATCHES {
                self.mismatches.push(Mismatch {
                    line,
                    engine,
                    counted,
                    believed,
                });
            }
        }
    }
}

fn attempt_id(fields: &str) -> Option<AttemptId> {
    Some(AttemptId {
        request: text(fields, "id")?,
        number: number(fields, "hop")? as u32,
    })
}

/// Splits the log line of a trace event into the part before the target and the event with its fields.
fn split_event(line: &str) -> Option<(&str, &str)> {
    [TRACE_TARGET, FORMER_TRACE_TARGET]
        .into_iter()
        .find_map(|target| {
            let (head, rest) = line.split_once(target)?;
            Some((head, rest.strip_prefix(": ")?))
        })
}

/// Returns the time of day of a line in µs, from its RFC 3339 timestamp.
fn time_of_day(head: &str) -> Option<u64> {
    let stamp = head
        .split_whitespace()
        .find(|word| word.contains('T') && word.ends_with('Z'))?;
    let mut parts = stamp.split_once('T')?.1.trim_end_matches('Z').split(':');
    let integer = |part: Option<&str>| part?.parse::<u64>().ok().filter(|n| *n < 60);
    let (hours, minutes) = (integer(parts.next())?, integer(parts.next())?);
    let seconds = parts
        .next()?
        .parse::<f64>()
        .ok()
        .filter(|s| (0.0..61.0).contains(s))?;
    Some((hours * 60 + minutes) * 60_000_000 + (seconds * 1e6) as u64)
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let mut words = fields.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn number(fields: &str, name: &str) -> Option<u64> {
    field(fields, name)?.parse().ok()
}

fn text(fields: &str, name: &str) -> Option<String> {
    Some(field(fields, name)?.trim_matches('"').to_owned())
}

#[cfg(test)]
mod tests;
