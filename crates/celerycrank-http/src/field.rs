//! Header fields, kept as the bytes that arrived.

use bytes::Bytes;
use smallvec::SmallVec;

/// Fields that concern one connection only and are never forwarded.
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

/// One header field; its value has no surrounding white space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// The name as it was written.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

impl HeaderField {
    /// Whether the field has this name, in any case of letters.
    #[must_use]
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// The header fields of one message, in their order.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct FieldList {
    fields: SmallVec<[HeaderField; 16]>,
}

impl FieldList {
    /// Adds a field.
    pub fn push(&mut self, field: HeaderField) {
        self.fields.push(field);
    }

    /// The fields in their order.
    pub fn iter(&self) -> std::slice::Iter<'_, HeaderField> {
        self.fields.iter()
    }

    /// The first value of a field.
    #[must_use]
    pub fn get<'list>(&'list self, name: &'list str) -> Option<&'list Bytes> {
        self.get_all(name).next()
    }

    /// Every value of a field.
    pub fn get_all<'list>(&'list self, name: &'list str) -> impl Iterator<Item = &'list Bytes> {
        let named = self.fields.iter().filter(move |field| field.is(name));
        named.map(|field| &field.value)
    }

    /// Whether a field's comma-separated values contain this token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| has_token(value, token))
    }

    /// The fields that go on to the next hop: none that concern this connection only.
    pub fn end_to_end(&self) -> impl Iterator<Item = &HeaderField> {
        let listed = |field: &HeaderField| {
            let mut lists = self.get_all("connection");
            lists.any(|list| tokens(list).any(|it| it.eq_ignore_ascii_case(&field.name)))
        };
        self.fields
            .iter()
            .filter(move |field| !is_hop_by_hop(&field.name) && !listed(field))
    }
}

impl<'list> IntoIterator for &'list FieldList {
    type Item = &'list HeaderField;
    type IntoIter = std::slice::Iter<'list, HeaderField>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Whether a field concerns one connection only.
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
