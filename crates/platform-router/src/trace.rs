//! Analysis of a router's trace (`HOPTILLER_LOG=hoptiller_platform_router=debug`): the attempts in flight at each engine,
//! counted from the events, are compared with what the policy believed; and attempts at engines that had just rejected one
//! are counted. It reads text only.
//!
//! The events `send`, `served` and `ended` are written where the core's commands are executed.

use std::collections::{BTreeMap, HashSet};

/// The log target of the events that a trace is made of.
pub const TRACE_TARGET: &str = "hoptiller_platform_router::trace";
/// The target of the same events in traces of releases before the package was renamed.
const FORMER_TRACE_TARGET: &str = "hoptiller_node::node";

/// An attempt counts as early if it is sent within this time after the engine rejected one or was not reached.
const EARLY_RESEND_MICROS: u64 = 1_000_000;
/// Mismatches that are kept; further ones are only counted.
const MAX_MISMATCHES: usize = 100;
/// How the reason of an `ended` event starts if the engine rejected the attempt.
const REJECTED_REASON: &str = "the engine is full";
/// How it starts if no connection was established.
const UNREACHED_REASON: &str = "no connection";

/// The attempts at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineObservations {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts that the engine rejected for lack of capacity.
    pub rejected: u64,
    /// Attempts for which no connection was established.
    pub unreached: u64,
    /// Attempts sent within a second after the engine rejected one or was not reached.
    pub resent_early: u64,
    /// The most attempts in flight at once.
    pub max_in_flight: u64,
}

/// A difference between the attempts in flight and what the policy believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// The line of the trace, from 1.
    pub line: usize,
    /// The engine.
    pub engine: u32,
    /// Attempts in flight by the trace.
    pub counted: u64,
    /// Attempts in flight by the policy.
    pub believed: u64,
}

/// The result of the analysis of a router's trace.
#[derive(Debug, Default)]
pub struct Trace {
    /// The observations by engine.
    pub engines: BTreeMap<u32, EngineObservations>,
    /// The first mismatches.
    pub mismatches: Vec<Mismatch>,
    /// The number of all mismatches.
    pub mismatch_count: usize,
    /// The number of comparisons.
    pub comparisons: usize,
    /// Lines of attempts that can't be parsed, or that end an attempt that was not sent.
    pub unparsed_lines: usize,
    in_flight: BTreeMap<u32, HashSet<AttemptId>>,
    /// By engine: when it last rejected an attempt or was not reached, in µs of the day.
    last_rejections: BTreeMap<u32, u64>,
    round: Option<Round>,
}

/// An attempt of a request.
#[derive(Debug, PartialEq, Eq, Hash)]
struct AttemptId {
    request: String,
    number: u32,
}

/// The attempts sent in one round of the core. Already at the first of them the policy counts all as in flight.
#[derive(Debug)]
struct Round {
    number: u64,
    /// By engine: the last `send` event.
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
        let rejection = self.last_rejections.get(&engine);
        let is_early = rejection.is_some_and(|time| at.saturating_sub(*time) < EARLY_RESEND_MICROS);
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
                self.last_rejections.insert(engine, at);
            }
            Some(reason) if reason.starts_with(UNREACHED_REASON) => {
                observations.unreached += 1;
                self.last_rejections.insert(engine, at);
            }
            Some(_) => {}
        }
        was_in_flight.then_some(())
    }

    /// Compares the attempts in flight with the policy's belief, once all of a round are sent.
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

/// Splits the log line of an attempt's event into the part before its target, and the event with its fields.
fn split_event(line: &str) -> Option<(&str, &str)> {
    [TRACE_TARGET, FORMER_TRACE_TARGET]
        .into_iter()
        .find_map(|target| {
            let (head, rest) = line.split_once(target)?;
            Some((head, rest.strip_prefix(": ")?))
        })
}

/// The time of day of a line in µs, from its RFC 3339 timestamp.
fn time_of_day(head: &str) -> Option<u64> {
    let stamp = head
        .split_whitespace()
        .find(|word| word.contains('T') && word.ends_with('Z'))?;
    let mut parts = stamp.split_once('T')?.1.trim_end_matches('Z').split(':');
    let whole = |part: Option<&str>| part?.parse::<u64>().ok().filter(|n| *n < 60);
    let (hours, minutes) = (whole(parts.next())?, whole(parts.next())?);
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
