//! Suggests the known name that a misspelt one most likely stands for.

/// Most single-character edits between a misspelt name and its suggestion.
const MAX_EDITS: usize = 3;

/// Returns the known name nearest to `unknown`, if one is near enough.
pub(crate) fn nearest<'a>(unknown: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (edits(unknown, name), *name))
        .filter(|(edits, name)| *edits <= MAX_EDITS && *edits < name.len())
        .min()
        .map(|(_, name)| name)
}

/// Counts the edits (insert, remove, replace) that turn one text into the other.
fn edits(left: &str, right: &str) -> usize {
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
