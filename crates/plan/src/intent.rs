//! The intents of operators.

use std::fmt;
use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RouteName;
use balsam_types::RouteSpec;

/// One intent of an operator; `force` accepts a pool left without any serving group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Adds an organisation.
    Onboard(OrganisationSpec),
    /// Removes an organisation.
    Offboard(OrganisationName),
    /// Adds or replaces a pool.
    PutPool(PoolSpec),
    /// Adds or replaces a route.
    PutRoute(RouteSpec),
    /// Moves every group of a pool to a model version, in steps; rolling back is the same intent.
    Roll {
        /// The pool.
        pool: PoolName,
        /// The model version to serve.
        version: Arc<str>,
    },
    /// Takes a data centre out of service.
    Drain {
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether a pool may be left without any serving group.
        force: bool,
    },
    /// Brings a data centre back into service.
    Return(DataCentreName),
    /// Dissolves a group and lowers the pool's target, so that repair does not form it again.
    RetireGroup {
        /// The group.
        group: GroupName,
        /// Whether a pool may be left without any serving group.
        force: bool,
    },
    /// Changes the number of groups of a pool.
    Resize {
        /// The pool.
        pool: PoolName,
        /// The new number of groups.
        target_groups: u32,
        /// Whether a pool may be left without any serving group.
        force: bool,
    },
    /// Moves a route to another pool: starts a comparison, switches, ends the comparison.
    MoveRoute {
        /// The route.
        route: RouteName,
        /// The pool to move it to.
        to: PoolName,
    },
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let force_flag = |force: &bool| if *force { " --force" } else { "" };
        match self {
            Self::Onboard(spec) => write!(f, "onboard {}", spec.organisation),
            Self::Offboard(name) => write!(f, "offboard {name}"),
            Self::PutPool(spec) => write!(f, "put pool {}", spec.pool),
            Self::PutRoute(spec) => write!(f, "put route {}", spec.route),
            Self::Roll { pool, version } => write!(f, "roll {pool} to {version}"),
            Self::Drain { data_centre, force } => {
                write!(f, "drain {data_centre}{}", force_flag(force))
            }
            Self::Return(name) => write!(f, "return {name}"),
            Self::RetireGroup { group, force } => write!(f, "retire {group}{}", force_flag(force)),
            Self::Resize { pool, target_groups, force } => {
                write!(f, "resize {pool} to {target_groups}{}", force_flag(force))
            }
            Self::MoveRoute { route, to } => write!(f, "move {route} to {to}"),
        }
    }
}

/// Limits that plans respect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanLimits {
    /// Maximum percentage of a pool's groups that a roll takes out at a time; at least one group.
    pub roll_percent: u32,
    /// Limits of the repair that forms the groups of a resized pool.
    pub repair: crate::repair::RepairLimits,
}
