//! Exclusion of table groups from engines: the readers of a group that a runaway load locks run on other engines
//! meanwhile.

use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Micros};

use crate::attempts::Attempts;
use crate::findings::Findings;
use crate::interface::Class;
use crate::remote_statements::RemoteStatements;

/// Engines by the table group that is excluded from them.
pub(crate) type ExcludedEngines = BTreeMap<u64, Vec<EngineId>>;

/// Returns the exclusions for all runaway loads, of this router and of others.
pub(crate) fn group_exclusions(
    now: Micros,
    attempts: &Attempts,
    remote_statements: &RemoteStatements,
    findings: &Findings,
    classes: &[Class],
) -> ExcludedEngines {
    let mut excluded = ExcludedEngines::new();
    for attempt in attempts.values() {
        let start = attempt.start();
        let class = &classes[start.class];
        if let Some(group) = start.group
            && class.locks_group
            && class.enforcement.hold
            && findings.is_runaway(&attempt.subject())
        {
            exclude(&mut excluded, group, start.engine);
        }
    }
    for (remote, groups) in remote_statements.excluded(now) {
        // If the class is not reported, one class that permits holds is enough.
        let is_allowed = match remote.class {
            Some(class) => classes[class].enforcement.hold,
            None => classes.iter().any(|class| class.enforcement.hold),
        };
        if is_allowed {
            for group in groups {
                exclude(&mut excluded, *group, remote.engine);
            }
        }
    }
    excluded
}

fn exclude(excluded: &mut ExcludedEngines, group: u64, engine: EngineId) {
    let engines = excluded.entry(group).or_default();
    if !engines.contains(&engine) {
        engines.push(engine);
    }
}
