//! Conversions of types that are represented as a string, including in serialized form.

/// Implements the conversions from and to `Arc<str>` by which serde serializes a type with
/// `FromStr` and `Display` as a string.
macro_rules! impl_text_conversions {
    ($($name:ident, $error:ident;)+) => {$(
        impl TryFrom<Arc<str>> for $name {
            type Error = $error;

            fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for Arc<str> {
            fn from(value: $name) -> Self {
                value.to_string().into()
            }
        }
    )+};
}

pub(crate) use impl_text_conversions;
