//! `docs/OPERATING.md` documents every settings key and every refusal and retry reason.

use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use rstest::rstest;

fn read_root(name: &str) -> String {
    let path = format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the file is readable")
}

/// Returns whether the page has a table row whose first cell is `name`.
fn has_row(page: &str, name: &str) -> bool {
    page.lines()
        .any(|line| line.starts_with(&format!("| `{name}` |")))
}

#[test]
fn reasons_listed() {
    let page = read_root("docs/OPERATING.md");
    let refusals = RefusalReason::ALL.iter().map(|reason| reason.as_str());
    let retries = RetryReason::ALL.iter().map(|reason| reason.as_str());
    for name in refusals.chain(retries) {
        assert!(has_row(&page, name), "{name} has no row");
    }
}

/// Takes the keys from the example files, which `examples_sound` compares with the policies.
#[rstest]
#[case("examples/settings/entry.json")]
#[case("examples/settings/agent.json")]
fn keys_listed(#[case] example: &str) {
    let page = read_root("docs/OPERATING.md");
    let example = read_root(example);
    let keys = example.lines().filter_map(|line| {
        let (key, _) = line.trim().strip_prefix('"')?.split_once("\":")?;
        Some(key.to_owned())
    });
    for key in keys.filter(|key| !is_section(key)) {
        assert!(
            page.contains(&format!("`{key}`")) || page.contains(&format!(".{key}`")),
            "{key}"
        );
    }
}

fn is_section(key: &str) -> bool {
    [
        "addresses",
        "log",
        "metrics",
        "requests",
        "schedule",
        "weights",
        "batch_capacity",
    ]
    .contains(&key)
}
