//! Statistics of small samples.

/// Returns the upper median; `None` if there are no samples.
pub(crate) fn median<T: Copy>(
    samples: impl IntoIterator<Item = T>,
    compare: impl Fn(&T, &T) -> std::cmp::Ordering,
) -> Option<T> {
    let mut sorted: Vec<T> = samples.into_iter().collect();
    sorted.sort_by(compare);
    sorted.get(sorted.len() / 2).copied()
}
