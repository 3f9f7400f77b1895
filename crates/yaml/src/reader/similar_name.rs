use std::collections::BTreeSet;

/// Minimum Jaro-Winkler similarity for a suggestion, between 0 and 1.
const MIN_SIMILARITY: f64 = 0.8;

/// Maximum length in bytes of a name that suggestions are searched for.
const MAX_COMPARED_BYTES: usize = 64;

/// Returns the known name most similar to `name`, if any is similar enough.
pub(crate) fn find_similar(name: &str, known: &BTreeSet<&'static str>) -> Option<&'static str> {
    if name.len() > MAX_COMPARED_BYTES {
        return None;
    }
    known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), *candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}
