use super::*;

/// The documents and clients do not matter to the draws, only the names of the documents.
fn day_with_random_events() -> Day {
    let document = serde_json::json!({
        "form": 1, "kinds": { "a": 8 }, "engines": {},
        "classes": { "lookup": { "aim": "1s", "patience": "7s", "repeat": "safe" } },
        "rules": { "start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s" }
    });
    let names = ["first", "two", "one", "ordered", "never", "rested"];
    let documents: serde_json::Map<String, serde_json::Value> = names
        .iter()
        .map(|name| ((*name).to_owned(), document.clone()))
        .collect();
    serde_json::from_value(serde_json::json!({
        "lasts": "30s", "random_every": "2s", "documents": documents,
        "clients": { "count": 1, "pause": "1s", "mix": [] }
    }))
    .expect("a day")
}

#[test]
fn a_seed_draws_the_same_events_as_ever() {
    let day = day_with_random_events();
    let mut drawn = String::new();
    for seed in [1, 7, 42] {
        for event in day.drawn(&mut Dice::new(seed), 4, 3) {
            drawn.push_str(&format!("{seed} {} {:?}\n", event.at, event.what));
        }
    }
    assert_eq!(
        drawn,
        include_str!("../../tests/fixtures/random-events.txt")
    );
}
