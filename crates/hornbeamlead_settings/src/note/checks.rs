//! Checks that span several items of a release note.

use crate::finding::FindingLog;
use crate::section::Section;
use hornbeamlead_core::fleet::ItemKind;
use hornbeamlead_core::note::{NoteItems, NoteNames};
use std::collections::BTreeMap;

/// Kind and name of an item.
type ItemKey = (u8, Box<str>);

/// Reports a note without changes, and items that a note names twice.
pub(super) fn check_changes(
    section: &Section<'_>,
    added: &NoteItems,
    changed: &NoteItems,
    withdrawn: &NoteNames,
    log: &mut FindingLog<'_>,
) {
    let lists = ["added", "changed", "withdrawn"];
    section.check(
        lists.iter().any(|key| section.has(key)),
        &[],
        || "the note adds, changes and withdraws nothing".to_owned(),
        "list something under added, changed or withdrawn",
        log,
    );
    let mut seen = BTreeMap::new();
    check_duplicates(section, "added", item_names(added), &mut seen, log);
    check_duplicates(section, "changed", item_names(changed), &mut seen, log);
    check_duplicates(
        section,
        "withdrawn",
        withdrawn_names(withdrawn),
        &mut seen,
        log,
    );
}

fn check_duplicates(
    section: &Section<'_>,
    key: &'static str,
    names: Vec<(ItemKind, &str)>,
    seen: &mut BTreeMap<ItemKey, &'static str>,
    log: &mut FindingLog<'_>,
) {
    for (kind, name) in names {
        if let Some(earlier) = seen.insert((kind as u8, name.into()), key) {
            let offset = section.offset_of(key);
            let cause = format!("{key} names {kind} {name}, which {earlier} names already");
            log.add(offset, cause, "name each item once in a note");
        }
    }
}

fn item_names(items: &NoteItems) -> Vec<(ItemKind, &str)> {
    let centres = items.data_centres.iter().map(|spec| spec.name.as_str());
    let teams = items.teams.iter().map(|spec| spec.name.as_str());
    let services = items.services.iter().map(|spec| spec.name.as_str());
    let jobs = items.jobs.iter().map(|spec| spec.name.as_str());
    by_kind(centres, teams, services, jobs)
}

fn withdrawn_names(names: &NoteNames) -> Vec<(ItemKind, &str)> {
    let centres = names.data_centres.iter().map(|name| name.as_str());
    let teams = names.teams.iter().map(|name| name.as_str());
    let services = names.services.iter().map(|name| name.as_str());
    let jobs = names.jobs.iter().map(|name| name.as_str());
    by_kind(centres, teams, services, jobs)
}

fn by_kind<'a>(
    centres: impl Iterator<Item = &'a str>,
    teams: impl Iterator<Item = &'a str>,
    services: impl Iterator<Item = &'a str>,
    jobs: impl Iterator<Item = &'a str>,
) -> Vec<(ItemKind, &'a str)> {
    let centres = centres.map(|name| (ItemKind::DataCentre, name));
    let teams = teams.map(|name| (ItemKind::Team, name));
    let services = services.map(|name| (ItemKind::Service, name));
    let jobs = jobs.map(|name| (ItemKind::Job, name));
    centres.chain(teams).chain(services).chain(jobs).collect()
}
