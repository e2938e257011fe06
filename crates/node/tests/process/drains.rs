//! Drains, leaving VMs, and groups with a missing member.

use std::time::Duration;

use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::estate::MODEL_POOL;
use balsam_standin::platform::PlatformFaults;
use balsam_wire::pb::operator::v1::DrainDataCentre;
use balsam_wire::pb::operator::v1::intent::Intent;
use tokio::time::sleep;

use crate::bed::MODEL_GROUPS;
use crate::bed::NODES;
use crate::bed::STOP_LIMIT;
use crate::bed::TestBed;
use crate::calls::Call;
use crate::calls::Load;
use crate::checker::StopReason;
use crate::exclusive_run;

const WATCH_TIME: Duration = Duration::from_secs(2);

fn assert_nothing_cut(calls: &[Call]) {
    let failed = calls.iter().filter(|call| call.response.is_err());
    assert_eq!(failed.collect::<Vec<_>>(), Vec::<&Call>::new());
    let failed = calls.iter().filter(|call| call.kind.is_idempotent() && !call.is_ok());
    assert_eq!(failed.collect::<Vec<_>>(), Vec::<&Call>::new());
}

/// Guards against work that still goes to a drained data centre or a leaving VM, and against a
/// drain that needs the log to take effect.
#[tokio::test(flavor = "multi_thread")]
async fn drained_data_centres_and_leaving_vms_get_no_new_work() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(501).await;
    let drain = |name: &str| {
        Intent::DrainDataCentre(DrainDataCentre { data_centre: name.to_owned(), force: false })
    };
    let load = Load::start(&bed.caller(8_000), "drain", &NODES, 2);
    sleep(Duration::from_secs(1)).await;

    let leaving = bed.members(MODEL_POOL, DATA_CENTRES[1]).await.remove(0).remove(0);
    bed.mark_leaving(&leaving);
    sleep(STOP_LIMIT).await;
    bed.watch_stopped_endpoints(leaving.as_str(), StopReason::Leaving, WATCH_TIME).await;

    let answer = bed.operator(0).plan_and_confirm(drain(DATA_CENTRES[0]), "test").await.unwrap();
    // The answer waits 5 s, the time within which a change must be in force everywhere.
    assert!(answer.data_centres.iter().all(|line| line.state == "in_force"), "{answer:?}");
    sleep(STOP_LIMIT).await;
    assert!(bed.is_drained_everywhere(DATA_CENTRES[0]).await, "not in force everywhere");
    bed.watch_stopped_endpoints(DATA_CENTRES[0], StopReason::Drained, WATCH_TIME).await;
    let intent = Intent::ReturnDataCentre(DATA_CENTRES[0].to_owned());
    bed.operator(0).plan_and_confirm(intent, "test").await.unwrap();
    bed.wait_serving(0).await;

    let plan = bed.operator(0).plan(drain(DATA_CENTRES[2]), "test").await.unwrap();
    bed.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    sleep(Duration::from_millis(500)).await;
    let operator = bed.operator(0);
    let confirm = tokio::spawn(async move { operator.confirm(&plan, "test").await.is_ok() });
    sleep(STOP_LIMIT).await;
    bed.watch_stopped_endpoints(DATA_CENTRES[2], StopReason::Drained, WATCH_TIME).await;
    assert!(
        !confirm.await.unwrap(),
        "the confirmation succeeded although the log never recorded it"
    );
    bed.platform.set_faults(PlatformFaults::default());
    let calls = load.finish().await;
    assert_nothing_cut(&calls);
    bed.assert_guarantees(&calls);
}

/// Guards against work sent to a group with a missing member and repairs that never happen.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_with_a_missing_member_gets_no_work_until_a_spare_repairs_it() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(502).await;
    let data_centre_name = DATA_CENTRES[0];
    // Without a spare, the group stays incomplete while the test watches it.
    for spare in bed.spares(data_centre_name).await {
        bed.kill_endpoint(&spare);
    }
    let load = Load::start(&bed.caller(8_000), "member", &NODES, 2);
    sleep(Duration::from_secs(1)).await;
    let group = bed.members(MODEL_POOL, data_centre_name).await.remove(0);
    let head = group[0].clone();
    let before = bed.endpoints[&head].endpoint.executions().len();
    assert!(before > 0, "the group had no work");
    bed.kill_endpoint(&group[1]);
    sleep(STOP_LIMIT).await;
    bed.watch_stopped_endpoints(head.as_str(), StopReason::MemberMissing, WATCH_TIME).await;
    bed.wait_groups(0, MODEL_GROUPS - 1, 3).await;
    let spare = bed.add_engine(data_centre_name, 9).await;
    bed.publish_vms();
    for node in NODES {
        bed.wait_serving(node).await;
    }
    let members = bed.members(MODEL_POOL, data_centre_name).await.concat();
    assert!(members.contains(&spare) && !members.contains(&group[1]), "{members:?}");
    let calls = load.finish().await;
    assert_nothing_cut(&calls);
    bed.assert_guarantees(&calls);
}
