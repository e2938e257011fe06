//! The error returned by all validating constructors.

use std::sync::Arc;

use snafu::Snafu;

/// A raw value failed the validation of its type.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {found:?} is invalid, expected {expected}"))]
pub struct InvalidValue {
    /// The field or type that was validated.
    pub field: &'static str,
    /// The rejected value.
    pub found: Arc<str>,
    /// A description of the accepted values.
    pub expected: &'static str,
}

impl InvalidValue {
    /// Creates the error; `expected` should fit on one line.
    pub fn new(field: &'static str, found: impl AsRef<str>, expected: &'static str) -> Self {
        Self { field, found: Arc::from(found.as_ref()), expected }
    }
}
