//! Faults that are injected to check that tests find them: a program with the cargo feature `plant` has one of them where it
//! is told so. Without the feature none is compiled in, and [`is_injected`] is always `false`.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A router counts its lease from the response.
    TermFromResponse = 1,
    /// A lease never expires.
    LeaseNeverExpires = 2,
    /// A version comes in force without waiting for leases.
    SkipRolloutWait = 3,
    /// A replica that restarts has lost its promises and what was not decided.
    LoseDurableState = 4,
    /// A replica that starts does not wait a term for earlier leases.
    SkipStartupTerm = 5,
    /// Fencing tokens do not grow.
    ReuseFencingTokens = 6,
    /// A router uses its leases up to the last moment, however long an operation is on its way.
    SkipMargin = 7,
    /// An operation under a lease is not checked again before it is sent.
    SkipRevalidation = 8,
    /// A process uses the leases of an earlier one of its name.
    IgnoreIncarnation = 9,
}

impl Fault {
    /// All faults, with their names on the command line.
    const ALL: [(&str, Fault); 9] = [
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

    /// The fault of that name on the command line.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, fault)| *fault)
    }
}

#[cfg(feature = "plant")]
static INJECTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Injects a fault into this process. Only in programs with the feature.
#[cfg(feature = "plant")]
pub fn inject(fault: Fault) {
    INJECTED.store(fault as u8, std::sync::atomic::Ordering::Relaxed);
}

/// Whether the fault is injected into this process.
#[cfg(feature = "plant")]
pub fn is_injected(fault: Fault) -> bool {
    INJECTED.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Whether the fault is injected into this process.
#[cfg(not(feature = "plant"))]
pub const fn is_injected(_: Fault) -> bool {
    false
}
