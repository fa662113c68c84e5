//! Checks of a release note as a whole.

use crate::finding::FindingLog;
use crate::section::Section;
use hornbeamlead_core::fleet::ItemKind;
use hornbeamlead_core::note::{NoteItems, NoteNames};
use std::collections::BTreeMap;

/// Name of an item that a note touches, with its kind.
type TouchedItem = (u8, Box<str>);

/// Reports a note that changes nothing, and items that it touches twice.
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
    let mut touched = BTreeMap::new();
    touch_all(section, "added", names_of(added), &mut touched, log);
    touch_all(section, "changed", names_of(changed), &mut touched, log);
    touch_all(section, "withdrawn", listed(withdrawn), &mut touched, log);
}

fn touch_all(
    section: &Section<'_>,
    key: &'static str,
    names: Vec<(ItemKind, &str)>,
    touched: &mut BTreeMap<TouchedItem, &'static str>,
    log: &mut FindingLog<'_>,
) {
    for (kind, name) in names {
        if let Some(earlier) = touched.insert((kind as u8, name.into()), key) {
            let place = section.offset_of(key);
            let cause = format!("{key} names {kind} {name}, which {earlier} names already");
            log.add(place, cause, "name each item once in a note");
        }
    }
}

fn names_of(items: &NoteItems) -> Vec<(ItemKind, &str)> {
    let centres = items.data_centres.iter().map(|spec| spec.name.as_str());
    let teams = items.teams.iter().map(|spec| spec.name.as_str());
    let services = items.services.iter().map(|spec| spec.name.as_str());
    let jobs = items.jobs.iter().map(|spec| spec.name.as_str());
    by_kind(centres, teams, services, jobs)
}

fn listed(names: &NoteNames) -> Vec<(ItemKind, &str)> {
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
