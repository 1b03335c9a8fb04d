//! Owns the optional headers between router and engine. Each is a list of `name=number`; what can't be read is
//! passed over, since they are hints.

/// An engine's load, in its answers: `in_flight=3; memory=0.5; cpu=0.25`.
pub const LOAD: &str = "X-Hoptiller-Load";
/// News of a running statement, in answers to polls: `done=0.3` or `spills=40` (MB that it lacks) or `waits=1`.
pub const NOTE: &str = "X-Hoptiller-Note";
/// What a statement needed, in the answer that ends it: `work_ms=250`.
pub const COST: &str = "X-Hoptiller-Cost";
/// The terms of an attempt, when it is sent: `priority=3; grant_mb=40; hop=0`.
pub const TERMS: &str = "X-Hoptiller-Terms";
/// The router's id of the statement, when an attempt is sent.
pub const STATEMENT_ID: &str = "X-Hoptiller-Statement";
/// The class of the statement, when an attempt is sent.
pub const CLASS: &str = "X-Hoptiller-Class";
/// The router that sends: attempts, and questions to discovery.
pub const ROUTER: &str = "X-Hoptiller-Router";

/// Reads `name=number` pairs; only finite numbers count.
pub fn numbers(value: &str) -> impl Iterator<Item = (&str, f64)> {
    value.split(';').filter_map(|part| {
        let (name, number) = part.split_once('=')?;
        let number: f64 = number.trim().parse().ok()?;
        number.is_finite().then_some((name.trim(), number))
    })
}

/// The number of that name.
pub fn number(value: &str, name: &str) -> Option<f64> {
    numbers(value).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Writes pairs.
pub fn text(pairs: &[(&str, f64)]) -> String {
    let parts: Vec<String> =
        pairs.iter().map(|(n, v)| format!("{n}={}", (v * 1000.0).round() / 1000.0)).collect();
    parts.join("; ")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_no_number_is_passed_over() {
        let value = "in_flight=3; memory=0.5;cpu=x; =; a; nan=NaN; inf=inf; cpu=1e999";
        assert_eq!(numbers(value).collect::<Vec<_>>(), vec![("in_flight", 3.0), ("memory", 0.5)]);
        assert_eq!(text(&[("a", 1.0), ("b", 0.25)]), "a=1; b=0.25");
    }
}
