//! Faults that are injected to check that tests find them. A program that is built with the cargo feature `plant` can
//! inject one of them. Without the feature none is compiled in, and [`is_injected`] always returns `false`.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A router counts its lease from the response instead of the renewal.
    TermFromResponse = 1,
    /// A lease never expires.
    LeaseNeverExpires = 2,
    /// A version comes in force without waiting for the lease holders.
    SkipRolloutWait = 3,
    /// A replica that restarts has lost its promises and the log entries that were not decided.
    LoseDurableState = 4,
    /// A replica that starts does not count a whole term for earlier leases.
    SkipStartupTerm = 5,
    /// Fencing tokens are reused.
    ReuseFencingTokens = 6,
    /// A router uses its leases until they expire, without a margin for operations on their way.
    SkipMargin = 7,
    /// A router does not check a lease again before it sends an operation under it.
    SkipRevalidation = 8,
    /// A process uses the leases of an earlier process of the same router.
    IgnoreIncarnation = 9,
}

impl Fault {
    /// All faults, with their names on the command line.
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

    /// Returns the fault of a name on the command line.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, fault)| *fault)
    }
}

#[cfg(feature = "plant")]
static INJECTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Injects a fault into this process.
#[cfg(feature = "plant")]
pub fn inject(fault: Fault) {
    INJECTED.store(fault as u8, std::sync::atomic::Ordering::Relaxed);
}

/// Returns whether the fault is injected into this process.
#[cfg(feature = "plant")]
pub fn is_injected(fault: Fault) -> bool {
    INJECTED.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Returns whether the fault is injected into this process.
#[cfg(not(feature = "plant"))]
pub const fn is_injected(_: Fault) -> bool {
    false
}
