//! Owns what a router's own trace (`HOPTILLER_LOG=hoptiller_node=debug`) tells of its attempts: how many are out at each
//! engine by what was sent and what ended, held against how many its decisions believed; and what was sent to an engine
//! that had just turned it away. Reads text; asks no router.
//!
//! The lines are written in [`node`](crate::node): `send`, `served`, `ended`.

use std::collections::{BTreeMap, HashSet};

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
            let Some((head, said)) = line.split_once("hoptiller_node::node: ") else {
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
mod tests {
    use super::*;

    fn line(second: f64, said: &str) -> String {
        format!("0.1 2026-12-01T22:15:{second:09.6}Z DEBUG hoptiller_node::node: {said}")
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
}
