//! Limits the share of load that a returned data centre takes.

/// The state of a returned data centre's groups of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnedDataCentre {
    /// When the data centre returned.
    pub returned_ms: u64,
    /// Complete groups known to be warm.
    pub warm_groups: u32,
    /// All groups of the pool in the data centre.
    pub groups: u32,
    /// Capacity of a cold group, in parts per thousand of a warm one.
    pub cold_per_mille: u32,
}

/// Limits on how fast load returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RampLimits {
    /// Time from the return until the data centre may take its full share.
    pub ramp_ms: u64,
    /// The share allowed at the time of the return, which warms the groups.
    pub floor_per_mille: u32,
}

/// Returns the share of its usual load, in parts per thousand, that the data centre may take.
///
/// The share is the lower of the time ramp and the capacity of its warm and cold groups, so a slow
/// warm-up holds load back and a fast one does not skip the ramp.
pub fn load_share(returned: &ReturnedDataCentre, limits: &RampLimits, now_ms: u64) -> u32 {
    if returned.groups == 0 {
        return 0;
    }
    let floor = u64::from(limits.floor_per_mille.min(1000));
    let elapsed_ms = now_ms.saturating_sub(returned.returned_ms).min(limits.ramp_ms);
    let ramp = match limits.ramp_ms {
        0 => 1000,
        ramp_ms => floor + (1000 - floor).saturating_mul(elapsed_ms) / ramp_ms,
    };
    let warm = u64::from(returned.warm_groups.min(returned.groups));
    let cold = u64::from(returned.groups) - warm;
    let cold_share = u64::from(returned.cold_per_mille.min(1000));
    let capacity = (warm * 1000 + cold * cold_share) / u64::from(returned.groups);
    // Both terms are at most 1000.
    ramp.min(capacity) as u32
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const LIMITS: RampLimits = RampLimits { ramp_ms: 60_000, floor_per_mille: 100 };

    // Guards against a full share for groups that are cold, or before the ramp has ended.
    #[rstest]
    #[case::at_the_return_only_the_floor(0, 10, 100)]
    #[case::halfway(30_000, 10, 550)]
    #[case::all_warm_after_the_ramp(60_000, 10, 1000)]
    #[case::late_but_still_cold(600_000, 0, 50)]
    #[case::late_and_half_warm(600_000, 5, 525)]
    #[case::clock_before_the_return(0, 0, 50)]
    fn a_returned_data_centre_gets_no_more_than_its_ramp_and_warm_groups_allow(
        #[case] after_ms: u64,
        #[case] warm_groups: u32,
        #[case] expected: u32,
    ) {
        let returned =
            ReturnedDataCentre { returned_ms: 1_000, warm_groups, groups: 10, cold_per_mille: 50 };
        assert_eq!(load_share(&returned, &LIMITS, 1_000 + after_ms), expected);
    }

    // Guards against a division by zero.
    #[test]
    fn a_data_centre_without_groups_gets_no_load() {
        let returned =
            ReturnedDataCentre { returned_ms: 0, warm_groups: 0, groups: 0, cold_per_mille: 50 };
        assert_eq!(load_share(&returned, &LIMITS, 1_000_000), 0);
    }
}
