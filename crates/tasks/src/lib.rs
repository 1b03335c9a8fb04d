//! Tasks that one router does for the whole fleet: who does a part now, what is noted of it for all others, and what is
//! done where nobody holds it. Decisions only: no I/O, no clock. Leases are [`hoptiller_agreement`]'s.
//!
//! [`duty`] says whose part something is at a moment; [`sheet`] is what is noted of engines' own states. The list of
//! engines is noted as discovery told it.

pub mod sheet;

use hoptiller_agreement::{Micros, Part, Task, Tenant};

pub use sheet::{Seen, Sheet};

/// Whose part something is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Each router's own: there is no such task, nobody holds it, nothing was noted yet, or this router is in doubt. What
    /// is done then is what would be done without tasks, and needs no lease.
    Own,
    /// This router does it for all.
    Mine,
    /// Another does it; what it noted last.
    Others(String),
}

/// Whose a part is now. `doubt`: this router's permit has ended, so that it hears nothing of the others.
pub fn duty(tenant: &Tenant, now: Micros, part: Part, doubt: bool) -> Duty {
    match tenant.posted(part) {
        _ if doubt => Duty::Own,
        None => Duty::Own,
        Some(_) if tenant.holds(now, part) => Duty::Mine,
        Some((Some(_), Some(note))) => Duty::Others(note.to_owned()),
        Some(_) => Duty::Own,
    }
}

/// The part that reads discovery.
pub const LIST: Part = Part {
    task: Task::List,
    shard: 0,
};

/// The part in which an engine is asked how it is, of so many; `None` where there are none.
pub fn probe_of(engine: &str, parts: u32) -> Option<Part> {
    let hash = blake3::hash(engine.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    let shard = u32::from_be_bytes(first).checked_rem(parts)?;
    Some(Part {
        task: Task::Probe,
        shard,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use hoptiller_agreement::lease::{Board, Grant, Posted};
    use hoptiller_agreement::{Bounds, Holder};

    #[test]
    fn a_part_is_mine_while_i_hold_it_and_everybodys_where_nobody_does() {
        let bounds = Bounds {
            term: 10_000,
            drift: 0,
        };
        let mut tenant = Tenant::new(&bounds, 100);
        assert_eq!(
            duty(&tenant, 0, LIST, false),
            Duty::Own,
            "there is no such task"
        );
        let holder = Some((
            Holder {
                router: "r".into(),
                life: "1".into(),
            },
            7,
        ));
        let mut tell =
            |serial: u64, mine: bool, holder: &Option<(Holder, u64)>, note: Option<&str>| {
                let (part, note) = (LIST, note.map(str::to_owned));
                let posted = vec![Posted {
                    part,
                    holder: holder.clone(),
                    note,
                }];
                let board = Board {
                    upto: serial,
                    parts: vec![LIST],
                    posted,
                };
                let grants: Vec<Grant> = mine
                    .then_some(Grant {
                        part,
                        number: 7,
                        leaving: false,
                    })
                    .into_iter()
                    .collect();
                tenant.offer(serial, 0);
                tenant.granted(serial, 1, serial, Some(&grants), Some(&board));
                tenant.clone()
            };
        assert_eq!(
            duty(&tell(1, false, &None, None), 2, LIST, false),
            Duty::Own
        );
        assert_eq!(
            duty(&tell(2, false, &holder, None), 2, LIST, false),
            Duty::Own,
            "nothing is noted yet"
        );
        let others = tell(3, false, &holder, Some("x"));
        assert_eq!(duty(&others, 2, LIST, false), Duty::Others("x".into()));
        assert_eq!(duty(&others, 2, LIST, true), Duty::Own, "in doubt");
        let mine = tell(4, true, &holder, Some("x"));
        assert_eq!(duty(&mine, 2, LIST, false), Duty::Mine);
        assert_eq!(
            duty(&mine, 9_900, LIST, false),
            Duty::Others("x".into()),
            "its time is over"
        );
    }

    #[test]
    fn engines_spread_over_the_parts_and_stay_where_they_are() {
        let mut counts = [0; 8];
        for n in 0..800 {
            let part = probe_of(&format!("engine-{n}"), 8).expect("there are parts");
            assert_eq!(Some(part), probe_of(&format!("engine-{n}"), 8));
            counts[part.shard as usize] += 1;
        }
        assert!(counts.iter().all(|n| (70..130).contains(n)), "{counts:?}");
        assert_eq!(probe_of("engine", 0), None);
    }
}
