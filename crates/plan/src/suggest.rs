//! Suggestions for mistyped names.

/// Maximum number of suggestions for one name.
const MAX_SUGGESTIONS: usize = 3;

/// Returns the known names most similar to the unknown one, closest first.
///
/// At most a third of the unknown name's characters may differ, but two always may.
pub fn suggest<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> Vec<String> {
    let max_distance = (unknown.chars().count() / 3).max(2);
    let mut candidates: Vec<(usize, &str)> = known
        .map(|name| (distance(unknown, name), name))
        .filter(|(distance, _)| *distance <= max_distance)
        .collect();
    candidates.sort();
    candidates.into_iter().take(MAX_SUGGESTIONS).map(|(_, name)| name.to_owned()).collect()
}

/// Returns the Levenshtein distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replace = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against suggestions that are unrelated to the mistyped name.
    #[test]
    fn suggests_close_names_and_omits_distant_ones() {
        let known = ["augsburg", "augsburg-2", "muenchen"];
        assert_eq!(suggest("augsbrug", known.into_iter()), ["augsburg"]);
        assert_eq!(distance("kitten", "sitting"), 3);
    }
}
