//! The conditions under which the same statements are run.

use serde::Serialize;

/// The reports of engines and the enforcement by routers in a run. The serialized names are those of stored figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Condition {
    /// Whether engines report the progress of their statements.
    #[serde(rename = "notes")]
    pub reports_progress: bool,
    /// Whether engines report their load.
    #[serde(rename = "reports")]
    pub reports_load: bool,
    /// Whether routers hold the fingerprints of runaways.
    #[serde(rename = "hold")]
    pub holds_runaways: bool,
    /// Whether routers kill runaways 5 s after they are found; engines then prove that everything is rolled back.
    #[serde(rename = "end")]
    pub kills_runaways: bool,
}

impl Condition {
    /// The condition of the settings, under which routers find and hold runaways.
    const AS_SET: Condition = Condition {
        reports_progress: true,
        reports_load: true,
        holds_runaways: true,
        kills_runaways: false,
    };
    /// The conditions of the study.
    pub const ALL: [Condition; 5] = [
        Condition::AS_SET,
        Condition {
            holds_runaways: false,
            ..Condition::AS_SET
        },
        Condition {
            kills_runaways: true,
            ..Condition::AS_SET
        },
        Condition {
            reports_progress: false,
            ..Condition::AS_SET
        },
        Condition {
            reports_load: false,
            ..Condition::AS_SET
        },
    ];

    /// Describes the differences from the condition of the settings.
    pub fn description(&self) -> String {
        let differences = [
            (!self.reports_progress, "without notes"),
            (!self.reports_load, "without reports"),
            (!self.holds_runaways, "without holding"),
            (self.kills_runaways, "ended by rule"),
        ];
        let described: Vec<&str> = differences
            .iter()
            .filter(|(differs, _)| *differs)
            .map(|(_, description)| *description)
            .collect();
        if described.is_empty() {
            "as set".into()
        } else {
            described.join(", ")
        }
    }
}
