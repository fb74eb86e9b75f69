//! What a new declaration would change.

use {
    crate::fleet::Declaration,
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// One object that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Kind of the object.
    pub kind: Kind,
    /// Its name.
    pub id: String,
    /// What becomes of it.
    pub effect: Effect,
}

/// Kind of a declared object.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// pool
    Pool,
    /// vm
    Vm,
    /// service
    Service,
    /// team
    Team,
    /// wave
    Wave,
}

/// What becomes of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// Some of its fields differ.
    Changed(Vec<Field>),
}

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    /// Name, with the tables that hold it.
    pub name: String,
    /// Value in force.
    pub old: Value,
    /// Value declared.
    pub new: Value,
}

/// Objects that differ between the declaration in force and a new one; the order of objects does
/// not matter.
pub fn between(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let mut changes = objects(Kind::Pool, &old.pools, &new.pools);
    changes.extend(objects(Kind::Vm, &old.vms, &new.vms));
    changes.extend(objects(Kind::Service, &old.services, &new.services));
    changes.extend(objects(Kind::Team, &old.teams, &new.teams));
    changes.extend(objects(Kind::Wave, &old.waves, &new.waves));
    changes
}

fn objects<T: PartialEq + Serialize>(
    kind: Kind,
    old: &IndexMap<String, T>,
    new: &IndexMap<String, T>,
) -> Vec<Change> {
    let ids: IndexSet<&String> = old.keys().chain(new.keys()).collect();
    let changes = ids.into_iter().filter_map(|id| {
        let effect = effect(old.get(id), new.get(id))?;
        Some(Change { kind, id: id.clone(), effect })
    });
    changes.collect()
}

fn effect<T: PartialEq + Serialize>(old: Option<&T>, new: Option<&T>) -> Option<Effect> {
    match (old, new) {
        (None, None) => None,
        (None, Some(_)) => Some(Effect::Added),
        (Some(_), None) => Some(Effect::Removed),
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => Some(Effect::Changed(fields(old, new))),
    }
}

fn fields<T: Serialize>(old: &T, new: &T) -> Vec<Field> {
    let (old, new) = (leaves(old), leaves(new));
    let names: IndexSet<&String> = old.keys().chain(new.keys()).collect();
    let value = |leaves: &IndexMap<String, Value>, name: &String| {
        leaves.get(name).cloned().unwrap_or(Value::Null)
    };
    let fields = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    fields
        .map(|name| Field { name: name.clone(), old: value(&old, name), new: value(&new, name) })
        .collect()
}

/// Fields of an object and of the tables in it.
fn leaves<T: Serialize>(object: &T) -> IndexMap<String, Value> {
    let mut leaves = IndexMap::new();
    // A declared object holds nothing that JSON can't express.
    walk("", serde_json::to_value(object).unwrap_or_default(), &mut leaves);
    leaves
}

fn walk(path: &str, value: Value, leaves: &mut IndexMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() { key } else { format!("{path}.{key}") };
                walk(&path, value, leaves);
            }
        }
        value => _ = leaves.insert(String::from(path), value),
    }
}
