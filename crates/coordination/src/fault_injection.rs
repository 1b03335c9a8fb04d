//! Owns faults that are planted to see whether they are found: a program with the cargo feature `plant` has one of them where
//! it is told so. Without the feature none is compiled in, and [`is`] is `false` for good.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A router counts its permit from the answer.
    TermFromResponse = 1,
    /// A permit never ends.
    LeaseNeverExpires = 2,
    /// A change comes in force without waiting for permits.
    SkipRolloutWait = 3,
    /// A keeper that starts again forgets what it had promised, and what was not decided.
    LoseDurableState = 4,
    /// A keeper that starts counts no term for what others were granted before.
    SkipStartupTerm = 5,
    /// Numbers of leases do not grow.
    ReuseFencingTokens = 6,
    /// A router uses its leases up to the last moment, whatever an act takes on its way.
    SkipMargin = 7,
    /// An act under a lease is not looked at again before it is sent.
    SkipRevalidation = 8,
    /// A process takes what was granted to an earlier one of its name for its own.
    IgnoreIncarnation = 9,
}

impl Fault {
    /// All, by the names under which they are asked for.
    pub const ALL: [(&str, Fault); 9] = [
        ("from-the-answer", Fault::TermFromResponse),
        ("never-ends", Fault::LeaseNeverExpires),
        ("no-wait", Fault::SkipRolloutWait),
        ("forgets", Fault::LoseDurableState),
        ("no-term", Fault::SkipStartupTerm),
        ("forgets-numbers", Fault::ReuseFencingTokens),
        ("no-margin", Fault::SkipMargin),
        ("not-again", Fault::SkipRevalidation),
        ("earlier-life", Fault::IgnoreIncarnation),
    ];

    /// The one of that name.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, plant)| *plant)
    }
}

#[cfg(feature = "plant")]
static PLANTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Plants a fault in this process. Only in programs with the feature.
#[cfg(feature = "plant")]
pub fn inject(plant: Fault) {
    PLANTED.store(plant as u8, std::sync::atomic::Ordering::Relaxed);
}

/// Whether that fault is planted in this process.
#[cfg(feature = "plant")]
pub fn is_injected(plant: Fault) -> bool {
    PLANTED.load(std::sync::atomic::Ordering::Relaxed) == plant as u8
}

/// Whether that fault is planted in this process.
#[cfg(not(feature = "plant"))]
pub const fn is_injected(_: Fault) -> bool {
    false
}
