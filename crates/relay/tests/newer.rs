//! What a node does when others have a newer configuration.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsam_fleet::Configuration;
use balsam_fleet::Event;
use balsam_fleet::FleetSettings;
use balsam_fleet::event::OrderAnswer;
use balsam_relay::EndpointCalls;
use balsam_relay::Gossip;
use balsam_relay::GossipOptions;
use balsam_relay::Hub;
use balsam_relay::RelayMetrics;
use balsam_types::DataCentreName;
use rstest::rstest;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_millis(400);

/// Starts the exchange of a node.
async fn node(name: &str) -> (Arc<Hub>, Arc<Gossip>, SocketAddr) {
    let settings = FleetSettings {
        node: Arc::from(name),
        data_centre: DataCentreName::try_from("a").unwrap(),
        retry_ratio: 0.2,
        retry_slack: 100.0,
        operators_max_age_ms: 4_000,
    };
    let calls = EndpointCalls {
        probe: Arc::new(|_| Box::pin(async { true })),
        order: Arc::new(|_, _| Box::pin(async { OrderAnswer::Accepted })),
    };
    let metrics = RelayMetrics::new(&opentelemetry::global::meter("test"));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (hub, _sent) = Hub::new(settings, calls, metrics, log);
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let own = socket.local_addr().unwrap();
    let options = GossipOptions { own, is_first: false };
    let (gossip, _news) = Gossip::new(hub.clone(), socket, options);
    tokio::spawn(gossip.clone().send());
    tokio::spawn(gossip.clone().receive());
    (hub, gossip, own)
}

fn configure(hub: &Arc<Hub>, version: u64) {
    let configuration = Configuration { version, ..Configuration::default() };
    hub.apply(Event::Configuration(Arc::new(configuration)));
}

/// A read that is bringing a configuration must not be cut short because another node has it first:
/// 195 nodes asked for a large one again and again, and lists and configurations were seconds late
/// (galamb-ledger-large, hunt-17d0-7). A node whose read brings nothing asks again.
#[rstest]
#[case::own_read_brings_it(true)]
#[case::own_read_is_silent(false)]
#[tokio::test]
async fn a_read_is_given_up_only_if_it_brings_nothing(#[case] is_brought: bool) {
    let (hub, gossip, address) = node("n1").await;
    let (other_hub, other, _) = node("n2").await;
    configure(&hub, 1);
    configure(&other_hub, 2);
    other.add_peers([address]);
    let bringing = async {
        sleep(PATIENCE / 2).await;
        if is_brought {
            configure(&hub, 2);
        }
        std::future::pending::<()>().await;
    };
    let given_up = tokio::select! {
        given_up = timeout(PATIENCE * 3, gossip.newer_configuration(PATIENCE)) => given_up.is_ok(),
        () = bringing => false,
    };
    assert_eq!(given_up, !is_brought);
}
