//! Configuration of the fleet: the one function by which every process accepts or refuses a note.

use crate::ids::{DataCentreName, JobName, LogOffset, NoteId, Revision, ServiceName, TeamName};
use crate::note::{
    DataCentreSpec, JobSpec, NoteItems, NoteNames, ReleaseNote, ServiceSpec, TeamSpec,
};
use std::collections::{BTreeMap, VecDeque};

pub mod refusal;
pub mod snapshot;

pub use refusal::{ItemKind, NoteRefusal};
pub use snapshot::{FleetSnapshot, NoteResult};

/// Note ids remembered, so that a note that stands twice on the log is accepted once.
pub const REMEMBERED_NOTES: usize = 4096;

/// Configuration in force, made by applying the notes stream in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    next: LogOffset,
    revision: Revision,
    data_centres: BTreeMap<DataCentreName, DataCentreSpec>,
    teams: BTreeMap<TeamName, TeamSpec>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    jobs: BTreeMap<JobName, JobSpec>,
    fates: VecDeque<NoteResult>,
}

impl FleetState {
    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the offset that is to be applied next.
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

    /// Returns the fate of a remembered note.
    #[must_use]
    pub fn note_result(&self, id: &NoteId) -> Option<&NoteResult> {
        self.fates
            .iter()
            .rev()
            .find(|note_result| note_result.id == *id)
    }

    /// Passes over a record that holds no note, such as one that cannot be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        if offset >= self.next {
            self.next = LogOffset(offset.0.saturating_add(1));
        }
    }

    /// Applies the note at `offset`; the same input gives the same verdict in every process.
    ///
    /// An offset that was applied before changes nothing, so nothing ever reverts.
    ///
    /// # Errors
    /// Returns the refusal; the configuration is then unchanged but for the remembered id.
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
        let verdict = self.accept(note);
        let revision = verdict.as_ref().ok().map(|()| Revision::after(offset));
        self.remember(NoteResult {
            id: note.id.clone(),
            revision,
        });
        verdict.map(|()| {
            self.revision = Revision::after(offset);
            self.revision
        })
    }

    /// Loads a whole snapshot if it is ahead of this state; returns whether it was.
    pub fn load(&mut self, snapshot: &FleetSnapshot) -> bool {
        if snapshot.up_to <= self.next || !snapshot.is_whole() {
            return false;
        }
        let mut fresh = Self {
            next: snapshot.up_to,
            revision: snapshot.revision,
            fates: snapshot.fates.iter().cloned().collect(),
            ..Self::default()
        };
        fresh.insert(&snapshot.items);
        *self = fresh;
        true
    }

    /// Returns the whole configuration as a snapshot.
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
            fates: self.fates.iter().cloned().collect(),
        }
    }

    fn remember(&mut self, note_result: NoteResult) {
        if self.fates.len() == REMEMBERED_NOTES {
            self.fates.pop_front();
        }
        self.fates.push_back(note_result);
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
            absent(&self.data_centres, &spec.name, ItemKind::DataCentre)?;
        }
        for spec in &added.teams {
            absent(&self.teams, &spec.name, ItemKind::Team)?;
        }
        for spec in &added.services {
            absent(&self.services, &spec.name, ItemKind::Service)?;
        }
        for spec in &added.jobs {
            absent(&self.jobs, &spec.name, ItemKind::Job)?;
        }
        Ok(())
    }

    fn check_changed(&self, changed: &NoteItems) -> Result<(), NoteRefusal> {
        for spec in &changed.data_centres {
            present(&self.data_centres, &spec.name, ItemKind::DataCentre)?;
        }
        for spec in &changed.teams {
            present(&self.teams, &spec.name, ItemKind::Team)?;
        }
        for spec in &changed.services {
            present(&self.services, &spec.name, ItemKind::Service)?;
        }
        for spec in &changed.jobs {
            present(&self.jobs, &spec.name, ItemKind::Job)?;
        }
        Ok(())
    }

    fn check_withdrawn(&self, withdrawn: &NoteNames) -> Result<(), NoteRefusal> {
        for name in &withdrawn.data_centres {
            present(&self.data_centres, name, ItemKind::DataCentre)?;
        }
        for name in &withdrawn.teams {
            present(&self.teams, name, ItemKind::Team)?;
        }
        for name in &withdrawn.services {
            present(&self.services, name, ItemKind::Service)?;
        }
        for name in &withdrawn.jobs {
            present(&self.jobs, name, ItemKind::Job)?;
        }
        Ok(())
    }

    /// Checks that the jobs touched by a note name declared items, and that no other job loses one.
    fn check_references(&self, note: &ReleaseNote) -> Result<(), NoteRefusal> {
        for spec in note.added.jobs.iter().chain(&note.changed.jobs) {
            self.check_job(spec, note)?;
        }
        for name in &note.withdrawn.teams {
            let user = self.untouched_job(note, |job| job.team == *name);
            unused(user, ItemKind::Team, name.as_str())?;
        }
        for name in &note.withdrawn.data_centres {
            let user = self.untouched_job(note, |job| job.data_centres.contains(name));
            unused(user, ItemKind::DataCentre, name.as_str())?;
        }
        Ok(())
    }

    /// Finds a job that the note leaves as it is and that satisfies the condition.
    fn untouched_job(
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
        if !self.has_team_after(&spec.team, note) {
            return Err(dangling(ItemKind::Team, spec.team.as_str()));
        }
        let unknown = spec
            .data_centres
            .iter()
            .find(|name| !self.has_centre_after(name, note));
        match unknown {
            Some(name) => Err(dangling(ItemKind::DataCentre, name.as_str())),
            None => Ok(()),
        }
    }

    fn has_team_after(&self, name: &TeamName, note: &ReleaseNote) -> bool {
        let kept = self.teams.contains_key(name) && !note.withdrawn.teams.contains(name);
        kept || note.added.teams.iter().any(|spec| spec.name == *name)
    }

    fn has_centre_after(&self, name: &DataCentreName, note: &ReleaseNote) -> bool {
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

fn absent<K, V>(map: &BTreeMap<K, V>, name: &K, kind: ItemKind) -> Result<(), NoteRefusal>
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

fn present<K, V>(map: &BTreeMap<K, V>, name: &K, kind: ItemKind) -> Result<(), NoteRefusal>
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

fn unused(user: Option<&JobSpec>, kind: ItemKind, name: &str) -> Result<(), NoteRefusal> {
    match user {
        Some(job) => Err(NoteRefusal::InUse {
            kind,
            name: name.into(),
            job: job.name.clone(),
        }),
        None => Ok(()),
    }
}
