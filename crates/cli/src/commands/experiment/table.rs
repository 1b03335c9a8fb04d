//! Tables of the study's figures, for people.

use super::summary::{ConditionSummary, Fraction};

pub(super) fn print_tables(summaries: &[ConditionSummary], runs: usize) {
    println!("{runs} runs of each condition (simulated servers)\n");
    print_conditions(summaries);
    println!(
        "\nfound: runaways found, by run time without the time blocked. large, others: flagged, of all that ran; none should be."
    );
    println!(
        "worth: value served of all, late ones at reduced weight. behind a load: lookups behind a planted load, served in time.\n"
    );
    for summary in summaries {
        print_cases(summary);
    }
    if let Some(summary) = summaries.first() {
        print_fixed_limits(summary);
    }
}

fn print_conditions(summaries: &[ConditionSummary]) {
    println!(
        "{:<18} {:>9} {:>7} {:>7} {:>7}  {:>7} {:>9} {:>8} {:>6}  {:>13}",
        "condition",
        "found",
        "p50",
        "p95",
        "latest",
        "large",
        "others",
        "notices",
        "worth",
        "behind a load"
    );
    for summary in summaries {
        let runaways = &summary.runaways;
        let blocked = summary.lookups_behind_load_in_time;
        println!(
            "{:<18} {:>9} {:>7} {:>7} {:>7}  {:>7} {:>9} {:>8} {:>6.3}  {:>5.3} of {}",
            summary.name(),
            format!("{} of {}", runaways.times.len(), runaways.planted),
            format_seconds(runaways.quantile(0.5)),
            format_seconds(runaways.quantile(0.95)),
            format_seconds(runaways.quantile(1.0)),
            format_fraction(summary.large_flagged),
            format_fraction(summary.others_flagged),
            summary.notices,
            summary.served_value,
            blocked.count as f64 / (blocked.total as f64).max(1.0),
            blocked.total,
        );
    }
}

fn print_cases(summary: &ConditionSummary) {
    println!("{}, by planted case", summary.name());
    for (case, detections) in &summary.by_case {
        println!(
            "  {case:<16} {} of {}, p50 {}, p95 {}, latest {}",
            detections.times.len(),
            detections.planted,
            format_seconds(detections.quantile(0.5)),
            format_seconds(detections.quantile(0.95)),
            format_seconds(detections.quantile(1.0))
        );
    }
}

fn print_fixed_limits(summary: &ConditionSummary) {
    println!("\nfixed limits in the same runs ({})", summary.name());
    for limit in &summary.fixed_limits {
        println!(
            "  {:>3} s: finds {} of {} runaways, flags {} of {} large reports and {} others",
            limit.seconds,
            limit.found,
            summary.runaways.planted,
            limit.large_flagged,
            summary.large_flagged.total,
            limit.others_flagged
        );
    }
}

fn format_fraction(fraction: Fraction) -> String {
    format!("{} of {}", fraction.count, fraction.total)
}

fn format_seconds(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value:.1} s"))
}
