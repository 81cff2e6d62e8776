//! Enums whose variants have fixed labels, which also serve as metric labels.

/// the label `{0}` is not known
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct UnknownLabel(pub std::sync::Arc<str>);

impl std::error::Error for UnknownLabel {}

/// Declares an enum whose variants each have a fixed label.
///
/// The label is used by `Display`, `FromStr`, serde, metrics and responses.
macro_rules! labelled_enum {
    ($(#[$meta:meta])* pub enum $name:ident { $($(#[$doc:meta])* $variant:ident = $label:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        pub enum $name {
            $($(#[$doc])* #[serde(rename = $label)] $variant,)+
        }

        impl $name {
            /// All variants, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the fixed label of this variant.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self {
                    $(Self::$variant => $label,)+
                }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.label())
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::UnknownLabel;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::ALL
                    .iter()
                    .copied()
                    .find(|variant| variant.label() == text)
                    .ok_or_else(|| $crate::UnknownLabel(text.into()))
            }
        }
    };
}

pub(crate) use labelled_enum;
