//! Differences between two declarations, for operators.

use {
    crate::fleet::Declaration,
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Difference in one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub id: String,
    /// How it changes.
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

/// How an object changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It is added.
    Added,
    /// It is removed.
    Removed,
    /// These of its fields change.
    Changed(Vec<Field>),
}

/// Change of one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    /// Name of the field, prefixed with the tables that contain it.
    pub name: String,
    /// Value in the old declaration.
    pub old: Value,
    /// Value in the new declaration.
    pub new: Value,
}

/// Returns the objects that differ between two declarations, regardless of the order of objects.
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
    let (old, new) = (flatten(old), flatten(new));
    let names: IndexSet<&String> = old.keys().chain(new.keys()).collect();
    let value = |flat: &IndexMap<String, Value>, name: &String| {
        flat.get(name).cloned().unwrap_or(Value::Null)
    };
    let fields = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    fields
        .map(|name| Field { name: name.clone(), old: value(&old, name), new: value(&new, name) })
        .collect()
}

/// Fields of an object, with those of nested tables flattened to `table.field`.
fn flatten<T: Serialize>(object: &T) -> IndexMap<String, Value> {
    let mut flat = IndexMap::new();
    // A declared object contains only what JSON can express.
    flatten_into("", serde_json::to_value(object).unwrap_or_default(), &mut flat);
    flat
}

fn flatten_into(path: &str, value: Value, flat: &mut IndexMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() { key } else { format!("{path}.{key}") };
                flatten_into(&path, value, flat);
            }
        }
        value => _ = flat.insert(String::from(path), value),
    }
}
