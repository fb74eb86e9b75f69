//! Changes of single objects of a declaration.
//!
//! A declaration of 17,000 VMs is too long to be written to the log for each change, so a record
//! may contain only the edits. For optimistic concurrency control, every edit names the version of
//! the object that its author saw: the offset of the record that last declared the object, or none
//! if the object must not exist yet. A record is accepted as a whole or not at all.

use {
    crate::{
        fleet::{Declaration, Pool, Service, Team, Vm, Wave},
        id::{ObjectId, Offset},
        state::State,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Adds, replaces or removes one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit<T> {
    /// Name of the object.
    pub id: String,
    /// Version of the object that the author saw; `None` if it did not exist.
    pub expected: Option<Offset>,
    /// New value; `None` to remove the object.
    pub value: Option<T>,
}

/// An edit, by kind of object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Edit of a pool.
    Pool(Edit<Pool>),
    /// Edit of a VM; that of an already declared VM takes effect when the VM is empty.
    Vm(Edit<Vm>),
    /// Edit of a service.
    Service(Edit<Service>),
    /// Edit of a team.
    Team(Edit<Team>),
    /// Edit of a maintenance wave.
    Wave(Edit<Wave>),
}

impl Change {
    /// Kind and name of the object, such as `vm/a1`.
    pub fn object(&self) -> ObjectId {
        match self {
            Self::Pool(e) => format!("pool/{}", e.id),
            Self::Vm(e) => format!("vm/{}", e.id),
            Self::Service(e) => format!("service/{}", e.id),
            Self::Team(e) => format!("team/{}", e.id),
            Self::Wave(e) => format!("wave/{}", e.id),
        }
    }

    /// Version of the object that the author saw.
    pub fn expected(&self) -> Option<Offset> {
        match self {
            Self::Pool(e) => e.expected,
            Self::Vm(e) => e.expected,
            Self::Service(e) => e.expected,
            Self::Team(e) => e.expected,
            Self::Wave(e) => e.expected,
        }
    }
}

/// Versions of all declared objects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versions(IndexMap<ObjectId, Offset>);

impl Versions {
    /// Version of an object; `None` if it is not declared.
    pub fn get(&self, object: &ObjectId) -> Option<Offset> {
        self.0.get(object).copied()
    }

    pub(crate) fn set(&mut self, object: ObjectId, version: Offset) {
        self.0.insert(object, version);
    }

    pub(crate) fn remove(&mut self, object: &ObjectId) {
        self.0.swap_remove(object);
    }
}

/// Edits that lead from the declaration in `state` to `wanted`, each expecting the version in
/// `state`.
pub fn between(state: &State, wanted: &Declaration) -> Vec<Change> {
    let found = &state.declaration;
    let version_of = |kind: &str, id: &str| state.versions.get(&format!("{kind}/{id}"));
    let declared_vm = |id: &String| match state.moves.get(id) {
        Some(pending) => pending.to.as_ref(),
        None => found.vms.get(id),
    };
    let known: Vec<_> = found.vms.keys().filter(|id| declared_vm(id).is_some()).collect();
    let mut changes = Vec::new();
    let maps = (&found.pools, &wanted.pools);
    edits(maps.0.keys(), maps.1, |id| maps.0.get(id), |id| version_of("pool", id))
        .for_each(|e| changes.push(Change::Pool(e)));
    edits(known.into_iter(), &wanted.vms, declared_vm, |id| version_of("vm", id))
        .for_each(|e| changes.push(Change::Vm(e)));
    let maps = (&found.services, &wanted.services);
    edits(maps.0.keys(), maps.1, |id| maps.0.get(id), |id| version_of("service", id))
        .for_each(|e| changes.push(Change::Service(e)));
    let maps = (&found.teams, &wanted.teams);
    edits(maps.0.keys(), maps.1, |id| maps.0.get(id), |id| version_of("team", id))
        .for_each(|e| changes.push(Change::Team(e)));
    let maps = (&found.waves, &wanted.waves);
    edits(maps.0.keys(), maps.1, |id| maps.0.get(id), |id| version_of("wave", id))
        .for_each(|e| changes.push(Change::Wave(e)));
    changes
}

/// Edits that lead to the objects in `wanted` from the existing ones, whose names are `known` and
/// whose values `get` returns.
fn edits<'a, T: Clone + PartialEq + 'a>(
    known: impl Iterator<Item = &'a String> + 'a,
    wanted: &'a IndexMap<String, T>,
    get: impl Fn(&String) -> Option<&'a T> + 'a,
    version: impl Fn(&str) -> Option<Offset> + Copy + 'a,
) -> impl Iterator<Item = Edit<T>> + 'a {
    let removed = known.filter(|id| !wanted.contains_key(*id)).map(move |id| Edit {
        id: id.clone(),
        expected: version(id),
        value: None,
    });
    let changed =
        wanted.iter().filter(move |(id, value)| get(id) != Some(*value)).map(move |(id, value)| {
            Edit { id: id.clone(), expected: version(id), value: Some(value.clone()) }
        });
    removed.chain(changed)
}
