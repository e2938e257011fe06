//! Tests of a panic while the state of the fleet is being changed.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::time::Duration;

use balsam_fleet::Event;
use balsam_fleet::FleetSettings;
use balsam_fleet::LoadPolicy;
use balsam_fleet::StorePosition;
use balsam_fleet::event::LeaseEvent;
use balsam_fleet::event::OrderAnswer;
use balsam_fleet::event::ProbeAnswer;
use balsam_fleet::lease::LastHolder;
use balsam_relay::EndpointCalls;
use balsam_relay::Hub;
use balsam_relay::RelayMetrics;
use balsam_types::DataCentreName;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_millis(100);

fn hub() -> Arc<Hub> {
    let settings = FleetSettings {
        node: Arc::from("n1"),
        data_centre: DataCentreName::try_from("a").unwrap(),
        retry_ratio: 0.2,
        retry_slack: 100.0,
        operators_max_age_ms: 4_000,
        load_policy: LoadPolicy::default(),
    };
    let calls = EndpointCalls {
        probe: Arc::new(|_| Box::pin(async { ProbeAnswer::Alive })),
        order: Arc::new(|_, _| Box::pin(async { OrderAnswer::Accepted })),
    };
    let metrics = RelayMetrics::new(&opentelemetry::global::meter("test"));
    Hub::new(settings, calls, metrics, slog::Logger::root(slog::Discard, slog::o!())).0
}

/// Applies an event whose time overflows in the reducer; tests are built with overflow checks.
fn panic_in_the_reducer(hub: &Arc<Hub>) {
    let at = StorePosition { era: 0, offset: 1 };
    let appended = LeaseEvent::Appended { sent_ms: u64::MAX, at, era: 0 };
    hub.apply(Event::Lease(LeaseEvent::Read { end: at, last: LastHolder::Nobody }));
    let result = catch_unwind(AssertUnwindSafe(|| hub.apply(Event::Lease(appended))));
    assert!(result.is_err(), "the reducer took the event");
}

/// Guards against a node that decides on a half changed state: a panic in a request, a probe or an
/// order that changes the state was silent.
#[tokio::test]
async fn a_panic_in_the_reducer_is_reported() {
    let hub = hub();
    assert!(timeout(LIMIT, hub.failed()).await.is_err(), "the state is sound");
    panic_in_the_reducer(&hub);
    timeout(LIMIT, hub.failed()).await.expect("the failure is reported");
}

/// Guards against a panic elsewhere that ends the node: only the request fails then.
#[tokio::test]
async fn a_panic_outside_the_reducer_is_not_reported() {
    let hub = hub();
    let reader = hub.clone();
    let read = catch_unwind(AssertUnwindSafe(|| reader.read(|_| panic!("a query"))));
    assert!(read.is_err());
    let task = hub.clone();
    let result = tokio::spawn(async move {
        let _guard = ApplyOnDrop(task);
        panic!("a request");
    });
    assert!(result.await.is_err());
    assert!(timeout(LIMIT, hub.failed()).await.is_err(), "the state is sound");
}

/// Changes the state while its task unwinds, as an attempt does that is dropped.
struct ApplyOnDrop(Arc<Hub>);

impl Drop for ApplyOnDrop {
    fn drop(&mut self) {
        self.0.apply(Event::Tick);
    }
}
