//! A JSON tree that keeps duplicate fields, so that validation can report them.

use std::{collections::BTreeSet, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};

use crate::check::schema::join;

/// One JSON value.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum JsonNode {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Self>),
    Object(Vec<(String, Self)>),
}

impl JsonNode {
    /// Returns the first field with this name.
    pub(crate) fn field(&self, name: &str) -> Option<&Self> {
        let Self::Object(fields) = self else {
            return None;
        };
        let found = fields.iter().find(|(field, _)| field == name);
        found.map(|(_, node)| node)
    }

    pub(crate) fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the items of a list; empty for other values.
    pub(crate) fn items(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Returns the text of a field, if the field exists and is a string.
    pub(crate) fn field_text(&self, name: &str) -> Option<&str> {
        self.field(name)?.text()
    }

    /// Returns the items of a field; empty if it is missing or not a list.
    pub(crate) fn field_items(&self, name: &str) -> &[Self] {
        self.field(name).map_or(&[], Self::items)
    }
}

impl<'de> Deserialize<'de> for JsonNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

/// Returns the paths of all fields of a JSON text that occur more than once in their object; none
/// if the text is not valid JSON.
#[must_use]
pub fn find_duplicate_fields(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    if let Ok(node) = serde_json::from_str::<JsonNode>(text) {
        collect_duplicates("", &node, &mut found);
    }
    found
}

fn collect_duplicates(path: &str, node: &JsonNode, found: &mut Vec<String>) {
    for (index, item) in node.items().iter().enumerate() {
        collect_duplicates(&format!("{path}[{index}]"), item, found);
    }
    let JsonNode::Object(fields) = node else {
        return;
    };
    let mut names = BTreeSet::new();
    for (name, value) in fields {
        let field_path = join(path, name);
        if !names.insert(name) {
            found.push(field_path.clone());
        }
        collect_duplicates(&field_path, value, found);
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = JsonNode;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<JsonNode, E> {
        Ok(JsonNode::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<JsonNode, E> {
        Ok(JsonNode::Bool(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<JsonNode, E> {
        Ok(JsonNode::Number(v as f64))
    }

    fn visit_i64<E>(self, v: i64) -> Result<JsonNode, E> {
        Ok(JsonNode::Number(v as f64))
    }

    fn visit_f64<E>(self, v: f64) -> Result<JsonNode, E> {
        Ok(JsonNode::Number(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<JsonNode, E> {
        Ok(JsonNode::Text(v.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<JsonNode, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(JsonNode::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<JsonNode, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(JsonNode::Object(fields))
    }
}
