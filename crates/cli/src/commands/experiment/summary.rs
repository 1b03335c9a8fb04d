//! Summaries of the figures of a condition over all of its runs.

use std::collections::BTreeMap;

use hoptiller_emulator::study::{Condition, FIXED_LIMITS_SECONDS, Figures};
use serde_json::{Value, json};

use super::chart::Curve;

/// The number of statements with a property, and the number of all statements.
#[derive(Clone, Copy)]
pub(super) struct Fraction {
    pub(super) count: usize,
    pub(super) total: usize,
}

/// The number of planted runaways, and the detections among them.
#[derive(Default)]
pub(super) struct Detections {
    pub(super) planted: usize,
    /// Times from start to detection, in seconds, ascending.
    pub(super) times: Vec<f64>,
}

impl Detections {
    fn new<'f>(runaways: impl Iterator<Item = &'f Option<f64>>) -> Detections {
        let mut detections = Detections::default();
        for time in runaways {
            detections.planted += 1;
            detections.times.extend(time);
        }
        detections.times.sort_by(f64::total_cmp);
        detections
    }

    /// Returns a quantile of the times; `None` if nothing was found.
    pub(super) fn quantile(&self, quantile: f64) -> Option<f64> {
        let last = self.times.len().checked_sub(1)?;
        let index = (quantile * last as f64).ceil() as usize;
        self.times.get(index).copied()
    }
}

/// The numbers of statements that a fixed limit of run time would have flagged in the same runs.
pub(super) struct FixedLimit {
    pub(super) seconds: u64,
    pub(super) found: usize,
    pub(super) large_flagged: usize,
    pub(super) others_flagged: usize,
}

/// The figures of a condition over all of its runs.
pub(super) struct ConditionSummary {
    condition: Condition,
    pub(super) runaways: Detections,
    pub(super) by_case: BTreeMap<&'static str, Detections>,
    /// The fraction of large reports that were flagged.
    pub(super) large_flagged: Fraction,
    /// The fraction of other statements that were flagged.
    pub(super) others_flagged: Fraction,
    pub(super) notices: usize,
    pub(super) fixed_limits: Vec<FixedLimit>,
    /// Value of the served statements, with late ones at their reduced weight, as a fraction of the value of all statements
    /// that count.
    pub(super) served_value: f64,
    /// The fraction served in time of the lookups whose tables a planted load had locked.
    pub(super) lookups_behind_load_in_time: Fraction,
    /// Number of engine crashes.
    failed_engines: usize,
}

impl ConditionSummary {
    pub(super) fn new(condition: Condition, figures: &[Figures]) -> ConditionSummary {
        let runs: Vec<&Figures> = figures
            .iter()
            .filter(|run| run.condition == condition)
            .collect();
        let sum = |count: &dyn Fn(&Figures) -> usize| runs.iter().map(|run| count(run)).sum();
        let fraction =
            |count: &dyn Fn(&Figures) -> usize, total: &dyn Fn(&Figures) -> usize| Fraction {
                count: sum(count),
                total: sum(total),
            };
        let fixed_limit = |(index, seconds): (usize, &u64)| FixedLimit {
            seconds: *seconds,
            found: sum(&|run| run.limits[index].runaways),
            large_flagged: sum(&|run| run.limits[index].large),
            others_flagged: sum(&|run| run.limits[index].others),
        };
        let served_value: f64 = runs.iter().map(|run| run.served_value).sum();
        ConditionSummary {
            condition,
            runaways: Detections::new(runs.iter().flat_map(|run| {
                run.detections
                    .iter()
                    .map(|detection| &detection.found_after)
            })),
            by_case: detections_by_case(&runs),
            large_flagged: fraction(&|run| run.large_flagged, &|run| run.large),
            others_flagged: fraction(&|run| run.others_flagged, &|run| run.others),
            notices: sum(&|run| run.notices),
            fixed_limits: FIXED_LIMITS_SECONDS
                .iter()
                .enumerate()
                .map(fixed_limit)
                .collect(),
            served_value: served_value / runs.len().max(1) as f64,
            lookups_behind_load_in_time: fraction(&|run| run.lookups_behind_load_in_time, &|run| {
                run.lookups_behind_load
            }),
            failed_engines: sum(&|run| run.engine_crashes),
        }
    }

    /// Returns a description of the condition.
    pub(super) fn name(&self) -> String {
        self.condition.description()
    }

    pub(super) fn curve(&self) -> Curve {
        Curve {
            name: self.name(),
            times: self.runaways.times.clone(),
            planted: self.runaways.planted,
        }
    }

    pub(super) fn to_json(&self) -> Value {
        let cases: BTreeMap<&str, Value> = self
            .by_case
            .iter()
            .map(|(case, detections)| (*case, detections_json(detections)))
            .collect();
        let limits: Vec<Value> = self
            .fixed_limits
            .iter()
            .map(|limit| {
                json!({
                    "seconds": limit.seconds,
                    "found": limit.found,
                    "largeFlagged": limit.large_flagged,
                    "othersFlagged": limit.others_flagged,
                })
            })
            .collect();
        let runaways = &self.runaways;
        json!({
            "condition": self.condition,
            "planted": runaways.planted,
            "found": runaways.times.len(),
            "p50": runaways.quantile(0.5),
            "p95": runaways.quantile(0.95),
            "latest": runaways.quantile(1.0),
            "byCause": cases,
            "large": self.large_flagged.total,
            "largeFlagged": self.large_flagged.count,
            "others": self.others_flagged.total,
            "othersFlagged": self.others_flagged.count,
            "notices": self.notices,
            "fixedLimits": limits,
            "worthOnTime": self.served_value,
            "lookupsBehind": self.lookups_behind_load_in_time.total,
            "lookupsBehindOnTime": self.lookups_behind_load_in_time.count,
            "enginesFallen": self.failed_engines,
        })
    }
}

fn detections_by_case(runs: &[&Figures]) -> BTreeMap<&'static str, Detections> {
    let mut times: BTreeMap<&'static str, Vec<&Option<f64>>> = BTreeMap::new();
    for detection in runs.iter().flat_map(|run| &run.detections) {
        let times = times.entry(detection.case.name()).or_default();
        times.push(&detection.found_after);
    }
    times
        .into_iter()
        .map(|(case, times)| (case, Detections::new(times.into_iter())))
        .collect()
}

fn detections_json(detections: &Detections) -> Value {
    json!({
        "planted": detections.planted,
        "found": detections.times.len(),
        "p50": detections.quantile(0.5),
        "p95": detections.quantile(0.95),
    })
}
