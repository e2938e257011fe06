//! Protobuf messages and their conversions to and from [`balsam_types`].
//!
//! The generated types are used only in this crate's [`pb`] module and in the I/O code of other
//! crates; all other code uses the validated types. See `docs/design.md`, section 6.

pub mod error;
pub mod platform;
pub mod record;

pub use error::DecodeError;

pub mod pb {
    //! Generated code, written by `UPDATE_GENERATED=1 cargo test -p balsam-codegen`.
    #![allow(missing_docs, clippy::all, unused_qualifications)]

    /// Gossip messages between entry nodes.
    pub mod gossip {
        /// Version 1.
        pub mod v1 {
            include!("generated/balsamturn.gossip.v1.rs");
        }
    }
    /// The operator interface.
    pub mod operator {
        /// Version 1.
        pub mod v1 {
            include!("generated/balsamturn.operator.v1.rs");
        }
    }
    /// Calls between entry nodes.
    pub mod peer {
        /// Version 1.
        pub mod v1 {
            include!("generated/balsamturn.peer.v1.rs");
        }
    }
    /// The platform's services.
    pub mod platform {
        /// Version 1.
        pub mod v1 {
            include!("generated/balsamturn.platform.v1.rs");
        }
    }
    /// Records of the log.
    pub mod record {
        /// Version 1.
        pub mod v1 {
            include!("generated/balsamturn.record.v1.rs");
        }
    }
    /// Snapshots of the replicated state.
    pub mod snapshot {
        /// Version 1.
        pub mod v1 {
            include!("generated/balsamturn.snapshot.v1.rs");
        }
    }
}
