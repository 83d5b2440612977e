//! Macros for common sets of derives.

/// Derives the traits of a plain value that can be a map key.
#[macro_export]
macro_rules! value_type {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $($item)*
    };
}

/// Derives the traits of a record that is compared in tests but is not used as a map key.
#[macro_export]
macro_rules! record_type {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq)]
        $($item)*
    };
}

/// Derives the traits of a record that is read from and written to JSON.
///
/// Unknown fields are errors, so that a misspelt setting is reported instead of ignored.
#[macro_export]
macro_rules! wire_type {
    ($($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $($item)*
    };
}
