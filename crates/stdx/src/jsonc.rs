//! Reads JSON with comments and reports errors with file, line, column, path, value and the allowed values.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use thiserror::Error;

use crate::Name;

/// The result of reading a JSON text.
pub type Result<T> = std::result::Result<T, LocatedError>;

/// An error in a JSON text, with its position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}:{column}: {}{message}{}", self.path_prefix(), self.value_suffix())]
pub struct LocatedError {
    /// The file or section that holds the text.
    pub file: Name,
    /// One-based line number.
    pub line: usize,
    /// One-based column number, in characters.
    pub column: usize,
    /// The path to the value, such as `accounts[3].rate`; empty for a syntax error.
    pub path: Name,
    /// The text of the invalid value, truncated; empty for a container or a syntax error.
    pub value: Name,
    /// What is wrong and what is allowed.
    pub message: Name,
}

/// A JSON text, kept so that later checks can report positions in it.
#[derive(Debug, Clone)]
pub struct Source {
    file: Name,
    text: Name,
}

/// One step on the path to a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// An object property.
    Key(Name),
    /// An array element.
    Index(usize),
}

/// Reads a value from JSON with comments.
///
/// # Errors
///
/// Returns the first error with its position: a syntax error, a duplicate key, or a value that `T` does not accept.
pub fn from_str<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    Source::new(file, text).read()
}

impl Source {
    /// Creates a source from a file name and its text.
    pub fn new(file: impl AsRef<str>, text: impl AsRef<str>) -> Self {
        Self { file: Name::new(file), text: Name::new(text) }
    }

    /// Reads a value from the text.
    ///
    /// # Errors
    ///
    /// Returns the first error with its position.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T> {
        let root = self.parse()?;
        self.reject_duplicate_keys(&root, &mut Vec::new())?;
        let value: serde_json::Value = root.into();
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path: Vec<Step> = e.path().iter().filter_map(step_of).collect();
            self.error_at(&path, &e.inner().to_string())
        })
    }

    /// Creates an error at the position of the value at `path`, or of its nearest existing parent.
    pub fn error_at(&self, path: &[Step], message: &str) -> LocatedError {
        let root = self.parse().ok();
        let found = root.as_ref().map(|it| nearest(it, path));
        let (offset, value) = found.map_or((0, Name::new("")), |it| (it.start(), scalar_text(it)));
        self.error(offset, path, value, message)
    }

    fn parse(&self) -> Result<Value<'_>> {
        let parsed = jsonc_parser::parse_to_ast(
            &self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        )
        .map_err(|e| self.error(e.range().start, &[], Name::new(""), &e.kind().to_string()))?;
        parsed
            .value
            .ok_or_else(|| self.error(0, &[], Name::new(""), "the text holds no JSON value"))
    }

    fn reject_duplicate_keys(&self, value: &Value<'_>, path: &mut Vec<Step>) -> Result<()> {
        match value {
            Value::Object(object) => {
                if let Some((key, offset)) = duplicate_key(object) {
                    path.push(Step::Key(Name::new(key)));
                    return Err(self.error(offset, path, Name::new(""), "duplicate key"));
                }
                for property in &object.properties {
                    path.push(Step::Key(Name::new(property.name.as_str())));
                    self.reject_duplicate_keys(&property.value, path)?;
                    path.pop();
                }
            }
            Value::Array(array) => {
                for (i, element) in array.elements.iter().enumerate() {
                    path.push(Step::Index(i));
                    self.reject_duplicate_keys(element, path)?;
                    path.pop();
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn error(&self, offset: usize, path: &[Step], value: Name, message: &str) -> LocatedError {
        let before = self.text.get(..offset).unwrap_or(&self.text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        LocatedError {
            file: self.file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path: path_text(path),
            value,
            message: Name::new(message),
        }
    }
}

impl LocatedError {
    fn path_prefix(&self) -> String {
        if self.path.is_empty() { String::new() } else { format!("{}: ", self.path) }
    }

    fn value_suffix(&self) -> String {
        if self.value.is_empty() { String::new() } else { format!(" (found {})", self.value) }
    }
}

fn step_of(segment: &Segment) -> Option<Step> {
    match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Key(Name::new(key))),
        Segment::Enum { variant } => Some(Step::Key(Name::new(variant))),
        Segment::Unknown => None,
    }
}

fn duplicate_key<'a>(object: &'a Object<'_>) -> Option<(&'a str, usize)> {
    let mut seen = std::collections::HashSet::new();
    let property = object.properties.iter().find(|it| !seen.insert(it.name.as_str()))?;
    Some((property.name.as_str(), property.range.start))
}

fn nearest<'v, 'a>(root: &'v Value<'a>, path: &[Step]) -> &'v Value<'a> {
    let mut value = root;
    for step in path {
        let child = match (step, value) {
            (Step::Key(key), Value::Object(object)) => object
                .properties
                .iter()
                .find(|it| it.name.as_str() == key.as_str())
                .map(|it| &it.value),
            (Step::Index(i), Value::Array(array)) => array.elements.get(*i),
            _ => None,
        };
        let Some(child) = child else { break };
        value = child;
    }
    value
}

/// Returns the text of a scalar, or an empty text for a container, whose text can be megabytes long.
fn scalar_text(value: &Value<'_>) -> Name {
    const MAX_SHOWN_CHARS: usize = 60;
    let text = match value {
        Value::StringLit(it) => format!("{:?}", it.value),
        Value::NumberLit(it) => it.value.to_owned(),
        Value::BooleanLit(it) => it.value.to_string(),
        Value::NullKeyword(_) => "null".to_owned(),
        Value::Object(_) | Value::Array(_) => String::new(),
    };
    Name::from(text.chars().take(MAX_SHOWN_CHARS).collect::<String>())
}

fn path_text(path: &[Step]) -> Name {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            Step::Index(i) => text.push_str(&format!("[{i}]")),
        }
    }
    Name::from(text)
}
