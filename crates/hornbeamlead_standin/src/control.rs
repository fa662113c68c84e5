//! Updates of a stand-in's settings at run time by JSON merge patches.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Applies a JSON merge patch to settings and returns the result.
///
/// Fails on invalid JSON and on settings that `T` rejects, such as unknown fields.
pub(crate) fn patch_settings<T>(current: &T, patch: &[u8]) -> Result<T, serde_json::Error>
where
    T: Serialize + DeserializeOwned,
{
    let mut merged = serde_json::to_value(current)?;
    merge(&mut merged, serde_json::from_slice(patch)?);
    serde_json::from_value(merged)
}

fn merge(target: &mut Value, patch: Value) {
    match (target, patch) {
        (Value::Object(fields), Value::Object(changes)) => {
            for (name, change) in changes {
                merge(fields.entry(name).or_insert(Value::Null), change);
            }
        }
        (target, patch) => *target = patch,
    }
}
