//! The optional `X-Hoptiller-*` headers between router and engine. Those with numbers are lists of `name=number`;
//! what can't be parsed is ignored, since they are hints.

/// An engine's load report, in its responses: `in_flight=3; memory=0.5; cpu=0.25`.
pub const LOAD: &str = "X-Hoptiller-Load";
/// Progress of a running statement, in responses to polls: `done=0.3` or `spills=40` (MB that it lacks and spills)
/// or `lacks=40` (MB that it waits for) or `waits=1` (it is blocked by another statement).
pub const PROGRESS: &str = "X-Hoptiller-Note";
/// The statement that blocks a running one, in responses to polls: its name as routers send it in
/// [`STATEMENT_ID`], its class, and how long it has run, less the time in which it was blocked itself:
/// `r1/00017_ab; class=rent-load; age_ms=12000`.
pub const BLOCKED_BY: &str = "X-Hoptiller-Behind";
/// The effects of a statement that was ended, as its engine reports them on request: `rolled-back` or `committed`.
pub const EFFECTS: &str = "X-Hoptiller-Effects";
/// The cost of a statement, in its last response: `work_ms=250`.
pub const COST: &str = "X-Hoptiller-Cost";
/// The options of an attempt, when it is sent: `priority=3; grant_mb=40; hop=0`.
pub const ATTEMPT_OPTIONS: &str = "X-Hoptiller-Terms";
/// The router's id of the statement, when an attempt is sent.
pub const STATEMENT_ID: &str = "X-Hoptiller-Statement";
/// The class of the statement, when an attempt is sent.
pub const CLASS: &str = "X-Hoptiller-Class";
/// The configuration versions under which an attempt is sent, as [`ConfigVersions`]. Engines may reject what is
/// older than they have seen.
pub const CONFIG_VERSIONS: &str = "X-Hoptiller-Versions";
/// The router that sends: attempts, and requests to discovery.
pub const ROUTER: &str = "X-Hoptiller-Router";
/// The lease of a fleet-wide task under which a request is sent, as [`TaskLease`]. A receiver that compares fencing
/// tokens rejects one that is lower than another that it has seen for the same shard.
pub const LEASE: &str = "X-Hoptiller-Lease";

/// What follows the numbers in [`CONFIG_VERSIONS`] where the router's lease has expired.
const IN_DOUBT_SUFFIX: &str = " doubt";
/// The length of the name of a blocking statement, at most.
const MAX_NAME_BYTES: usize = 128;
/// Ages of this many milliseconds and more are ignored.
const AGE_LIMIT_MS: u64 = 1 << 40;

/// Parses `name=number` pairs, separated by `;`; only finite numbers count.
pub fn parse_numbers(value: &str) -> impl Iterator<Item = (&str, f64)> {
    value.split(';').filter_map(|pair| {
        let (name, number) = pair.split_once('=')?;
        let number: f64 = number.trim().parse().ok()?;
        number.is_finite().then_some((name.trim(), number))
    })
}

/// The first number of that name among `name=number` pairs.
pub fn find_number(value: &str, name: &str) -> Option<f64> {
    parse_numbers(value)
        .find(|(other, _)| *other == name)
        .map(|(_, number)| number)
}

/// Formats `name=number` pairs, with three decimals at most.
pub fn format_numbers(pairs: &[(&str, f64)]) -> String {
    let formatted: Vec<String> = pairs
        .iter()
        .map(|(name, number)| format!("{name}={}", (number * 1000.0).round() / 1000.0))
        .collect();
    formatted.join("; ")
}

/// The name under which routers send a statement to engines. No two incarnations of a router give the same name.
pub fn statement_name(router: &str, incarnation: &str, number: u64) -> String {
    format!("{router}/{number:05}_{incarnation}")
}

/// The value of [`LEASE`]: `probe/3#17`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskLease<'a> {
    /// The shard that is leased, `probe/3`.
    pub shard: &'a str,
    /// The lease's fencing token.
    pub fencing_token: u64,
}

impl<'a> TaskLease<'a> {
    /// Parses the value of [`LEASE`].
    pub fn parse(value: &'a str) -> Option<TaskLease<'a>> {
        let (shard, token) = value.split_once('#')?;
        let fencing_token = token.parse().ok()?;
        Some(TaskLease {
            shard,
            fencing_token,
        })
    }
}

/// The value of [`CONFIG_VERSIONS`]: `3..4`, with ` doubt` behind it where the router's lease has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigVersions {
    /// The version in force.
    pub in_force: u64,
    /// The latest version that the router enforces.
    pub enforced: u64,
    /// Whether the router's lease has expired.
    pub in_doubt: bool,
}

impl ConfigVersions {
    /// Parses the value of [`CONFIG_VERSIONS`].
    pub fn parse(value: &str) -> Option<ConfigVersions> {
        let (versions, in_doubt) = match value.strip_suffix(IN_DOUBT_SUFFIX) {
            Some(versions) => (versions, true),
            None => (value, false),
        };
        let (in_force, enforced) = versions.split_once("..")?;
        Some(ConfigVersions {
            in_force: in_force.parse().ok()?,
            enforced: enforced.parse().ok()?,
            in_doubt,
        })
    }
}

/// The value of [`BLOCKED_BY`]: the statement that blocks another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockingStatement<'a> {
    /// Its name, as of [`statement_name`].
    pub name: &'a str,
    /// Its class, where reported.
    pub class: Option<&'a str>,
    /// How long it has run, less the time in which it was blocked itself, in milliseconds, where reported.
    pub age_ms: Option<u64>,
}

impl<'a> BlockingStatement<'a> {
    /// Parses the value of [`BLOCKED_BY`]; `None` where there is no name.
    pub fn parse(value: &'a str) -> Option<BlockingStatement<'a>> {
        let mut parts = value.split(';').map(str::trim);
        let name = parts
            .next()
            .filter(|name| (1..=MAX_NAME_BYTES).contains(&name.len()))?;
        let mut blocking = BlockingStatement {
            name,
            class: None,
            age_ms: None,
        };
        for (key, value) in parts.filter_map(|part| part.split_once('=')) {
            match key {
                "class" if !value.is_empty() => blocking.class = Some(value),
                "age_ms" => blocking.age_ms = value.parse().ok().filter(|age| *age < AGE_LIMIT_MS),
                _ => {}
            }
        }
        Some(blocking)
    }
}

#[cfg(test)]
mod tests;
