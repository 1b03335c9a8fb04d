//! Owns faults that are planted to see whether they are found: a program with the cargo feature `plant` has one of them where
//! it is told so. Without the feature none is compiled in, and [`is`] is `false` for good.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Plant {
    /// A router counts its permit from the answer.
    FromTheAnswer = 1,
    /// A permit never ends.
    NeverEnds = 2,
    /// A change comes in force without waiting for permits.
    NoWait = 3,
    /// A keeper that starts again forgets what it had promised, and what was not decided.
    Forgets = 4,
    /// A keeper that starts counts no term for what others were granted before.
    NoTerm = 5,
    /// Numbers of leases do not grow.
    ForgetsNumbers = 6,
    /// A router uses its leases up to the last moment, whatever an act takes on its way.
    NoMargin = 7,
    /// An act under a lease is not looked at again before it is sent.
    NotAgain = 8,
    /// A process takes what was granted to an earlier one of its name for its own.
    EarlierLife = 9,
}

impl Plant {
    /// All, by the names under which they are asked for.
    pub const ALL: [(&str, Plant); 9] = [
        ("from-the-answer", Plant::FromTheAnswer),
        ("never-ends", Plant::NeverEnds),
        ("no-wait", Plant::NoWait),
        ("forgets", Plant::Forgets),
        ("no-term", Plant::NoTerm),
        ("forgets-numbers", Plant::ForgetsNumbers),
        ("no-margin", Plant::NoMargin),
        ("not-again", Plant::NotAgain),
        ("earlier-life", Plant::EarlierLife),
    ];

    /// The one of that name.
    pub fn named(name: &str) -> Option<Plant> {
        Plant::ALL
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, plant)| *plant)
    }
}

#[cfg(feature = "plant")]
static PLANTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Plants a fault in this process. Only in programs with the feature.
#[cfg(feature = "plant")]
pub fn plant(plant: Plant) {
    PLANTED.store(plant as u8, std::sync::atomic::Ordering::Relaxed);
}

/// Whether that fault is planted in this process.
#[cfg(feature = "plant")]
pub fn is(plant: Plant) -> bool {
    PLANTED.load(std::sync::atomic::Ordering::Relaxed) == plant as u8
}

/// Whether that fault is planted in this process.
#[cfg(not(feature = "plant"))]
pub const fn is(_: Plant) -> bool {
    false
}
