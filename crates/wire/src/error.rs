//! Errors that occur when messages from the network or the log are decoded.

use balsam_types::InvalidValue;
use snafu::Snafu;

/// A message could not be converted to the validated types.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes are not the expected protobuf message.
    #[snafu(display("decoding {message}: {source}"))]
    Malformed {
        /// The message type.
        message: &'static str,
        /// The decoder's error.
        source: prost::DecodeError,
    },
    /// A required field is absent or malformed, or an enum has an unknown value.
    #[snafu(display("decoding {message}: field {field} is missing or unknown"))]
    Missing {
        /// The message type.
        message: &'static str,
        /// The field.
        field: &'static str,
    },
    /// The value of a field failed validation.
    #[snafu(display("decoding {message}: {source}"))]
    Invalid {
        /// The message type.
        message: &'static str,
        /// The rejected value and the reason.
        source: InvalidValue,
    },
}
