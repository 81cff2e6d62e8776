//! Header fields, kept as the received bytes.

use bytes::Bytes;
use smallvec::SmallVec;

/// Hop-by-hop fields, which apply to one connection only and are never forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header field; its value has no leading or trailing white space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// The name as received.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

impl HeaderField {
    /// Whether the field has this name, ignoring case.
    #[must_use]
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// The header fields of one message, in order.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct FieldList {
    fields: SmallVec<[HeaderField; 16]>,
}

impl FieldList {
    /// Adds a field.
    pub fn push(&mut self, field: HeaderField) {
        self.fields.push(field);
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> std::slice::Iter<'_, HeaderField> {
        self.fields.iter()
    }

    /// Returns the first value of a field.
    #[must_use]
    pub fn get<'list>(&'list self, name: &'list str) -> Option<&'list Bytes> {
        self.get_all(name).next()
    }

    /// Returns all values of a field.
    pub fn get_all<'list>(&'list self, name: &'list str) -> impl Iterator<Item = &'list Bytes> {
        let named = self.fields.iter().filter(move |field| field.is(name));
        named.map(|field| &field.value)
    }

    /// Whether a field's comma-separated values contain this token, ignoring case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| has_token(value, token))
    }

    /// Returns the end-to-end fields, which are forwarded to the next hop.
    pub fn end_to_end(&self) -> impl Iterator<Item = &HeaderField> {
        let is_listed = |field: &HeaderField| {
            let mut lists = self.get_all("connection");
            lists.any(|list| tokens(list).any(|it| it.eq_ignore_ascii_case(&field.name)))
        };
        self.fields
            .iter()
            .filter(move |field| !is_hop_by_hop(&field.name) && !is_listed(field))
    }
}

impl<'list> IntoIterator for &'list FieldList {
    type Item = &'list HeaderField;
    type IntoIter = std::slice::Iter<'list, HeaderField>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Whether a field is a standard hop-by-hop field.
#[must_use]
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    HOP_BY_HOP_FIELDS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

fn has_token(value: &[u8], token: &str) -> bool {
    tokens(value).any(|it| it.eq_ignore_ascii_case(token.as_bytes()))
}

fn tokens(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}
