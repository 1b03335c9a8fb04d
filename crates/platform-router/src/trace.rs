//! Owns what a router's own trace (`HOPTILLER_LOG=hoptiller_platform_router=debug`) tells of its attempts: how many are out at each
//! engine by what was sent and what ended, held against how many its decisions believed; and what was sent to an engine
//! that had just turned it away. Reads text; asks no router.
//!
//! The lines are written in [`node`](crate::node): `send`, `served`, `ended`.

use std::collections::{BTreeMap, HashSet};

/// The log target of the events that a trace is made of.
pub const TRACE_TARGET: &str = "hoptiller_platform_router::trace";
/// The target of the same events in traces of releases before the package was renamed.
const FORMER_TRACE_TARGET: &str = "hoptiller_node::node";

/// An engine that turned a router away is asked again at once within this time, in µs.
pub const AT_ONCE: u64 = 1_000_000;
/// Wrong beliefs that are kept; beyond that they are counted.
const KEPT: usize = 100;

/// An engine as the trace shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Attempts sent.
    pub sent: u64,
    /// Those that were served.
    pub served: u64,
    /// Those that it turned away as full.
    pub full: u64,
    /// Those for which no connection came about.
    pub unreached: u64,
    /// Those that were sent within [`AT_ONCE`] of one that it turned away or that did not reach it.
    pub again: u64,
    /// The most that were out at once.
    pub most_out: u64,
}

/// A belief that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// The line of the trace, from 1.
    pub line: usize,
    /// The engine.
    pub engine: u32,
    /// Attempts out there by the trace.
    pub counted: u64,
    /// By the decisions.
    pub believed: u64,
}

/// What a router's trace tells.
#[derive(Debug, Default)]
pub struct Trace {
    /// By engine.
    pub engines: BTreeMap<u32, Seen>,
    /// The first beliefs that do not hold, and how many there are.
    pub wrong: Vec<Wrong>,
    /// How many beliefs do not hold.
    pub wrong_in_all: usize,
    /// How many were held against the count.
    pub compared: usize,
    /// Lines of attempts that can't be read, or that end what was not sent.
    pub unread: usize,
    out: BTreeMap<u32, HashSet<(String, u32)>>,
    turned_away: BTreeMap<u32, u64>,
    round: Option<Round>,
}

/// The sends of a round, which are all believed out at its first one.
#[derive(Debug)]
struct Round {
    number: u64,
    /// By engine: the last line, and the belief.
    sends: BTreeMap<u32, (usize, u64)>,
}

impl Trace {
    /// Reads a whole trace.
    pub fn read<'a>(lines: impl IntoIterator<Item = &'a str>) -> Trace {
        let mut trace = Trace::default();
        for (n, line) in lines.into_iter().enumerate() {
            let Some((head, said)) = split_event(line) else {
                continue;
            };
            let (word, fields) = said.split_once(' ').unwrap_or((said, ""));
            let read = match word {
                "send" => trace.sent(n + 1, time_of(head), fields),
                "served" | "ended" => trace.ended(time_of(head), fields),
                _ => Some(()),
            };
            trace.unread += usize::from(read.is_none());
        }
        trace.settle();
        trace
    }

    fn sent(&mut self, line: usize, at: Option<u64>, fields: &str) -> Option<()> {
        let (name, hop) = (text(fields, "id")?, number(fields, "hop")? as u32);
        let (engine, round) = (number(fields, "engine")? as u32, number(fields, "round")?);
        let believed = number(fields, "believed")?;
        let at = at?;
        if self.round.as_ref().is_some_and(|r| r.number != round) {
            self.settle();
        }
        let fresh = || Round {
            number: round,
            sends: BTreeMap::new(),
        };
        self.round
            .get_or_insert_with(fresh)
            .sends
            .insert(engine, (line, believed));
        let out = self.out.entry(engine).or_default();
        out.insert((name, hop));
        let seen = self.engines.entry(engine).or_default();
        seen.sent += 1;
        seen.most_out = seen.most_out.max(out.len() as u64);
        let away = self.turned_away.get(&engine);
        seen.again += u64::from(away.is_some_and(|away| at.saturating_sub(*away) < AT_ONCE));
        Some(())
    }

    fn ended(&mut self, at: Option<u64>, fields: &str) -> Option<()> {
        self.settle();
        let (name, hop) = (text(fields, "id")?, number(fields, "hop")? as u32);
        let (engine, at) = (number(fields, "engine")? as u32, at?);
        let was_out = self.out.get_mut(&engine)?.remove(&(name, hop));
        let seen = self.engines.get_mut(&engine)?;
        let why = fields.split_once("why=").map(|(_, why)| why);
        match why {
            None => seen.served += 1,
            Some(why) if why.starts_with("the engine is full") => seen.full += 1,
            Some(why) if why.starts_with("no connection") => seen.unreached += 1,
            Some(_) => return was_out.then_some(()),
        }
        if why.is_some() {
            self.turned_away.insert(engine, at);
        }
        was_out.then_some(())
    }

    /// A round's sends are all there: the count is held against the belief.
    fn settle(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for (engine, (line, believed)) in round.sends {
            let counted = self.out.get(&engine).map_or(0, HashSet::len) as u64;
            self.compared += 1;
            if counted != believed {
                self.wrong_in_all += 1;
                if self.wrong.len() < KEPT {
                    self.wrong.push(Wrong {
                        line,
                        engine,
                        counted,
                        believed,
                    });
                }
            }
        }
    }
}

/// Splits a log line of an attempt's event into what stands before its target, and the event with its fields.
fn split_event(line: &str) -> Option<(&str, &str)> {
    [TRACE_TARGET, FORMER_TRACE_TARGET]
        .into_iter()
        .find_map(|target| {
            let (head, rest) = line.split_once(target)?;
            Some((head, rest.strip_prefix(": ")?))
        })
}

/// The time of day of a line, in µs: hours, minutes and seconds as RFC 3339 writes them.
fn time_of(head: &str) -> Option<u64> {
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
