//! Rendezvous hashing: assigns jobs to nodes without coordination and with few reassignments when
//! nodes come or go.

use balsam_types::Incarnation;
use sha2::Digest;
use sha2::Sha256;

/// Returns the weight of a candidate for a job; the candidate with the highest weight does it.
pub fn weight(job: &str, candidate: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(job.as_bytes());
    hasher.update([0]);
    hasher.update(candidate.as_bytes());
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// Returns the rank of a candidate among others for a job, zero for the first.
pub fn rank<'a>(
    job: &str,
    candidate: &Incarnation,
    others: impl Iterator<Item = &'a Incarnation>,
) -> usize {
    let own = (weight(job, candidate.vm.as_str()), candidate.vm.as_str());
    let higher_ranked = others
        .filter(|other| other.vm != candidate.vm)
        .filter(|other| (weight(job, other.vm.as_str()), other.vm.as_str()) > own);
    higher_ranked.count()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn node(number: u32) -> Incarnation {
        let vm = format!("entry-{number}").as_str().try_into().unwrap();
        Incarnation { vm, start_ms: 0, nonce: 0 }
    }

    /// Guards against jobs that no node or several nodes do, and against an uneven distribution.
    #[test]
    fn every_job_has_exactly_one_first_node_and_jobs_spread() {
        let nodes: Vec<Incarnation> = (0..6).map(node).collect();
        let mut jobs_per_node = [0; 6];
        for job in 0..600 {
            let job = format!("vm-{job}");
            let first: Vec<usize> =
                (0..6).filter(|index| rank(&job, &nodes[*index], nodes.iter()) == 0).collect();
            assert_eq!(first.len(), 1);
            jobs_per_node[first[0]] += 1;
        }
        assert!(jobs_per_node.iter().all(|jobs| *jobs > 50), "{jobs_per_node:?}");
    }
}
