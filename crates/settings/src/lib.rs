//! Parses the TOML settings file of an entry node into one validated struct.
//!
//! Every numeric key has one entry in [`keys::NUMERIC_KEYS`] with its unit, default and accepted
//! range. Validation uses these entries, and a test compares `docs/settings.md` with them, so code
//! and documentation cannot differ.

pub mod check;
pub mod error;
pub mod keys;
mod locate;
mod raw;

pub use check::Settings;
pub use error::SettingsError;
