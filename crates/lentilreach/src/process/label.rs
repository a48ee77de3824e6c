//! Enums whose values have a fixed label in metrics, on the wire and in text output.

/// Declares an enum without fields, with a label for each value.
macro_rules! labels {
    (
        $(#[$meta:meta])*
        $name:ident { $($(#[$value_meta:meta])* $value:ident = $label:literal,)+ }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$value_meta])* $value,)+
        }

        impl $name {
            /// All values, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$value,)+];

            /// The label of the value. It is unique within the enum and never changes.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$value => $label,)+
                }
            }

            /// Finds a value by its label.
            pub fn find(label: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|value| value.as_str() == label)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(self.as_str())
            }
        }
    };
}

pub(crate) use labels;
