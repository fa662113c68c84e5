//! Macros that define the newtypes for ids, sizes and rates.

/// Defines an integer newtype with `Display` and `FromStr`.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

/// Defines a string newtype of 1 to 64 characters out of `a-z A-Z 0-9 . _ -`.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Box<str>);

        impl $name {
            /// Validates and wraps a name.
            ///
            /// # Errors
            /// Returns [`NameError`](crate::ids::NameError) if the name is empty, too long or holds
            /// a character that is not allowed.
            pub fn new(text: &str) -> Result<Self, crate::ids::NameError> {
                crate::ids::check_name(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::ids::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }
    };
}

pub(crate) use name_type;
pub(crate) use number_type;
