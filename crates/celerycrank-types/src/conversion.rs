//! Types that are written as one text, also in files.

/// Lets a type with `FromStr` and `Display` stand in files as its text.
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
