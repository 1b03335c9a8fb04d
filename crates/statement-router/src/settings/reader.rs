//! Typed access to a JSON value that collects all errors, each with its key path, instead of stopping at the first.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hoptiller_statement::parse_duration;
use serde_json::Value;

use super::SettingError;

/// Maximum length of a text, in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Limit below which a number in floating-point form is exact as a whole number.
const WHOLE_NUMBER_LIMIT: f64 = 9e15;
/// Maximum edit distance between an unknown key and the key that is suggested for it.
const MAX_SUGGESTION_DISTANCE: usize = 3;
/// Characters of a key that are compared for suggestions.
const COMPARED_CHARS: usize = 64;

const DURATION_HINT: &str = "expected a duration with its unit, such as '250ms', '1.5s' or '2m'";

/// A reader that collects the errors of the values it reads.
pub(super) struct Reader<'a> {
    file_name: &'a str,
    errors: Vec<SettingError>,
}

/// An object at a key path, with the keys that have been read.
pub(super) struct Object<'v> {
    path: String,
    fields: Option<&'v serde_json::Map<String, Value>>,
    read_keys: BTreeSet<&'static str>,
}

impl<'v> Object<'v> {
    /// Returns whether the value is an object.
    pub(super) fn is_present(&self) -> bool {
        self.fields.is_some()
    }

    /// Returns the fields, in the order of their keys.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&'v String, &'v Value)> + use<'v> {
        self.fields.into_iter().flatten()
    }

    /// Returns the path of a key of this object.
    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

impl<'a> Reader<'a> {
    pub(super) fn new(file_name: &'a str) -> Reader<'a> {
        Reader {
            file_name,
            errors: Vec::new(),
        }
    }

    pub(super) fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    /// Records an error.
    pub(super) fn reject(&mut self, path: impl AsRef<str>, reason: impl Into<String>) {
        self.errors.push(SettingError {
            place: format!("{}: {}", self.file_name, path.as_ref()),
            reason: reason.into(),
        });
    }

    /// Returns the value as an object. `null` is an object without fields.
    pub(super) fn object<'v>(&mut self, value: &'v Value, path: &str) -> Object<'v> {
        let fields = value.as_object();
        if fields.is_none() && !value.is_null() {
            self.reject(path, "expected an object");
        }
        Object {
            path: path.to_owned(),
            fields,
            read_keys: BTreeSet::new(),
        }
    }

    /// Returns the object at a required key. A missing object is reported once, not for each of its keys.
    pub(super) fn child<'v>(
        &mut self,
        parent: &mut Object<'v>,
        key: &'static str,
    ) -> Option<Object<'v>> {
        let value = self.required(parent, key)?;
        let path = parent.path_of(key);
        let child = self.object(value, &path);
        child.is_present().then_some(child)
    }

    /// Returns the object at an optional key, or an empty object if it is missing.
    pub(super) fn optional_child<'v>(
        &mut self,
        parent: &mut Object<'v>,
        key: &'static str,
    ) -> Object<'v> {
        let path = parent.path_of(key);
        let value = self.optional(parent, key).unwrap_or(&Value::Null);
        self.object(value, &path)
    }

    /// Returns the value at a key, or `None` if it is missing or `null`.
    pub(super) fn optional<'v>(
        &mut self,
        object: &mut Object<'v>,
        key: &'static str,
    ) -> Option<&'v Value> {
        object.read_keys.insert(key);
        object
            .fields
            .and_then(|fields| fields.get(key))
            .filter(|value| !value.is_null())
    }

    /// Returns the value at a key; a missing key or `null` is an error.
    pub(super) fn required<'v>(
        &mut self,
        object: &mut Object<'v>,
        key: &'static str,
    ) -> Option<&'v Value> {
        let value = self.optional(object, key);
        if value.is_none() {
            self.reject(object.path_of(key), "missing");
        }
        value
    }

    /// Finishes reading an object. Rejects the keys that were not read as unknown.
    pub(super) fn finish(&mut self, object: Object<'_>) {
        for (key, _) in object.entries() {
            if object.read_keys.contains(key.as_str()) {
                continue;
            }
            let hint = closest_known_key(&object.read_keys, key)
                .map_or(String::new(), |near| format!("; did you mean {near:?}?"));
            self.reject(object.path_of(key), format!("unknown key{hint}"));
        }
    }

    pub(super) fn text(&mut self, object: &mut Object<'_>, key: &'static str) -> Option<String> {
        let value = self.required(object, key)?;
        match value.as_str() {
            Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Some(text.to_owned()),
            _ => {
                self.reject(
                    object.path_of(key),
                    format!("expected a string of 1 to {MAX_TEXT_BYTES} bytes"),
                );
                None
            }
        }
    }

    pub(super) fn address(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let text = self.text(object, key)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.reject(
                object.path_of(key),
                format!("{text:?} is no address; expected one such as '127.0.0.1:8080'"),
            );
        }
        address
    }

    /// Returns a finite number of 0 or more. The key is required if there is no default.
    pub(super) fn number(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
        default: Option<f64>,
    ) -> Option<f64> {
        let value = match default {
            None => self.required(object, key)?,
            Some(default) => match self.optional(object, key) {
                None => return Some(default),
                Some(value) => value,
            },
        };
        let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if number.is_none() {
            self.reject(
                object.path_of(key),
                format!("expected a number of 0 or more, found {value}"),
            );
        }
        number
    }

    /// Returns a whole number of 0 or more.
    pub(super) fn count(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
        default: u64,
    ) -> Option<u64> {
        let Some(value) = self.optional(object, key) else {
            return Some(default);
        };
        // Jsonnet has only floating-point numbers. It writes whole ones without a fraction, but a number in
        // floating-point form is accepted too.
        let number = value.as_u64().or_else(|| {
            value
                .as_f64()
                .filter(|n| *n >= 0.0 && n.fract() == 0.0 && *n < WHOLE_NUMBER_LIMIT)
                .map(|n| n as u64)
        });
        if number.is_none() {
            self.reject(
                object.path_of(key),
                format!("expected a whole number of 0 or more, found {value}"),
            );
        }
        number
    }

    pub(super) fn flag(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
        default: bool,
    ) -> Option<bool> {
        let Some(value) = self.optional(object, key) else {
            return Some(default);
        };
        if !value.is_boolean() {
            self.reject(
                object.path_of(key),
                format!("expected true or false, found {value}"),
            );
        }
        value.as_bool()
    }

    pub(super) fn duration(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
    ) -> Option<Duration> {
        let value = self.required(object, key)?;
        self.parse_duration(object, key, value)
    }

    pub(super) fn duration_or(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
        default: Duration,
    ) -> Option<Duration> {
        match self.optional(object, key) {
            None => Some(default),
            Some(value) => self.parse_duration(object, key, value),
        }
    }

    fn parse_duration(
        &mut self,
        object: &Object<'_>,
        key: &str,
        value: &Value,
    ) -> Option<Duration> {
        let duration = value.as_str().and_then(parse_duration);
        if duration.is_none() {
            self.reject(
                object.path_of(key),
                format!("{value} is not a duration; {DURATION_HINT}"),
            );
        }
        duration
    }

    /// Returns the indices of the names in a list, or `None` if the key is missing.
    pub(super) fn indices(
        &mut self,
        object: &mut Object<'_>,
        key: &'static str,
        known: &[String],
    ) -> Option<Vec<usize>> {
        let value = self.optional(object, key)?;
        let path = object.path_of(key);
        let Some(names) = value.as_array().filter(|names| !names.is_empty()) else {
            self.reject(path, "expected a list of at least one name");
            return None;
        };
        let mut indices = Vec::new();
        for (position, name) in names.iter().enumerate() {
            match known.iter().position(|k| name.as_str() == Some(k.as_str())) {
                Some(index) => indices.push(index),
                None => self.reject(
                    format!("{path}[{position}]"),
                    format!("unknown name {name}; expected one of {}", known.join(", ")),
                ),
            }
        }
        Some(indices)
    }

    /// Returns the fields of an object whose values are numbers over 0.
    pub(super) fn positive_numbers(
        &mut self,
        value: &Value,
        path: &str,
    ) -> Option<Vec<(String, f64)>> {
        let Some(fields) = value.as_object() else {
            self.reject(path, "expected an object of names and numbers");
            return None;
        };
        let mut numbers = Vec::new();
        for (name, value) in fields {
            match value.as_f64().filter(|n| n.is_finite() && *n > 0.0) {
                Some(number) => numbers.push((name.clone(), number)),
                None => self.reject(
                    format!("{path}.{name}"),
                    format!("expected a number over 0, found {value}"),
                ),
            }
        }
        Some(numbers)
    }
}

/// Returns the known key that is closest to an unknown one, if it is close enough.
fn closest_known_key(known: &BTreeSet<&'static str>, key: &str) -> Option<&'static str> {
    known
        .iter()
        .copied()
        .min_by_key(|known| edit_distance(known, key))
        .filter(|known| edit_distance(known, key) <= MAX_SUGGESTION_DISTANCE)
}

/// Returns the Levenshtein distance of two texts.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(COMPARED_CHARS).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut left = i + 1;
        for (j, y) in b.iter().enumerate() {
            let next = (row[j] + usize::from(x != *y))
                .min(left + 1)
                .min(row[j + 1] + 1);
            row[j] = left;
            left = next;
        }
        row[b.len()] = left;
    }
    row[b.len()]
}
