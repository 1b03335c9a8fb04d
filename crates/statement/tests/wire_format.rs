//! The wire format, byte by byte: error names and codes, header names, token paths, JSON.

use std::time::{Duration, UNIX_EPOCH};

use hoptiller_statement::discovery::{AnnouncedService, Announcement, NodeState};
use hoptiller_statement::{
    ErrorName, HeaderError, Idempotency, PageToken, Phase, QueryError, QueryId, QueryResults,
    RecoveryState, State, Stats, TokenKey, client, extra,
};

#[test]
fn error_names_codes_and_types_are_stable() {
    let all = ErrorName::ALL.map(|error| {
        let error_type = serde_json::to_string(&error.error_type()).expect("JSON");
        let retryable = error.is_retryable();
        format!(
            "{} {:#x} {error_type} {retryable}",
            error.name(),
            error.code()
        )
    });
    assert_eq!(
        all,
        [
            r#"HOPTILLER_REFUSED 0x2f001 "INSUFFICIENT_RESOURCES" true"#,
            r#"HOPTILLER_ENDED_BY_RULE 0x2f003 "INSUFFICIENT_RESOURCES" true"#,
            r#"HOPTILLER_MAY_HAVE_RUN 0x100f001 "EXTERNAL" false"#,
            r#"HOPTILLER_RESULT_CUT 0x100f002 "EXTERNAL" false"#,
            r#"HOPTILLER_ROUTER_RESTARTED 0x2f002 "INSUFFICIENT_RESOURCES" true"#,
            r#"USER_CANCELED 0x3 "USER_ERROR" false"#,
            r#"ABANDONED_QUERY 0x10006 "INTERNAL_ERROR" false"#,
        ]
    );
    assert_eq!(
        ErrorName::ADMINISTRATIVELY_KILLED,
        "ADMINISTRATIVELY_KILLED"
    );
}

#[test]
fn token_paths_are_stable() {
    let key = TokenKey::new(b"secret", "r1");
    let id = QueryId::new(UNIX_EPOCH + Duration::from_secs(1_796_083_200), 7, "ab12");
    let token = |phase, idempotency| PageToken {
        id: id.clone(),
        page: 12,
        recovery: RecoveryState { idempotency, phase },
    };
    assert_eq!(
        key.page_path(&token(Phase::Waiting, Idempotency::NotIdempotent)),
        "/v1/statement/queued/20261201_000000_00007_ab12/usvekozlo7ymbfpik/12"
    );
    assert_eq!(
        key.page_path(&token(Phase::RowsDelivered, Idempotency::Idempotent)),
        "/v1/statement/executing/20261201_000000_00007_ab12/ss3dxozvaqlatvlhn/12"
    );
    assert_eq!(
        key.query_path(&id),
        "/v1/query/20261201_000000_00007_ab12/ba4sldc4coeverr4"
    );
}

#[test]
fn header_names_and_values_are_stable() {
    use client::names;
    assert_eq!(
        [
            names::USER,
            names::SOURCE,
            names::CLIENT_TAGS,
            names::SESSION,
            names::TRACE_TOKEN,
            names::MAX_RUN_TIME_PROPERTY
        ],
        [
            "X-Trino-User",
            "X-Trino-Source",
            "X-Trino-Client-Tags",
            "X-Trino-Session",
            "X-Trino-Trace-Token",
            "query_max_run_time",
        ]
    );
    assert_eq!(
        [
            extra::LOAD,
            extra::PROGRESS,
            extra::BLOCKED_BY,
            extra::EFFECTS,
            extra::COST,
            extra::ATTEMPT_OPTIONS,
            extra::STATEMENT_NAME,
            extra::CLASS,
            extra::CONFIG_VERSIONS,
            extra::ROUTER,
            extra::LEASE,
        ],
        [
            "X-Hoptiller-Load",
            "X-Hoptiller-Note",
            "X-Hoptiller-Behind",
            "X-Hoptiller-Effects",
            "X-Hoptiller-Cost",
            "X-Hoptiller-Terms",
            "X-Hoptiller-Statement",
            "X-Hoptiller-Class",
            "X-Hoptiller-Versions",
            "X-Hoptiller-Router",
            "X-Hoptiller-Lease",
        ]
    );
    assert_eq!(extra::statement_name("r1", "ab12", 7), "r1/00007_ab12");
    assert_eq!(
        extra::format_numbers(&[("cpu", 0.12349), ("in_flight", 3.0)]),
        "cpu=0.123; in_flight=3"
    );
}

#[test]
fn header_error_messages_are_stable() {
    let errors = [
        HeaderError::MissingUser,
        HeaderError::ConflictingTag("key"),
        HeaderError::TagLength("key"),
        HeaderError::InvalidSize("x".into()),
        HeaderError::InvalidEstimate("0s".into()),
        HeaderError::InvalidTimeout("1x".into()),
    ];
    assert_eq!(
        errors.map(|error| error.to_string()),
        [
            "X-Trino-User: must be set",
            "X-Trino-Client-Tags: key= is given twice with different values",
            "X-Trino-Client-Tags: key= must have 1 to 128 bytes",
            r#"X-Trino-Client-Tags: size= is "x"; expected a whole number from 1 to 10^12"#,
            concat!(
                r#"X-Trino-Client-Tags: estimate= is "0s"; expected a number greater than 0 and a unit "#,
                "(ns, us, ms, s, m, h, d), less than 366 days, such as 30s"
            ),
            concat!(
                r#"X-Trino-Session: query_max_run_time is "1x"; expected a number and a unit (ns, us, ms, s, m, h, d), "#,
                "less than 366 days, such as 30s"
            ),
        ]
    );
}

#[test]
fn json_of_results_and_announcements_is_stable() {
    let results = QueryResults {
        id: "q".into(),
        info_uri: "i".into(),
        next_uri: Some("n".into()),
        columns: None,
        data: None,
        stats: Stats::from_state(State::Queued),
        error: Some(QueryError::from_name(ErrorName::Rejected, "no slot".into())),
        warnings: Vec::new(),
        update_type: None,
        update_count: Some(1),
    };
    assert_eq!(
        serde_json::to_string(&results).expect("JSON"),
        concat!(
            r#"{"id":"q","infoUri":"i","nextUri":"n","stats":{"state":"QUEUED","queued":true,"#,
            r#""scheduled":false,"nodes":0,"totalSplits":0,"queuedSplits":0,"runningSplits":0,"#,
            r#""completedSplits":0,"cpuTimeMillis":0,"wallTimeMillis":0,"queuedTimeMillis":0,"#,
            r#""elapsedTimeMillis":0,"processedRows":0,"processedBytes":0,"peakMemoryBytes":0,"#,
            r#""spilledBytes":0},"error":{"message":"no slot","errorCode":192513,"#,
            r#""errorName":"HOPTILLER_REFUSED","errorType":"INSUFFICIENT_RESOURCES","#,
            r#""failureInfo":{"type":"HOPTILLER_REFUSED","message":"no slot"}},"warnings":[],"updateCount":1}"#
        )
    );
    let announcement = Announcement {
        environment: "e".into(),
        node_id: "n".into(),
        pool: "p".into(),
        location: "/z/n".into(),
        services: vec![AnnouncedService {
            id: "s".into(),
            service_type: "trino".into(),
            properties: [("http".into(), "h".into())].into(),
        }],
    };
    assert_eq!(
        serde_json::to_string(&announcement).expect("JSON"),
        r#"{"environment":"e","nodeId":"n","pool":"p","location":"/z/n","services":[{"id":"s","type":"trino","properties":{"http":"h"}}]}"#
    );
    for (text, state) in [
        ("ACTIVE", NodeState::Active),
        ("SHUTTING_DOWN", NodeState::ShuttingDown),
        ("DRAINED", NodeState::ShuttingDown),
    ] {
        assert_eq!(
            serde_json::from_value::<NodeState>(text.into()).expect("a state"),
            state
        );
    }
    assert_eq!(
        serde_json::from_value::<State>("NEW_STATE".into()).expect("a state"),
        State::Other
    );
}
