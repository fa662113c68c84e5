//! Reads one JSON object; reports unknown keys, duplicate keys, wrong types and contradictions.

use crate::finding::FindingLog;
use crate::name_suggestion::closest_name;
use crate::value::{SettingValue, type_name};
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::collections::BTreeSet;

/// Largest file that is parsed, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// JSON object that is being read. Each key that is looked up counts as known; [`Section::finish`]
/// reports all others.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    object: &'a Object<'a>,
    path: Box<str>,
    known: Vec<&'static str>,
    invalid_keys: BTreeSet<&'static str>,
}

/// Parses a file and passes its root object to `read`.
pub(crate) fn parse_document<T>(
    text: &str,
    log: &mut FindingLog<'_>,
    read: impl FnOnce(Section<'_>, &mut FindingLog<'_>) -> Option<T>,
) -> Option<T> {
    if text.len() > MAX_TEXT_BYTES {
        let cause = format!("the file has {} bytes", text.len());
        log.add(0, cause, format!("keep it below {MAX_TEXT_BYTES} bytes"));
        return None;
    }
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            let cause = format!("not valid JSON with comments: {}", error.kind());
            log.add(error.range().start, cause, "correct the syntax here");
            return None;
        }
    };
    match &parsed.value {
        Some(Value::Object(object)) => read(Section::new(object, "".into(), log), log),
        Some(other) => {
            let cause = format!("the file holds {}, not an object", type_name(other));
            log.add(other.start(), cause, "begin with { and end with }");
            None
        }
        None => {
            log.add(0, "the file is empty", "write an object: { ... }");
            None
        }
    }
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

impl<'a> Section<'a> {
    fn new(object: &'a Object<'a>, path: Box<str>, log: &mut FindingLog<'_>) -> Self {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                let cause = format!("{path}{name} is written twice");
                log.add(property.start(), cause, "keep one of them");
            }
        }
        Self {
            object,
            path,
            known: Vec::new(),
            invalid_keys: BTreeSet::new(),
        }
    }

    /// Returns the value of a required key.
    pub(crate) fn required<T: SettingValue>(
        &mut self,
        key: &'static str,
        log: &mut FindingLog<'_>,
    ) -> Option<T> {
        if self.find(key).is_none() {
            self.report_missing(key, T::EXAMPLE, log);
            return None;
        }
        self.optional(key, log)
    }

    /// Returns the value of an optional key.
    pub(crate) fn optional<T: SettingValue>(
        &mut self,
        key: &'static str,
        log: &mut FindingLog<'_>,
    ) -> Option<T> {
        let property = self.find(key)?;
        match T::convert(&property.value) {
            Ok(value) => Some(value),
            Err(cause) => {
                let cause = format!("{}{key}: {cause}", self.path);
                let fix = format!("write it like {}", T::EXAMPLE);
                log.add(property.value.start(), cause, fix);
                self.invalid_keys.insert(key);
                None
            }
        }
    }

    /// Returns the value of a key, or the default if the key is absent or its value is invalid.
    pub(crate) fn or_default<T: SettingValue>(
        &mut self,
        key: &'static str,
        default: T,
        log: &mut FindingLog<'_>,
    ) -> T {
        self.optional(key, log).unwrap_or(default)
    }

    /// Returns the valid values of a list, which is empty if the key is absent.
    pub(crate) fn list<T: SettingValue>(
        &mut self,
        key: &'static str,
        log: &mut FindingLog<'_>,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for (index, element) in self.elements(key, log).iter().enumerate() {
            match T::convert(element) {
                Ok(value) => values.push(value),
                Err(cause) => {
                    let cause = format!("{}{key}[{index}]: {cause}", self.path);
                    let fix = format!("write it like {}", T::EXAMPLE);
                    log.add(element.start(), cause, fix);
                    self.invalid_keys.insert(key);
                }
            }
        }
        values
    }

    /// Returns the objects of a list, which is empty if the key is absent.
    pub(crate) fn sections(&mut self, key: &'static str, log: &mut FindingLog<'_>) -> Vec<Self> {
        let mut sections = Vec::new();
        for (index, element) in self.elements(key, log).iter().enumerate() {
            let path = format!("{}{key}[{index}]", self.path);
            sections.extend(self.open(key, path, element, log));
        }
        sections
    }

    /// Returns the object of an optional key.
    pub(crate) fn section(&mut self, key: &'static str, log: &mut FindingLog<'_>) -> Option<Self> {
        let property = self.find(key)?;
        let path = format!("{}{key}", self.path);
        self.open(key, path, &property.value, log)
    }

    /// Returns the object of a required key.
    pub(crate) fn required_section(
        &mut self,
        key: &'static str,
        example: &str,
        log: &mut FindingLog<'_>,
    ) -> Option<Self> {
        if self.find(key).is_none() {
            self.report_missing(key, example, log);
            return None;
        }
        self.section(key, log)
    }

    /// Reports a key that is valid for another role only.
    pub(crate) fn forbid(&mut self, key: &'static str, reason: &str, log: &mut FindingLog<'_>) {
        if let Some(property) = self.find(key) {
            let cause = format!("{}{key} has no place here: {reason}", self.path);
            log.add(property.start(), cause, "remove it");
        }
    }

    /// Reports `cause` unless `holds`, at the first of `keys` that is present, or else at the
    /// object. Does nothing if one of the keys already has a finding.
    pub(crate) fn check(
        &self,
        holds: bool,
        keys: &[&'static str],
        cause: impl FnOnce() -> String,
        fix: &str,
        log: &mut FindingLog<'_>,
    ) {
        if holds || keys.iter().any(|key| self.invalid_keys.contains(key)) {
            return;
        }
        let property = keys.iter().find_map(|key| self.object.get(key));
        let offset = property.map_or(self.object.start(), |property| property.value.start());
        log.add(offset, format!("{}{}", self.path, cause()), fix);
    }

    /// Marks keys as known without reading them.
    pub(crate) fn allow(&mut self, keys: &[&'static str]) {
        self.known.extend(keys);
    }

    /// Returns the byte offset of a key's value, or of the object if the key is absent.
    pub(crate) fn offset_of(&self, key: &str) -> usize {
        let property = self.object.get(key);
        property.map_or(self.object.start(), |property| property.value.start())
    }

    pub(crate) fn has(&self, key: &str) -> bool {
        self.object.get(key).is_some()
    }

    /// Reports all unknown keys.
    pub(crate) fn finish(self, log: &mut FindingLog<'_>) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            if self.known.contains(&name) {
                continue;
            }
            let fix = match closest_name(name, &self.known) {
                Some(known) => format!("did you mean {known:?}?"),
                None => format!("remove it; known here are {}", self.known.join(", ")),
            };
            let cause = format!("{}{name} is no known key", self.path);
            log.add(property.start(), cause, fix);
        }
    }

    fn find(&mut self, key: &'static str) -> Option<&'a ObjectProp<'a>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.object.get(key)
    }

    fn elements(&mut self, key: &'static str, log: &mut FindingLog<'_>) -> &'a [Value<'a>] {
        let Some(property) = self.find(key) else {
            return &[];
        };
        match &property.value {
            Value::Array(array) => &array.elements,
            other => {
                let cause = format!("{}{key} is {}, not a list", self.path, type_name(other));
                log.add(other.start(), cause, "put it in [ ]");
                self.invalid_keys.insert(key);
                &[]
            }
        }
    }

    fn open(
        &mut self,
        key: &'static str,
        path: String,
        value: &'a Value<'a>,
        log: &mut FindingLog<'_>,
    ) -> Option<Self> {
        match value {
            Value::Object(object) => Some(Self::new(object, format!("{path}.").into(), log)),
            other => {
                let cause = format!("{path} is {}, not an object", type_name(other));
                log.add(other.start(), cause, "write an object: { ... }");
                self.invalid_keys.insert(key);
                None
            }
        }
    }

    fn report_missing(&mut self, key: &'static str, example: &str, log: &mut FindingLog<'_>) {
        let cause = format!("{}{key} is missing", self.path);
        let fix = format!("add \"{key}\": {example}");
        log.add(self.object.start(), cause, fix);
        self.invalid_keys.insert(key);
    }
}
