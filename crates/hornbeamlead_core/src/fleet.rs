//! Replicated configuration of the fleet; every process accepts or refuses notes by the same rules.

use crate::ids::{DataCentreName, JobName, LogOffset, NoteId, Revision, ServiceName, TeamName};
use crate::note::{
    DataCentreSpec, JobSpec, NoteItems, NoteNames, ReleaseNote, ServiceSpec, TeamSpec,
};
use std::collections::{BTreeMap, VecDeque};

pub mod refusal;
pub mod snapshot;

pub use refusal::{ItemKind, NoteRefusal};
pub use snapshot::{FleetSnapshot, NoteResult};

/// Maximum number of note ids remembered to detect a note that was appended twice.
pub const MAX_REMEMBERED_NOTES: usize = 4096;

/// Current configuration, built by applying the notes stream in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    next: LogOffset,
    revision: Revision,
    data_centres: BTreeMap<DataCentreName, DataCentreSpec>,
    teams: BTreeMap<TeamName, TeamSpec>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    jobs: BTreeMap<JobName, JobSpec>,
    note_results: VecDeque<NoteResult>,
}

impl FleetState {
    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the data centres by name.
    #[must_use]
    pub fn data_centres(&self) -> &BTreeMap<DataCentreName, DataCentreSpec> {
        &self.data_centres
    }

    /// Returns the teams by name.
    #[must_use]
    pub fn teams(&self) -> &BTreeMap<TeamName, TeamSpec> {
        &self.teams
    }

    /// Returns the services by name.
    #[must_use]
    pub fn services(&self) -> &BTreeMap<ServiceName, ServiceSpec> {
        &self.services
    }

    /// Returns the jobs by name.
    #[must_use]
    pub fn jobs(&self) -> &BTreeMap<JobName, JobSpec> {
        &self.jobs
    }

    /// Returns whether a data centre is declared and in service.
    #[must_use]
    pub fn in_service(&self, name: &DataCentreName) -> bool {
        self.data_centres
            .get(name)
            .is_some_and(|spec| spec.in_service)
    }

    /// Returns the result of a remembered note.
    #[must_use]
    pub fn note_result(&self, id: &NoteId) -> Option<&NoteResult> {
        self.note_results
            .iter()
            .rev()
            .find(|note_result| note_result.id == *id)
    }

    /// Skips a record that holds no note, such as one that cannot be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        if offset >= self.next {
            self.next = LogOffset(offset.0.saturating_add(1));
        }
    }

    /// Applies the note at `offset`; the result is the same in every process.
    ///
    /// Offsets that were applied before are ignored, so the state never reverts.
    ///
    /// # Errors
    /// Returns the reason if the note is refused; the configuration is then unchanged, apart from
    /// the remembered id.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        note: &ReleaseNote,
    ) -> Result<Revision, NoteRefusal> {
        if offset < self.next {
            return Ok(self.revision);
        }
        self.skip(offset);
        if let Some(earlier) = self.note_result(&note.id) {
            let earlier = earlier.revision.unwrap_or_default();
            return Err(NoteRefusal::UsedId {
                id: note.id.clone(),
                earlier,
            });
        }
        let result = self.accept(note);
        let revision = result.as_ref().ok().map(|()| Revision::after(offset));
        self.remember(NoteResult {
            id: note.id.clone(),
            revision,
        });
        result.map(|()| {
            self.revision = Revision::after(offset);
            self.revision
        })
    }

    /// Replaces this state by a complete snapshot that is newer; returns whether it did.
    pub fn load(&mut self, snapshot: &FleetSnapshot) -> bool {
        if snapshot.up_to <= self.next || !snapshot.is_complete() {
            return false;
        }
        let mut loaded = Self {
            next: snapshot.up_to,
            revision: snapshot.revision,
            note_results: snapshot.note_results.iter().cloned().collect(),
            ..Self::default()
        };
        loaded.insert(&snapshot.items);
        *self = loaded;
        true
    }

    /// Returns a complete snapshot of the configuration.
    #[must_use]
    pub fn snapshot(&self) -> FleetSnapshot {
        FleetSnapshot {
            up_to: self.next,
            revision: self.revision,
            part: 0,
            parts: 1,
            items: NoteItems {
                data_centres: self.data_centres.values().cloned().collect(),
                teams: self.teams.values().cloned().collect(),
                services: self.services.values().cloned().collect(),
                jobs: self.jobs.values().cloned().collect(),
            },
            note_results: self.note_results.iter().cloned().collect(),
        }
    }

    fn remember(&mut self, note_result: NoteResult) {
        if self.note_results.len() == MAX_REMEMBERED_NOTES {
            self.note_results.pop_front();
        }
        self.note_results.push_back(note_result);
    }

    fn accept(&mut self, note: &ReleaseNote) -> Result<(), NoteRefusal> {
        match note.based_on {
            Some(based_on) if based_on != self.revision => {
                return Err(NoteRefusal::Outdated {
                    based_on,
                    current: self.revision,
                });
            }
            Some(_) | None => {}
        }
        self.check_added(&note.added)?;
        self.check_changed(&note.changed)?;
        self.check_withdrawn(&note.withdrawn)?;
        self.check_references(note)?;
        self.remove(&note.withdrawn);
        self.insert(&note.added);
        self.insert(&note.changed);
        Ok(())
    }

    fn check_added(&self, added: &NoteItems) -> Result<(), NoteRefusal> {
        for spec in &added.data_centres {
            ensure_absent(&self.data_centres, &spec.name, ItemKind::DataCentre)?;
        }
        for spec in &added.teams {
            ensure_absent(&self.teams, &spec.name, ItemKind::Team)?;
        }
        for spec in &added.services {
            ensure_absent(&self.services, &spec.name, ItemKind::Service)?;
        }
        for spec in &added.jobs {
            ensure_absent(&self.jobs, &spec.name, ItemKind::Job)?;
        }
        Ok(())
    }

    fn check_changed(&self, changed: &NoteItems) -> Result<(), NoteRefusal> {
        for spec in &changed.data_centres {
            ensure_present(&self.data_centres, &spec.name, ItemKind::DataCentre)?;
        }
        for spec in &changed.teams {
            ensure_present(&self.teams, &spec.name, ItemKind::Team)?;
        }
        for spec in &changed.services {
            ensure_present(&self.services, &spec.name, ItemKind::Service)?;
        }
        for spec in &changed.jobs {
            ensure_present(&self.jobs, &spec.name, ItemKind::Job)?;
        }
        Ok(())
    }

    fn check_withdrawn(&self, withdrawn: &NoteNames) -> Result<(), NoteRefusal> {
        for name in &withdrawn.data_centres {
            ensure_present(&self.data_centres, name, ItemKind::DataCentre)?;
        }
        for name in &withdrawn.teams {
            ensure_present(&self.teams, name, ItemKind::Team)?;
        }
        for name in &withdrawn.services {
            ensure_present(&self.services, name, ItemKind::Service)?;
        }
        for name in &withdrawn.jobs {
            ensure_present(&self.jobs, name, ItemKind::Job)?;
        }
        Ok(())
    }

    /// Checks that the jobs added or changed by a note reference declared items, and that no other
    /// job references an item that the note withdraws.
    fn check_references(&self, note: &ReleaseNote) -> Result<(), NoteRefusal> {
        for spec in note.added.jobs.iter().chain(&note.changed.jobs) {
            self.check_job(spec, note)?;
        }
        for name in &note.withdrawn.teams {
            let referencing_job = self.find_unchanged_job(note, |job| job.team == *name);
            ensure_unused(referencing_job, ItemKind::Team, name.as_str())?;
        }
        for name in &note.withdrawn.data_centres {
            let referencing_job =
                self.find_unchanged_job(note, |job| job.data_centres.contains(name));
            ensure_unused(referencing_job, ItemKind::DataCentre, name.as_str())?;
        }
        Ok(())
    }

    /// Finds a job that satisfies the condition and is neither changed nor withdrawn by the note.
    fn find_unchanged_job(
        &self,
        note: &ReleaseNote,
        condition: impl Fn(&JobSpec) -> bool,
    ) -> Option<&JobSpec> {
        let changed = |job: &JobSpec| note.changed.jobs.iter().any(|spec| spec.name == job.name);
        self.jobs
            .values()
            .filter(|job| condition(job))
            .find(|job| !note.withdrawn.jobs.contains(&job.name) && !changed(job))
    }

    fn check_job(&self, spec: &JobSpec, note: &ReleaseNote) -> Result<(), NoteRefusal> {
        let dangling = |kind, name: &str| NoteRefusal::Dangling {
            job: spec.name.clone(),
            kind,
            name: name.into(),
        };
        if !self.is_team_declared_after(&spec.team, note) {
            return Err(dangling(ItemKind::Team, spec.team.as_str()));
        }
        let unknown = spec
            .data_centres
            .iter()
            .find(|name| !self.is_data_centre_declared_after(name, note));
        match unknown {
            Some(name) => Err(dangling(ItemKind::DataCentre, name.as_str())),
            None => Ok(()),
        }
    }

    fn is_team_declared_after(&self, name: &TeamName, note: &ReleaseNote) -> bool {
        let kept = self.teams.contains_key(name) && !note.withdrawn.teams.contains(name);
        kept || note.added.teams.iter().any(|spec| spec.name == *name)
    }

    fn is_data_centre_declared_after(&self, name: &DataCentreName, note: &ReleaseNote) -> bool {
        let withdrawn = note.withdrawn.data_centres.contains(name);
        let kept = self.data_centres.contains_key(name) && !withdrawn;
        kept || note
            .added
            .data_centres
            .iter()
            .any(|spec| spec.name == *name)
    }

    fn remove(&mut self, names: &NoteNames) {
        names
            .data_centres
            .iter()
            .for_each(|name| drop(self.data_centres.remove(name)));
        names
            .teams
            .iter()
            .for_each(|name| drop(self.teams.remove(name)));
        names
            .services
            .iter()
            .for_each(|name| drop(self.services.remove(name)));
        names
            .jobs
            .iter()
            .for_each(|name| drop(self.jobs.remove(name)));
    }

    fn insert(&mut self, items: &NoteItems) {
        for spec in &items.data_centres {
            self.data_centres.insert(spec.name.clone(), spec.clone());
        }
        for spec in &items.teams {
            self.teams.insert(spec.name.clone(), spec.clone());
        }
        for spec in &items.services {
            self.services.insert(spec.name.clone(), spec.clone());
        }
        for spec in &items.jobs {
            self.jobs.insert(spec.name.clone(), spec.clone());
        }
    }
}

fn ensure_absent<K, V>(map: &BTreeMap<K, V>, name: &K, kind: ItemKind) -> Result<(), NoteRefusal>
where
    K: Ord + std::fmt::Display,
{
    if map.contains_key(name) {
        return Err(NoteRefusal::Exists {
            kind,
            name: name.to_string().into(),
        });
    }
    Ok(())
}

fn ensure_present<K, V>(map: &BTreeMap<K, V>, name: &K, kind: ItemKind) -> Result<(), NoteRefusal>
where
    K: Ord + std::fmt::Display,
{
    if map.contains_key(name) {
        return Ok(());
    }
    Err(NoteRefusal::Missing {
        kind,
        name: name.to_string().into(),
    })
}

fn ensure_unused(
    referencing_job: Option<&JobSpec>,
    kind: ItemKind,
    name: &str,
) -> Result<(), NoteRefusal> {
    match referencing_job {
        Some(job) => Err(NoteRefusal::InUse {
            kind,
            name: name.into(),
            job: job.name.clone(),
        }),
        None => Ok(()),
    }
}
