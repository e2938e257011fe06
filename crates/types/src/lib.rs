//! Domain types shared by all other crates.
//!
//! Values are validated on construction, so that internal code never has to handle an empty name or
//! a weight of zero. See `docs/design.md`, sections 6 and 7.

pub mod claim;
pub mod config;
pub mod error;
pub mod group;
pub mod id;
pub mod name;
pub mod outcome;
pub mod record;
pub mod vm;

pub use claim::ClaimKey;
pub use claim::StoredResponse;
pub use config::OrganisationSpec;
pub use config::PoolKind;
pub use config::PoolSpec;
pub use config::RouteMatch;
pub use config::RouteSpec;
pub use error::InvalidValue;
pub use group::GroupSpec;
pub use id::Incarnation;
pub use id::Offset;
pub use id::RecordId;
pub use name::DataCentreName;
pub use name::FabricDomainName;
pub use name::GroupName;
pub use name::ModelName;
pub use name::OperatorName;
pub use name::OrganisationName;
pub use name::PlanName;
pub use name::PoolName;
pub use name::RegionName;
pub use name::RouteName;
pub use name::SegmentName;
pub use name::VmName;
pub use outcome::Outcome;
pub use record::Author;
pub use record::Record;
pub use record::RecordKind;
pub use vm::VmInfo;
pub use vm::VmRole;
pub use vm::VmState;
