//! Optional `X-Hoptiller-*` headers between routers, engines and discovery. Headers with numbers are lists of
//! `name=number`; they are hints, so parts that cannot be parsed are ignored.

/// Load report of an engine, in its responses: `in_flight=3; memory=0.5; cpu=0.25`.
pub const LOAD: &str = "X-Hoptiller-Load";
/// Progress of a running statement, in responses to polls: `done=0.3`, `spills=40` (MB that it lacks and spills),
/// `lacks=40` (MB that it waits for) or `waits=1` (another statement blocks it).
pub const PROGRESS: &str = "X-Hoptiller-Note";
/// Statement that blocks a running one, in responses to polls: its name as routers send it in [`STATEMENT_NAME`], its
/// class, and its run time less the time in which it was blocked itself: `r1/00017_ab; class=rent-load; age_ms=12000`.
pub const BLOCKED_BY: &str = "X-Hoptiller-Behind";
/// Effects of a killed statement, as its engine reports them on request: `rolled-back` or `committed`.
pub const EFFECTS: &str = "X-Hoptiller-Effects";
/// Cost of a statement, in its last response: `work_ms=250`.
pub const COST: &str = "X-Hoptiller-Cost";
/// Options of an attempt, sent with it: priority from 0 to 3, memory grant in MB, and `hop`, the number of the attempt:
/// `priority=3; grant_mb=40; hop=0`.
pub const ATTEMPT_OPTIONS: &str = "X-Hoptiller-Terms";
/// Name of the statement, as of [`statement_name`], sent with an attempt.
pub const STATEMENT_NAME: &str = "X-Hoptiller-Statement";
/// Class of the statement, sent with an attempt.
pub const CLASS: &str = "X-Hoptiller-Class";
/// Configuration versions under which an attempt is sent, as [`ConfigVersions`]. Engines may reject versions older than
/// those they have seen.
pub const CONFIG_VERSIONS: &str = "X-Hoptiller-Versions";
/// Name of the router that sends an attempt or a request to discovery.
pub const ROUTER: &str = "X-Hoptiller-Router";
/// Lease of the fleet-wide task for which a request is sent, as [`TaskLease`]. A receiver that compares fencing tokens
/// rejects a token lower than one that it has seen for the same shard.
pub const LEASE: &str = "X-Hoptiller-Lease";

/// Suffix of [`CONFIG_VERSIONS`] if the router's configuration lease has expired.
const IN_DOUBT_SUFFIX: &str = " doubt";
/// Maximum length of a blocking statement's name.
const MAX_NAME_BYTES: usize = 128;
/// Ages of this length or more are ignored.
const AGE_LIMIT_MS: u64 = 1 << 40;

/// Parses `name=number` pairs separated by `;`, and skips those without a finite number.
pub fn parse_numbers(value: &str) -> impl Iterator<Item = (&str, f64)> {
    value.split(';').filter_map(|pair| {
        let (name, number) = pair.split_once('=')?;
        let number: f64 = number.trim().parse().ok()?;
        number.is_finite().then_some((name.trim(), number))
    })
}

/// Returns the first number with the given name among `name=number` pairs.
pub fn find_number(value: &str, name: &str) -> Option<f64> {
    parse_numbers(value)
        .find(|(other, _)| *other == name)
        .map(|(_, number)| number)
}

/// Formats `name=number` pairs, with at most three decimals.
pub fn format_numbers(pairs: &[(&str, f64)]) -> String {
    let formatted: Vec<String> = pairs
        .iter()
        .map(|(name, number)| format!("{name}={}", (number * 1000.0).round() / 1000.0))
        .collect();
    formatted.join("; ")
}

/// Returns the name under which routers send a statement to engines. No two incarnations of a router use the same name.
pub fn statement_name(router: &str, incarnation: &str, number: u64) -> String {
    format!("{router}/{number:05}_{incarnation}")
}

/// The value of [`LEASE`], such as `probe/3#17`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskLease<'a> {
    /// Leased shard, such as `probe/3`.
    pub shard: &'a str,
    /// Fencing token of the lease.
    pub fencing_token: u64,
}

impl<'a> TaskLease<'a> {
    /// Parses the value of [`LEASE`]. Returns `None` if it is malformed.
    pub fn parse(value: &'a str) -> Option<TaskLease<'a>> {
        let (shard, token) = value.split_once('#')?;
        let fencing_token = token.parse().ok()?;
        Some(TaskLease {
            shard,
            fencing_token,
        })
    }
}

/// The value of [`CONFIG_VERSIONS`], such as `3..4`, followed by ` doubt` if the router's configuration lease has
/// expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigVersions {
    /// Version in force in the fleet, as far as the router knows.
    pub in_force: u64,
    /// Latest version that the router already enforces, `in_force` or a later one.
    pub enforced: u64,
    /// Whether the router's configuration lease has expired.
    pub in_doubt: bool,
}

impl ConfigVersions {
    /// Parses the value of [`CONFIG_VERSIONS`]. Returns `None` if it is malformed.
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
    /// Name of the statement, in the form of [`statement_name`].
    pub name: &'a str,
    /// Class of the statement, if reported.
    pub class: Option<&'a str>,
    /// Run time of the statement in milliseconds, less the time in which it was blocked itself, if reported.
    pub age_ms: Option<u64>,
}

impl<'a> BlockingStatement<'a> {
    /// Parses the value of [`BLOCKED_BY`]. Returns `None` if it contains no valid name.
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
