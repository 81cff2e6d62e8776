//! Schemas of JSON files, declared as data and checked in one traversal.

use std::{fmt::Display, str::FromStr, sync::Arc};

use crate::check::{
    error::{ValidationError, ValidationErrorKind},
    node::JsonNode,
};

/// The schema of one value.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Schema {
    /// A string that this function accepts.
    Text(fn(&str) -> Result<(), ValidationErrorKind>),
    /// A positive integer.
    Count,
    /// One of a fixed set of strings.
    Choice(&'static [&'static str]),
    /// A list with at least this many items.
    List(usize, &'static Self),
    /// An object with these fields.
    Object(&'static [FieldSchema]),
    /// An object with exactly one of these fields.
    OneOf(&'static [FieldSchema]),
}

/// The schema of one field of an object.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FieldSchema {
    name: &'static str,
    schema: Schema,
    required: bool,
}

pub(crate) const fn required(name: &'static str, schema: Schema) -> FieldSchema {
    FieldSchema {
        name,
        schema,
        required: true,
    }
}

pub(crate) const fn optional(name: &'static str, schema: Schema) -> FieldSchema {
    FieldSchema {
        name,
        schema,
        required: false,
    }
}

/// Returns the schema of a string that parses as `T`.
pub(crate) const fn text<T>() -> Schema
where
    T: FromStr,
    T::Err: Display,
{
    Schema::Text(parse_as::<T>)
}

fn parse_as<T>(text: &str) -> Result<(), ValidationErrorKind>
where
    T: FromStr,
    T::Err: Display,
{
    match text.parse::<T>() {
        Ok(_) => Ok(()),
        Err(error) => Err(ValidationErrorKind::ParseFailed(error.to_string().into())),
    }
}

/// Collects the errors found during a traversal.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector {
    pub errors: Vec<ValidationError>,
}

impl ErrorCollector {
    pub(crate) fn add(&mut self, path: &str, kind: ValidationErrorKind) {
        self.errors.push(ValidationError {
            path: path.into(),
            kind,
        });
    }

    /// Checks a value against its schema.
    pub(crate) fn check(&mut self, path: &str, node: &JsonNode, schema: &Schema) {
        match (schema, node) {
            (Schema::Text(check), JsonNode::Text(text)) => {
                if let Err(kind) = check(text) {
                    self.add(path, kind);
                }
            }
            (Schema::Count, JsonNode::Number(number)) => self.check_count(path, *number),
            (Schema::Choice(choices), JsonNode::Text(text)) => {
                if !choices.contains(&text.as_str()) {
                    self.add(
                        path,
                        unexpected_value(&format!("one of {}", choices.join(", "))),
                    );
                }
            }
            (Schema::List(min_items, schema), JsonNode::List(items)) => {
                if items.len() < *min_items {
                    self.add(path, ValidationErrorKind::Empty);
                }
                for (index, item) in items.iter().enumerate() {
                    self.check(&format!("{path}[{index}]"), item, schema);
                }
            }
            (Schema::Object(schemas), JsonNode::Object(fields)) => {
                self.check_fields(path, fields, schemas);
                self.check_missing(path, fields, schemas);
            }
            (Schema::OneOf(schemas), JsonNode::Object(fields)) => {
                self.check_fields(path, fields, schemas);
                if fields.len() != 1 {
                    let message = format!("an object with one field of {}", names(schemas));
                    self.add(path, unexpected_value(&message));
                }
            }
            (_, _) => self.add(path, unexpected_value(expected(schema))),
        }
    }

    fn check_count(&mut self, path: &str, number: f64) {
        if number.fract() != 0.0 || number > f64::from(u32::MAX) {
            self.add(path, unexpected_value(expected(&Schema::Count)));
        } else if number <= 0.0 {
            self.add(path, ValidationErrorKind::NotPositive);
        }
    }

    fn check_fields(&mut self, path: &str, fields: &[(String, JsonNode)], schemas: &[FieldSchema]) {
        for (index, (name, node)) in fields.iter().enumerate() {
            let field_path = join(path, name);
            if fields[..index].iter().any(|(earlier, _)| earlier == name) {
                self.add(&field_path, ValidationErrorKind::DuplicateField);
                continue;
            }
            match schemas.iter().find(|schema| schema.name == name) {
                Some(field) => self.check(&field_path, node, &field.schema),
                None => self.add(
                    &field_path,
                    ValidationErrorKind::UnknownField(names(schemas)),
                ),
            }
        }
    }

    fn check_missing(
        &mut self,
        path: &str,
        fields: &[(String, JsonNode)],
        schemas: &[FieldSchema],
    ) {
        for schema in schemas.iter().filter(|schema| schema.required) {
            if !fields.iter().any(|(name, _)| name == schema.name) {
                self.add(&join(path, schema.name), ValidationErrorKind::Missing);
            }
        }
    }
}

/// Parses a file's text and checks it against a schema; `None` if it is not valid JSON.
pub(crate) fn check_text(
    text: &str,
    schema: &Schema,
    collector: &mut ErrorCollector,
) -> Option<JsonNode> {
    match serde_json::from_str::<JsonNode>(text) {
        Ok(node) => {
            collector.check("", &node, schema);
            Some(node)
        }
        Err(error) => {
            collector.add("", ValidationErrorKind::Syntax(error.to_string().into()));
            None
        }
    }
}

pub(crate) fn unexpected_value(message: &str) -> ValidationErrorKind {
    ValidationErrorKind::UnexpectedValue(message.into())
}

pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

fn names(schemas: &[FieldSchema]) -> Arc<str> {
    let names = schemas.iter().map(|schema| schema.name);
    names.collect::<Vec<_>>().join(", ").into()
}

const fn expected(schema: &Schema) -> &'static str {
    match schema {
        Schema::Text(_) | Schema::Choice(_) => "a string",
        Schema::Count => "a whole number above 0",
        Schema::List(..) => "a list",
        Schema::Object(_) | Schema::OneOf(_) => "an object",
    }
}
