//! Reasons why an intent is refused.

use snafu::Snafu;

use balsam_types::DataCentreName;
use balsam_types::InvalidValue;
use balsam_types::PoolName;
use balsam_types::RouteName;
use balsam_types::record::ObjectRef;

/// One reason why an intent is refused, with a remedy for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// A name that does not exist in the estate.
    #[snafu(display("{kind} {name:?} does not exist{}", format_suggestions(suggestions)))]
    Unknown {
        /// The kind of object.
        kind: &'static str,
        /// The name as given.
        name: String,
        /// Similar existing names, closest first.
        suggestions: Vec<String>,
    },
    /// A value that fails validation.
    #[snafu(display("{source}"))]
    Invalid {
        /// The validation error.
        source: InvalidValue,
    },
    /// The organisation is onboarded already.
    #[snafu(display("{object} exists already; choose another name or offboard it first"))]
    Exists {
        /// The object.
        object: ObjectRef,
    },
    /// The estate already matches the intent.
    #[snafu(display("{object} already matches the request; there is nothing to change"))]
    NoChange {
        /// The object.
        object: ObjectRef,
    },
    /// Another change of the object is in progress.
    #[snafu(display("{object} is being changed by {by}; wait for it to end or abort it"))]
    InFlight {
        /// The object.
        object: ObjectRef,
        /// The plan or repair that changes it.
        by: String,
    },
    /// The pool would have no serving group left.
    #[snafu(display(
        "pool {pool} would have no serving group left; add groups elsewhere first, or use --force"
    ))]
    NoGroupLeft {
        /// The pool.
        pool: PoolName,
    },
    /// The pool has too few VMs for the target.
    #[snafu(display(
        "pool {pool} can have at most {possible} groups with its current VMs, not {wanted}; \
         add VMs or request fewer groups"
    ))]
    TooFewVms {
        /// The pool.
        pool: PoolName,
        /// The requested target.
        wanted: u32,
        /// The maximum number of groups that can be formed.
        possible: u32,
    },
    /// The number of VMs in a group cannot change while groups exist.
    #[snafu(display(
        "pool {pool} has {groups} groups of another size; put a new pool and move its routes"
    ))]
    GroupSize {
        /// The pool.
        pool: PoolName,
        /// The number of its groups.
        groups: usize,
    },
    /// Another route matches the same requests.
    #[snafu(display("route {route} takes the same requests; change or move that route"))]
    SameMatch {
        /// The other route.
        route: RouteName,
    },
    /// The pool runs plain services, so it has no model version.
    #[snafu(display("pool {pool} runs plain services, which have no model version"))]
    NoModel {
        /// The pool.
        pool: PoolName,
    },
    /// The data centre is not drained.
    #[snafu(display("data centre {data_centre} is not drained, so it cannot be returned"))]
    NotDrained {
        /// The data centre.
        data_centre: DataCentreName,
    },
}

fn format_suggestions(suggestions: &[String]) -> String {
    if suggestions.is_empty() {
        return String::new();
    }
    format!("; did you mean {}?", suggestions.join(" or "))
}

/// All reasons why an intent is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", reasons.iter().map(Refusal::to_string).collect::<Vec<_>>().join("\n")))]
pub struct Refusals {
    /// The reasons; never empty.
    pub reasons: Vec<Refusal>,
}

impl From<Refusal> for Refusals {
    fn from(reason: Refusal) -> Self {
        Self { reasons: vec![reason] }
    }
}
