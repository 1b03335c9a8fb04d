use super::*;

#[test]
fn a_seed_draws_the_same_statements_as_ever() {
    let plan: ClientPlan = serde_json::from_value(serde_json::json!({
        "count": 2, "pause": "1.8s", "again": 0.5, "leave": 0.1,
        "mix": [
            { "class": "lookup", "part": 80, "text": "SELECT balance", "patience": "7.5s" },
            { "class": "report", "part": 14, "text": "SELECT arrears", "patience": "25s" },
            { "class": "rent-load", "part": 6, "text": "INSERT rent", "patience": "25s", "keys": 40 },
        ],
    }))
    .expect("clients");
    let mut drawn = String::new();
    for client in 0..3u32 {
        let mut person = Person {
            rng: StdRng::seed_from_u64(7u64.wrapping_mul(1_000_003) + u64::from(client)),
            home: 0,
            routers: Vec::new(),
            plan: plan.clone(),
            shared: Arc::new(Shared {
                stop: AtomicBool::new(false),
                rush: AtomicU64::new(1000),
                next: AtomicU64::new(0),
            }),
            recorder: Recorder::default(),
        };
        let retries = person.rng.random_bool(person.plan.again.clamp(0.0, 1.0));
        drawn.push_str(&format!("client {client} retries {retries}\n"));
        for _ in 0..25 {
            let pause = person.plan.pause.as_secs_f64() / 1.0
                * -person.rng.random_range(f64::EPSILON..1.0f64).ln();
            let pause = Duration::from_secs_f64(pause.min(60.0));
            let ask = person.draw();
            drawn.push_str(&format!(
                "{} {} {:?} {:?} {:?}\n",
                pause.as_nanos(),
                ask.trace,
                ask.key,
                ask.manner.leaves_after,
                ask.patience
            ));
        }
    }
    assert_eq!(
        drawn,
        include_str!("../../../../../fault-harness/tests/fixtures/drawn-statements.txt")
    );
}
