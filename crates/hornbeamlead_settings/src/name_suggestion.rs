//! Suggests a known name for a misspelled one.

/// Maximum edit distance between a misspelled name and its suggestion.
const MAX_EDITS: usize = 3;

/// Returns the known name with the smallest edit distance to `unknown`, if one is close enough.
pub(crate) fn closest_name<'a>(unknown: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (edit_distance(unknown, name), *name))
        .filter(|(edit_distance, name)| *edit_distance <= MAX_EDITS && *edit_distance < name.len())
        .min()
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance between two texts.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.chars().count()).collect();
    for (line, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, to) in right.chars().enumerate() {
            let replaced = diagonal + usize::from(from != to);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row.last().copied().unwrap_or_default()
}
