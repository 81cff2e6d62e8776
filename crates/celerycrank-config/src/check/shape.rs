//! The form that a file must have, declared as data and checked in one walk.

use std::{fmt::Display, str::FromStr, sync::Arc};

use crate::check::{
    fault::{CheckFault, FaultKind},
    node::JsonNode,
};

/// The form of one value.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Shape {
    /// A text that this function can read.
    Text(fn(&str) -> Result<(), FaultKind>),
    /// A whole number above zero.
    Count,
    /// A text out of a closed set.
    Choice(&'static [&'static str]),
    /// A list with at least this many items.
    List(usize, &'static Self),
    /// An object with these fields.
    Object(&'static [FieldShape]),
    /// An object with exactly one of these fields.
    OneOf(&'static [FieldShape]),
}

/// One field of an object.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FieldShape {
    name: &'static str,
    shape: Shape,
    required: bool,
}

pub(crate) const fn required(name: &'static str, shape: Shape) -> FieldShape {
    FieldShape {
        name,
        shape,
        required: true,
    }
}

pub(crate) const fn optional(name: &'static str, shape: Shape) -> FieldShape {
    FieldShape {
        name,
        shape,
        required: false,
    }
}

/// A text that reads as `T`.
pub(crate) const fn text<T>() -> Shape
where
    T: FromStr,
    T::Err: Display,
{
    Shape::Text(read_as::<T>)
}

fn read_as<T>(text: &str) -> Result<(), FaultKind>
where
    T: FromStr,
    T::Err: Display,
{
    match text.parse::<T>() {
        Ok(_) => Ok(()),
        Err(e) => Err(FaultKind::Unreadable(e.to_string().into())),
    }
}

/// Collects faults during a walk.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    pub faults: Vec<CheckFault>,
}

impl FaultLog {
    pub(crate) fn add(&mut self, path: &str, kind: FaultKind) {
        self.faults.push(CheckFault {
            path: path.into(),
            kind,
        });
    }

    /// Checks a value against its form.
    pub(crate) fn check(&mut self, path: &str, node: &JsonNode, shape: &Shape) {
        match (shape, node) {
            (Shape::Text(read), JsonNode::Text(text)) => {
                if let Err(kind) = read(text) {
                    self.add(path, kind);
                }
            }
            (Shape::Count, JsonNode::Number(number)) => self.check_count(path, *number),
            (Shape::Choice(choices), JsonNode::Text(text)) => {
                if !choices.contains(&text.as_str()) {
                    self.add(path, wrong_form(&format!("one of {}", choices.join(", "))));
                }
            }
            (Shape::List(least, shape), JsonNode::List(items)) => {
                if items.len() < *least {
                    self.add(path, FaultKind::Empty);
                }
                for (index, item) in items.iter().enumerate() {
                    self.check(&format!("{path}[{index}]"), item, shape);
                }
            }
            (Shape::Object(shapes), JsonNode::Object(fields)) => {
                self.check_fields(path, fields, shapes);
                self.check_missing(path, fields, shapes);
            }
            (Shape::OneOf(shapes), JsonNode::Object(fields)) => {
                self.check_fields(path, fields, shapes);
                if fields.len() != 1 {
                    let message = format!("an object with one field of {}", names(shapes));
                    self.add(path, wrong_form(&message));
                }
            }
            (_, _) => self.add(path, wrong_form(expected(shape))),
        }
    }

    fn check_count(&mut self, path: &str, number: f64) {
        if number.fract() != 0.0 || number > f64::from(u32::MAX) {
            self.add(path, wrong_form(expected(&Shape::Count)));
        } else if number <= 0.0 {
            self.add(path, FaultKind::NotAboveZero);
        }
    }

    fn check_fields(&mut self, path: &str, fields: &[(String, JsonNode)], shapes: &[FieldShape]) {
        for (index, (name, node)) in fields.iter().enumerate() {
            let field_path = join(path, name);
            if fields[..index].iter().any(|(earlier, _)| earlier == name) {
                self.add(&field_path, FaultKind::GivenTwice);
                continue;
            }
            match shapes.iter().find(|shape| shape.name == name) {
                Some(field) => self.check(&field_path, node, &field.shape),
                None => self.add(&field_path, FaultKind::UnknownField(names(shapes))),
            }
        }
    }

    fn check_missing(&mut self, path: &str, fields: &[(String, JsonNode)], shapes: &[FieldShape]) {
        for shape in shapes.iter().filter(|shape| shape.required) {
            if !fields.iter().any(|(name, _)| name == shape.name) {
                self.add(&join(path, shape.name), FaultKind::Missing);
            }
        }
    }
}

/// Reads a file's text and checks its form; `None` if it is no JSON at all.
pub(crate) fn check_text(text: &str, shape: &Shape, log: &mut FaultLog) -> Option<JsonNode> {
    match serde_json::from_str::<JsonNode>(text) {
        Ok(node) => {
            log.check("", &node, shape);
            Some(node)
        }
        Err(e) => {
            log.add("", FaultKind::Syntax(e.to_string().into()));
            None
        }
    }
}

pub(crate) fn wrong_form(message: &str) -> FaultKind {
    FaultKind::WrongForm(message.into())
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

fn names(shapes: &[FieldShape]) -> Arc<str> {
    let names = shapes.iter().map(|shape| shape.name);
    names.collect::<Vec<_>>().join(", ").into()
}

const fn expected(shape: &Shape) -> &'static str {
    match shape {
        Shape::Text(_) | Shape::Choice(_) => "a text",
        Shape::Count => "a whole number above 0",
        Shape::List(..) => "a list",
        Shape::Object(_) | Shape::OneOf(_) => "an object",
    }
}
