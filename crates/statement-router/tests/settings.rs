//! Tests of settings files: invalid files are rejected with all errors and their locations.

use hoptiller_statement_router::Settings;

const EXAMPLE: &str = include_str!("../../../examples/derby.jsonnet");

/// Changes of the example that make it invalid, with a part of the error of each.
const INVALID_CHANGES: &[(&str, &str)] = &[
    ("{ kinds: null }", "kinds: missing"),
    (
        "{ clases: [] }",
        "clases: unknown key; did you mean \"classes\"?",
    ),
    (
        "{ router+: { listen: 8080 } }",
        "router.listen: expected a string",
    ),
    (
        "{ router+: { index: 3 } }",
        "router.index: must be under router.of, 1",
    ),
    (
        "{ router+: { index: 1.5 } }",
        "router.index: expected a whole number",
    ),
    (
        "{ rules+: { ramp: 14 } }",
        "rules.ramp: 14 is not a duration",
    ),
    (
        "{ rules+: { ramp: '14' } }",
        "rules.ramp: \"14\" is not a duration",
    ),
    (
        "{ rules+: { ramp: '14 parsecs' } }",
        "rules.ramp: \"14 parsecs\" is not a duration",
    ),
    (
        "{ rules+: { start_capacity: -1 } }",
        "rules.start_capacity: expected a number of 0 or more",
    ),
    (
        "{ rules+: { start_capacity: 1.5 } }",
        "rules.start_capacity: must be a fraction",
    ),
    (
        "{ rules+: { overload: 0.5 } }",
        "rules.overload: must be 1 or more",
    ),
    (
        "{ engines+: { max_attempts: 0 } }",
        "engines.max_attempts: must be 1 or more",
    ),
    (
        "{ engines+: { probes: 'yes' } }",
        "engines.probes: expected true or false",
    ),
    (
        "{ engines+: { budget: { spare: 1 } } }",
        "engines.budget.ratio: missing",
    ),
    (
        "{ engines+: { notes_every: '1s' } }",
        "engines.notes_every: requires engines.cancel",
    ),
    (
        "{ default_class: 'lokup' }",
        "default_class: \"lokup\" is not a class",
    ),
    (
        "{ classes: [] }",
        "classes: expected a list of at least one class",
    ),
    ("{ classes: [1] }", "classes[0]: expected an object"),
    (
        "{ classes+: [super.classes[0]] }",
        "classes[3].name: duplicate class name \"lookup\"",
    ),
    (
        "{ classes+: [super.classes[0] { name: 'a b' }] }",
        "classes[3].name: a client tag can contain only letters",
    ),
    (
        "{ classes+: [super.classes[0] { name: 'x', kinds: ['std-9'] }] }",
        "classes[3].kinds[0]: unknown name \"std-9\"; expected one of",
    ),
    (
        "{ classes+: [super.classes[0] { name: 'x', repeat: 'twice' }] }",
        "classes[3].repeat: expected 'safe' or 'never'",
    ),
    (
        "{ classes+: [super.classes[0] { name: 'x', patience: '1s' }] }",
        "classes[3].patience: is shorter than the aim",
    ),
    (
        "{ classes+: [super.classes[0] { name: 'x', holds: true }] }",
        "classes[3].holds: a class whose statements lock",
    ),
    (
        "{ limits: { incoming_bytes: 5 } }",
        "limits.incoming_bytes: is under limits.statement_bytes",
    ),
    (
        "{ limits: { held_bytes: 5 } }",
        "limits.held_bytes: is under limits.page_bytes",
    ),
    (
        "{ limits: { abandon_after: '1s' } }",
        "limits.abandon_after: must be at least twice",
    ),
    (
        "{ runaways: { acts: ['name', 'kill'] } }",
        "runaways.acts[1]: unknown action \"kill\"; expected one of 'name'",
    ),
    (
        "{ runaways: { acts: 'name' } }",
        "runaways.acts: expected a list of 'name'",
    ),
    (
        "{ runaways: { classes: { reports: [] } } }",
        "runaways.classes.reports: is not a class",
    ),
    (
        "{ runaways: { holds: true } }",
        "runaways.holds: unknown key",
    ),
    (
        "{ runaways: { acts: ['name', 'end'] } }",
        "'end' only works where engines.ends",
    ),
    (
        "{ runaways: { acts: ['name', 'pause'] } }",
        "'pause' only works where engines.pauses",
    ),
    (
        "{ runaways: { acts: ['name', 'lower'] } }",
        "'lower' only works with 'hold'",
    ),
    (
        "{ runaways: { acts: ['hold'] } }",
        "'hold', 'pause' and 'end' require 'name', which reports the finding",
    ),
    ("{ runaways: { kinds: 5 } }", "runaways.kinds: must be 100"),
    (
        "{ runaways: { save_every: '1ms' } }",
        "save_every 1s or more",
    ),
    (
        "{ router+: { admin: '127.0.0.1:8080' } }",
        "router.admin: must differ from router.listen",
    ),
    ("{ limits: { tick: '0s' } }", "limits.tick: must be over 0"),
    (
        "{ discovery+: { every: '1ms' } }",
        "discovery.every: every and state_every must be 10ms",
    ),
    ("{ x: error 'own words' }", "own words"),
    ("{ x: nothing }", "nothing"),
];

/// Returns the errors of the example with a change in Jsonnet.
fn errors(change: &str) -> Vec<String> {
    match Settings::from_text("a.jsonnet", &format!("({EXAMPLE}) + {change}")) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_example_is_valid_and_converted_for_the_policy() {
    let settings = Settings::from_text("a.jsonnet", EXAMPLE).expect("valid");
    let policy_settings = settings.policy_settings();
    assert_eq!(
        policy_settings.classes[2].idempotency,
        hoptiller_policy::Idempotency::NotIdempotent
    );
    assert_eq!(
        (
            policy_settings.classes[1].kinds.clone(),
            policy_settings.classes[0].kinds.clone()
        ),
        (Some(vec![0]), None)
    );
    assert_eq!(
        (
            policy_settings.classes[0].latency_objective,
            policy_settings.rules.slow_start_window
        ),
        (1_500_000, 14_000_000)
    );
    assert!(hoptiller_policy::Controller::new(policy_settings, 1).is_ok());
}

#[test]
fn each_invalid_setting_is_reported_with_its_key_path() {
    for (change, expected) in INVALID_CHANGES {
        let found = errors(change);
        assert!(
            found.iter().any(|error| error.contains(expected)),
            "{change}: expected {expected:?}, found {found:#?}"
        );
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let change = "{ router+: { lisen: 1, listen: 'x', name: '' }, rules+: { ramp: 1, fall: 2 }, kinds: null, odd: 1 }";
    assert!(errors(change).len() >= 7, "{:#?}", errors(change));
}

#[test]
fn text_that_is_not_a_settings_file_is_rejected_without_a_panic() {
    for text in [
        "",
        "{",
        "[]",
        "null",
        "1",
        "\"x\"",
        "{ a: self.a }",
        "local f(x) = f(x); f(1)",
        "\u{0}",
        "{ 'router': { }",
    ] {
        assert!(Settings::from_text("a.jsonnet", text).is_err(), "{text:?}");
    }
}
