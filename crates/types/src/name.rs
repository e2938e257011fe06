//! Validated names of the objects that operators and the platform refer to.
//!
//! A name is a reference-counted immutable string, because every request and every record carries
//! several names and they are cloned often.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use crate::error::InvalidValue;

/// Maximum length of a name, which bounds the size of log records and metrics labels.
pub const MAX_NAME_BYTES: usize = 128;

const NAME_EXPECTED: &str = "1 to 128 characters of a-z, A-Z, 0-9, '-', '_', '.', ':' or '/'";

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/')
}

fn check_name(field: &'static str, raw: &str) -> Result<(), InvalidValue> {
    let has_valid_length = !raw.is_empty() && raw.len() <= MAX_NAME_BYTES;
    if has_valid_length && raw.chars().all(is_name_char) {
        return Ok(());
    }
    Err(InvalidValue::new(field, raw, NAME_EXPECTED))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns a name that another system chose, with whatever characters it has.
            ///
            /// Such a name cannot be rejected: whatever else its sender stated with it would be
            /// lost. Logs and metrics escape it.
            pub fn from_foreign(raw: &str) -> Self {
                Self(Arc::from(raw))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidValue;

            fn try_from(raw: &str) -> Result<Self, InvalidValue> {
                check_name($field, raw)?;
                Ok(Self(Arc::from(raw)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidValue;

            fn try_from(raw: String) -> Result<Self, InvalidValue> {
                Self::try_from(raw.as_str())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// A model that groups of endpoints serve.
    ModelName,
    "model"
);
name_type!(
    /// A part of a prompt that several requests share, such as a system prompt or a document.
    SegmentName,
    "prompt segment"
);
name_type!(
    /// A customer; callers and limits are separate for each organisation.
    OrganisationName,
    "organisation"
);
name_type!(
    /// A set of endpoints that serve the same model or plain service.
    PoolName,
    "pool"
);
name_type!(
    /// A rule that maps callers' requests to a pool.
    RouteName,
    "route"
);
name_type!(
    /// The VMs that together form one replica.
    GroupName,
    "group"
);
name_type!(
    /// A VM in the platform's VM list.
    VmName,
    "vm"
);
name_type!(
    /// A data centre, the unit that operators drain and return.
    DataCentreName,
    "data centre"
);
name_type!(
    /// A set of data centres; connections between regions may fail.
    RegionName,
    "region"
);
name_type!(
    /// A set of VMs that share a fast interconnect; a group never spans two of them.
    FabricDomainName,
    "fabric domain"
);
name_type!(
    /// A person or script with an operator token.
    OperatorName,
    "operator"
);
name_type!(
    /// A plan that awaits or has received confirmation.
    PlanName,
    "plan"
);

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Guards against names that break the format of log lines or metrics labels.
    #[rstest]
    #[case::empty("")]
    #[case::space("hu east")]
    #[case::control("hu\neast")]
    fn rejects_names_with_invalid_characters(#[case] raw: &str) {
        let error = DataCentreName::try_from(raw).unwrap_err();
        assert!(error.to_string().starts_with("data centre: "), "{error}");
    }

    /// Guards against a platform whose names the checks of this system's own names do not take.
    #[rstest]
    #[case::space("FC Augsburg")]
    #[case::umlaut("Gemüse")]
    #[case::empty("")]
    fn foreign_names_are_taken_as_they_are(#[case] raw: &str) {
        assert_eq!(DataCentreName::from_foreign(raw).as_str(), raw);
        assert_eq!(OrganisationName::from_foreign(&raw.repeat(200)).as_str(), raw.repeat(200));
    }

    #[test]
    fn rejects_names_longer_than_the_maximum() {
        assert!(VmName::try_from("v".repeat(MAX_NAME_BYTES)).is_ok());
        assert!(VmName::try_from("v".repeat(MAX_NAME_BYTES + 1)).is_err());
    }
}
