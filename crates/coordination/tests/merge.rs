//! The merge of documents: a semilattice that permits nothing that either side forbids.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::document;
use hoptiller_coordination::{Change, ConfigDuration, Document};
use hoptiller_coordination::{Endpoint, EndpointList, EndpointSources, EngineState};
use hoptiller_coordination::{Idempotency, InDoubtPolicy, RetryBudget, StatementClass};
use proptest::prelude::*;

fn subset_of(names: &'static [&'static str]) -> impl Strategy<Value = BTreeSet<String>> {
    proptest::sample::subsequence(names, 0..=names.len())
        .prop_map(|picked| picked.into_iter().map(str::to_owned).collect())
}

fn number() -> impl Strategy<Value = f64> {
    (1u32..5).prop_map(f64::from)
}

fn duration() -> impl Strategy<Value = ConfigDuration> {
    (1u64..5).prop_map(|seconds| ConfigDuration::from_millis(seconds * 1000))
}

prop_compose! {
    fn class()(
        aim in duration(), patience in duration(), never in any::<bool>(), in_order in any::<bool>(), worth in number(),
        threads in number(), holds in any::<bool>(), kinds in proptest::option::of(subset_of(&["a", "b", "c"])),
        zones in proptest::option::of(subset_of(&["x", "y"])), policy in 0..3,
    ) -> StatementClass {
        StatementClass {
            aim, patience, in_order, worth, threads, holds, kinds, zones,
            stretch: 0.0,
            late_worth: 0.5,
            repeat: if never { Idempotency::NonIdempotent } else { Idempotency::Idempotent },
            in_doubt: [None, Some(InDoubtPolicy::Serve), Some(InDoubtPolicy::Reject)][policy as usize],
        }
    }
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    let state = prop_oneof![
        Just(EngineState::Up),
        Just(EngineState::Draining),
        Just(EngineState::Gone)
    ];
    (1u64..4, state).prop_map(|(started_at_ms, state)| Endpoint {
        started_at_ms,
        state,
    })
}

fn endpoint_list() -> impl Strategy<Value = EndpointList> {
    proptest::collection::btree_map("[ef]", endpoint(), 0..3).prop_map(EndpointList::from_iter)
}

prop_compose! {
    fn documents()(
        kinds in subset_of(&["a", "b", "c"]), cores in number(), zones in subset_of(&["x", "y"]),
        classes in proptest::collection::btree_map("[lrk]", class(), 0..4), default in proptest::option::of("[lr]"),
        attempts in 1u32..4, budget in proptest::option::of((number(), duration())), flags in any::<[bool; 5]>(),
        overload in number(), pause in duration(), list in proptest::option::of(endpoint_list()), tenants in subset_of(&["t", "u"]),
    ) -> Document {
        let mut document = document();
        document.kinds = kinds.into_iter().map(|kind| (kind, cores)).collect();
        document.zones = zones;
        document.tenants = tenants.into_iter().map(|tenant| (tenant, cores)).collect();
        document.classes = classes;
        document.default_class = default;
        document.engines.max_attempts = attempts;
        document.engines.budget = budget.map(|(spare, within)| RetryBudget { spare, ratio: 0.1, within });
        let engines = &mut document.engines;
        [engines.probes, engines.cancel, engines.priorities, engines.ends, engines.pauses] = flags;
        document.rules.overload = overload;
        document.rules.order_pause = pause;
        document.list = list;
        // The merge with itself removes machine kinds, zones and a default class that the document does not declare, as
        // validation requires.
        document.merge(&document)
    }
}

/// Returns whether `lax` permits everything that `strict` permits.
fn is_at_least_as_strict(strict: &Document, lax: &Document) -> bool {
    let is_subset = |s: &Option<BTreeSet<String>>,
                     l: &Option<BTreeSet<String>>,
                     known: &dyn Fn(&String) -> bool| match (s, l) {
        (Some(s), Some(l)) => s.is_subset(l),
        (None, Some(_)) => false,
        (Some(s), None) => s.iter().all(known),
        (None, None) => true,
    };
    let class = |(name, s): (&String, &StatementClass)| {
        let Some(l) = lax.classes.get(name) else {
            return false;
        };
        s.patience <= l.patience
            && s.repeat >= l.repeat
            && s.in_order >= l.in_order
            && s.holds >= l.holds
            && s.threads >= l.threads
            && (s.in_doubt_policy() == InDoubtPolicy::Reject
                || l.in_doubt_policy() == InDoubtPolicy::Serve)
            && is_subset(&s.kinds, &l.kinds, &|kind| lax.kinds.contains_key(kind))
            && is_subset(&s.zones, &l.zones, &|zone| lax.zones.contains(zone))
    };
    let (s, l) = (&strict.engines, &lax.engines);
    let budget = match (&s.budget, &l.budget) {
        (Some(s), Some(l)) => s.spare <= l.spare && s.ratio <= l.ratio && s.within >= l.within,
        (None, Some(_)) => false,
        _ => true,
    };
    let flags = |engines: &hoptiller_coordination::EngineSettings| {
        [
            engines.probes,
            engines.cancel,
            engines.priorities,
            engines.ends,
            engines.pauses,
        ]
    };
    let list = match (&strict.list, &lax.list) {
        (None, Some(_)) => false,
        // A process accepts work only if both lists allow it; for a newer process the newer state applies.
        (Some(s), Some(l)) => s.iter().all(|(name, s)| {
            l.get(name).is_some_and(|l| {
                s.started_at_ms > l.started_at_ms
                    || (s.started_at_ms == l.started_at_ms && s.state >= l.state)
            })
        }),
        _ => true,
    };
    strict.classes.iter().all(class)
        && strict
            .kinds
            .iter()
            .all(|(k, cores)| lax.kinds.get(k).is_some_and(|l| cores <= l))
        && strict.zones.is_subset(&lax.zones)
        && strict
            .tenants
            .keys()
            .all(|tenant| lax.tenants.contains_key(tenant))
        && (strict.default_class.is_none() || strict.default_class == lax.default_class)
        && s.max_attempts <= l.max_attempts
        && flags(s).iter().zip(flags(l)).all(|(s, l)| *s <= l)
        && budget
        && strict.rules.start_capacity <= lax.rules.start_capacity
        && strict.rules.ramp >= lax.rules.ramp
        && strict.rules.overload <= lax.rules.overload
        && strict.rules.fall <= lax.rules.fall
        && strict.rules.order_pause >= lax.rules.order_pause
        && strict.rules.drain_grace <= lax.rules.drain_grace
        && list
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn merge_is_a_semilattice_and_never_looser(a in documents(), b in documents(), c in documents()) {
        prop_assert_eq!(&a.merge(&b), &b.merge(&a));
        prop_assert_eq!(a.merge(&b).merge(&c), a.merge(&b.merge(&c)));
        prop_assert_eq!(&a.merge(&a), &a);
        let merged = a.merge(&b);
        prop_assert!(is_at_least_as_strict(&merged, &a) && is_at_least_as_strict(&merged, &b), "{merged:?}");
    }

    #[test]
    fn changes_are_classified_by_what_they_permit(a in documents(), b in documents()) {
        match a.change_to(&b) {
            Change::Neutral => prop_assert!(is_at_least_as_strict(&a, &b) && is_at_least_as_strict(&b, &a)),
            Change::Tighter => prop_assert!(is_at_least_as_strict(&b, &a)),
            Change::Looser => prop_assert!(is_at_least_as_strict(&a, &b)),
            Change::Mixed => {}
        }
        prop_assert_eq!(a.differences(&b).is_empty(), a == b);
    }

    #[test]
    fn documents_round_trip_through_json(a in documents()) {
        let read = Document::from_json(&a.to_json()).expect("readable");
        prop_assert_eq!(read.digest(), a.digest());
        prop_assert_eq!(read, a);
    }

    #[test]
    fn endpoint_lists_merge_to_the_same_in_any_order(a in endpoint_list(), b in endpoint_list(), c in endpoint_list()) {
        let merge_in_order = |order: [&EndpointList; 3]| {
            let mut sources = EndpointSources::default();
            for (index, list) in order.into_iter().enumerate() {
                // A source has the same name in either order.
                let source = [&a, &b, &c].iter().position(|l| std::ptr::eq(*l, list)).unwrap_or(index);
                sources.update(&source.to_string(), list.clone());
            }
            sources.merged().clone()
        };
        prop_assert_eq!(merge_in_order([&a, &b, &c]), merge_in_order([&c, &a, &b]));
    }
}

#[test]
fn each_rule_merges_to_the_stricter_value() {
    let (mut a, mut b) = (document(), document());
    let set_report_kinds = |document: &mut Document, kinds: &[&str]| {
        let report = document.classes.get_mut("report");
        report.expect("the class exists").kinds =
            Some(kinds.iter().map(|kind| (*kind).to_owned()).collect());
    };
    set_report_kinds(&mut a, &["a", "b"]);
    set_report_kinds(&mut b, &["b"]);
    b.classes
        .get_mut("lookup")
        .expect("the class exists")
        .repeat = Idempotency::NonIdempotent;
    a.classes
        .get_mut("lookup")
        .expect("the class exists")
        .in_order = true;
    (a.engines.max_attempts, b.engines.max_attempts) = (2, 3);
    b.classes.remove("load");
    b.default_class = Some("report".into());
    let merged = a.merge(&b);
    assert_eq!(
        merged.classes["report"].kinds,
        Some(BTreeSet::from(["b".to_owned()]))
    );
    assert_eq!(merged.classes["lookup"].repeat, Idempotency::NonIdempotent);
    assert!(merged.classes["lookup"].in_order && !merged.classes.contains_key("load"));
    assert_eq!(
        (merged.engines.max_attempts, merged.default_class.as_ref()),
        (2, None)
    );
    let changed: BTreeMap<String, Change> = a
        .differences(&b)
        .into_iter()
        .map(|difference| (difference.path, difference.change))
        .collect();
    assert_eq!(changed["classes.load"], Change::Tighter);
    assert_eq!(changed["classes.report.kinds"], Change::Tighter);
    assert_eq!(changed["classes.lookup.in_order"], Change::Looser);
    assert_eq!(changed["engines.max_attempts"], Change::Looser);
    assert_eq!(a.change_to(&b), Change::Mixed);
    b = a.clone();
    b.classes.get_mut("report").expect("the class exists").worth = 9.0;
    assert_eq!(a.change_to(&b), Change::Neutral, "weights restrict nothing");
}

#[test]
fn an_unknown_setting_is_an_error() {
    let mut value: serde_json::Value = serde_json::from_slice(&document().to_json()).expect("JSON");
    value["engines"]["no_such_setting"] = true.into();
    let error =
        Document::from_json(&serde_json::to_vec(&value).expect("JSON")).expect_err("rejected");
    assert!(error.message.contains("no_such_setting"), "{error}");
    let mut later_format = document();
    later_format.form = 2;
    assert_eq!(later_format.validation_errors().len(), 1);
}

#[test]
fn validation_errors_name_the_rule() {
    let mut invalid = document();
    invalid
        .classes
        .get_mut("load")
        .expect("the class exists")
        .in_doubt = Some(InDoubtPolicy::Serve);
    invalid
        .classes
        .get_mut("report")
        .expect("the class exists")
        .kinds = Some(BTreeSet::from(["q".to_owned()]));
    invalid.engines.max_attempts = 0;
    invalid.rules.overload = 0.5;
    let errors = invalid.validation_errors();
    for (path, rule) in [
        ("classes.load.in_doubt", "rule 2"),
        ("classes.report.kinds", "rule 6"),
        ("engines.max_attempts", "rule 7"),
        ("rules.overload", "rule 4"),
    ] {
        let is_found = errors
            .iter()
            .any(|error| error.path == path && error.message.contains(rule));
        assert!(is_found, "{path} in {errors:?}");
    }
    assert!(document().validation_errors().is_empty());
}

#[test]
fn a_regressed_or_conflicting_list_keeps_the_known_state() {
    let list = |engines: &[(&str, u64, EngineState)]| {
        engines
            .iter()
            .map(|(name, started_at_ms, state)| {
                let endpoint = Endpoint {
                    started_at_ms: *started_at_ms,
                    state: *state,
                };
                ((*name).to_owned(), endpoint)
            })
            .collect::<EndpointList>()
    };
    let mut sources = EndpointSources::default();
    assert!(
        sources
            .update(
                "r1",
                list(&[
                    ("e", 50_000, EngineState::Draining),
                    ("f", 1, EngineState::Up)
                ])
            )
            .changed
    );
    let update = sources.update("r2", list(&[("e", 50_000, EngineState::Up)]));
    assert_eq!(
        (update.regressed, update.conflicting),
        (vec!["e".to_owned()], vec!["e".to_owned()])
    );
    assert!(
        !sources.merged().accepts_work("e", 50_000),
        "a drain that one source reported stays"
    );
    assert_eq!(sources.single_source_endpoints(), ["f"]);
    // A newer process of the same name accepts work, even if one list is not updated yet.
    sources.update("r2", list(&[("e", 90_000, EngineState::Up)]));
    assert!(
        sources.merged().accepts_work("e", 90_000) && !sources.merged().accepts_work("e", 50_000)
    );
    // An engine that no source reports any more is gone, and an old list does not bring it back.
    sources.update("r1", list(&[("e", 90_000, EngineState::Up)]));
    assert!(!sources.merged().accepts_work("f", 1));
    assert_eq!(
        sources
            .update(
                "r2",
                list(&[("f", 1, EngineState::Up), ("e", 90_000, EngineState::Up)])
            )
            .regressed,
        ["f"]
    );
    assert!(!sources.merged().accepts_work("f", 1));
}
