//! Rules shared by the tests.

use hoptiller_audit::{ClassRules, RetryBudget, Rules};

pub fn rules() -> Rules {
    let kinds = ["a".to_owned()].into();
    let classes = [
        (
            "lookup".to_owned(),
            ClassRules {
                latency_objective: 1_000,
                ..ClassRules::default()
            },
        ),
        (
            "report".to_owned(),
            ClassRules {
                machine_kinds: kinds,
                latency_objective: 1_000,
                ..ClassRules::default()
            },
        ),
        (
            "load".to_owned(),
            ClassRules {
                non_idempotent: true,
                ordered: true,
                latency_objective: 1_000,
                ..ClassRules::default()
            },
        ),
    ];
    Rules {
        classes: classes.into(),
        drain_grace: 100,
        max_attempts: 2,
        retry_budget: Some(RetryBudget {
            spare: 1.0,
            ratio: 0.0,
            span: 1_000,
        }),
        order_pause: 20_020,
        versions: None,
    }
}
