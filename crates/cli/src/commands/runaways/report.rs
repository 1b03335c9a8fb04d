//! The report of runaways that a router gives its administrators, and its text for people.

use std::fmt::{self, Display, Write};

use serde::Deserialize;

/// The response to [`RUNAWAYS_PATH`](hoptiller_statement_router::front_end::admin_api::RUNAWAYS_PATH). Fields that the router
/// does not report are empty.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(super) struct Report {
    findings: Vec<Finding>,
    /// Recent findings that no longer apply.
    past: Vec<Finding>,
    holds: Vec<Hold>,
    #[serde(rename = "keptAway")]
    exclusions: Vec<Exclusion>,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Finding {
    subject: String,
    verdict: String,
    #[serde(rename = "inWords")]
    cause: String,
    class: Option<String>,
    text: String,
    engine: Option<String>,
    started_ms_ago: u64,
    verdict_ms_ago: u64,
    #[serde(rename = "seen")]
    evidence: String,
    /// Number of statements that wait for it.
    blocked: u64,
    note: String,
}

/// The hold of a fingerprint, which limits the number of its statements that run at once.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Hold {
    #[serde(rename = "kind")]
    fingerprint: String,
    class: String,
    text: String,
    #[serde(rename = "atOnce")]
    max_in_flight: u64,
    clean_runs: u64,
    #[serde(rename = "cleanRunsForNextStep")]
    clean_runs_needed: u64,
    held_for_ms: u64,
}

/// The engines that get no statements on a table group.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Exclusion {
    tables: String,
    engines: Vec<String>,
}

impl Report {
    /// Formats the report for people, optionally with findings that no longer apply.
    pub(super) fn to_text(&self, with_past: bool) -> String {
        let mut text = String::new();
        write_section(&mut text, "found", &self.findings);
        if with_past {
            write_section(&mut text, "no longer applies", &self.past);
        }
        write_section(
            &mut text,
            "held kinds (release one with --release KIND)",
            &self.holds,
        );
        for exclusion in &self.exclusions {
            let _ = write!(text, "{exclusion}");
        }
        if text.is_empty() {
            text.push_str("no runaways and no holds\n");
        }
        text
    }
}

fn write_section(text: &mut String, title: &str, entries: &[impl Display]) {
    if entries.is_empty() {
        return;
    }
    let _ = writeln!(text, "{title}");
    for entry in entries {
        let _ = write!(text, "{entry}");
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  {:<9} {}", self.verdict, self.subject)?;
        if let Some(engine) = &self.engine {
            write!(f, " on {engine}")?;
        }
        if let Some(class) = &self.class {
            write!(f, ", class {class}")?;
        }
        writeln!(f)?;
        writeln!(f, "            {}: {}", self.cause, self.evidence)?;
        write!(
            f,
            "            began {} s ago, verdict {} s ago",
            self.started_ms_ago / 1000,
            self.verdict_ms_ago / 1000
        )?;
        if self.blocked > 0 {
            write!(f, ", {} wait behind it", self.blocked)?;
        }
        writeln!(f)?;
        for line in [&self.text, &self.note] {
            if !line.is_empty() {
                writeln!(f, "            {line}")?;
            }
        }
        Ok(())
    }
}

impl Display for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  {}  class {}, {} at once, {} of {} clean runs to the next step, for {} s\n      {}",
            self.fingerprint,
            self.class,
            self.max_in_flight,
            self.clean_runs,
            self.clean_runs_needed,
            self.held_for_ms / 1000,
            self.text
        )
    }
}

impl Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let engines = self.engines.join(", ");
        writeln!(f, "  tables {}: excluded engines {engines}", self.tables)
    }
}

#[cfg(test)]
mod tests;
