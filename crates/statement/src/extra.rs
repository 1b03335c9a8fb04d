//! Owns the optional headers between router and engine. Each is a list of `name=number`; what can't be read is
//! passed over, since they are hints.

/// An engine's load, in its answers: `in_flight=3; memory=0.5; cpu=0.25`.
pub const LOAD: &str = "X-Hoptiller-Load";
/// News of a running statement, in answers to polls: `done=0.3` or `spills=40` (MB that it lacks and spills) or
/// `lacks=40` (MB that it waits for) or `waits=1` (it stands behind another).
pub const NOTE: &str = "X-Hoptiller-Note";
/// Who holds what a running statement waits for, in answers to polls: the holder's name as routers give it with
/// [`STATEMENT_ID`], its class, and how long it has run,
/// standing still left out: `r1/00017_ab; class=rent-load; age_ms=12000`.
pub const BEHIND: &str = "X-Hoptiller-Behind";
/// What an engine says of the effects of a statement that was ended, in the answer to a question for it:
/// `rolled-back` or `committed`.
pub const EFFECTS: &str = "X-Hoptiller-Effects";
/// What a statement needed, in the answer that ends it: `work_ms=250`.
pub const COST: &str = "X-Hoptiller-Cost";
/// The terms of an attempt, when it is sent: `priority=3; grant_mb=40; hop=0`.
pub const TERMS: &str = "X-Hoptiller-Terms";
/// The router's id of the statement, when an attempt is sent.
pub const STATEMENT_ID: &str = "X-Hoptiller-Statement";
/// The class of the statement, when an attempt is sent.
pub const CLASS: &str = "X-Hoptiller-Class";
/// The versions of the fleet's settings under which an attempt is sent: the one in force and the last heeded, as in
/// `3..4`; with ` doubt` behind where the router's permit has ended. Engines may refuse what is older than they have seen.
pub const VERSIONS: &str = "X-Hoptiller-Versions";
/// The router that sends: attempts, and questions to discovery.
pub const ROUTER: &str = "X-Hoptiller-Router";
/// Under which lease of a fleet-wide task something is asked, `probe/3#17`: whoever compares refuses one whose number is
/// under one that it has seen for that part.
pub const LEASE: &str = "X-Hoptiller-Lease";

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
    let parts: Vec<String> = pairs
        .iter()
        .map(|(n, v)| format!("{n}={}", (v * 1000.0).round() / 1000.0))
        .collect();
    parts.join("; ")
}

/// What routers call a statement towards engines: no two lives of a router give the same name.
pub fn statement_name(router: &str, life: &str, number: u64) -> String {
    format!("{router}/{number:05}_{life}")
}

/// The part and the number of a [`LEASE`].
pub fn lease(text: &str) -> Option<(&str, u64)> {
    let (part, number) = text.split_once('#')?;
    Some((part, number.parse().ok()?))
}

/// Reads [`VERSIONS`]: the one in force, the last heeded, and whether in doubt.
pub fn versions(value: &str) -> Option<(u64, u64, bool)> {
    let (numbers, doubt) = match value.strip_suffix(" doubt") {
        Some(numbers) => (numbers, true),
        None => (value, false),
    };
    let (in_force, heeds) = numbers.split_once("..")?;
    Some((in_force.parse().ok()?, heeds.parse().ok()?, doubt))
}

/// Who holds what a statement waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its class, where told.
    pub class: Option<&'a str>,
    /// How long it has run, standing still left out, in ms, where told.
    pub age_ms: Option<u64>,
}

/// Reads [`BEHIND`]; none where there is no name.
pub fn holder(value: &str) -> Option<Holder<'_>> {
    let mut parts = value.split(';').map(str::trim);
    let name = parts.next().filter(|n| !n.is_empty() && n.len() <= 128)?;
    let mut holder = Holder {
        name,
        class: None,
        age_ms: None,
    };
    for (key, value) in parts.filter_map(|p| p.split_once('=')) {
        match key {
            "class" if !value.is_empty() => holder.class = Some(value),
            "age_ms" => holder.age_ms = value.parse().ok().filter(|ms| *ms < 1 << 40),
            _ => {}
        }
    }
    Some(holder)
}

#[cfg(test)]
mod tests;
