//! The messages between nodes.

use std::sync::Arc;

use balsam_fleet::demand::BusyGroups;
use balsam_fleet::event::LostGroup;
use balsam_fleet::event::PeerLoad;
use balsam_fleet::event::PeerReport;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::VmName;
use prost::Message;

use crate::gossip::ListNews;

/// What a datagram holds.
#[derive(Debug, Clone)]
pub(crate) enum Envelope {
    Report(PeerReport),
    News(ListNews),
}

/// A datagram; one of the fields is set.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    #[prost(message, optional, tag = "1")]
    report: Option<Report>,
    #[prost(message, optional, tag = "2")]
    news: Option<News>,
}

#[derive(Clone, PartialEq, Message)]
struct Report {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(message, repeated, tag = "2")]
    loads: Vec<Load>,
    #[prost(message, repeated, tag = "3")]
    demand: Vec<ModelDemand>,
    #[prost(message, repeated, tag = "4")]
    lost: Vec<Lost>,
    #[prost(string, tag = "5")]
    data_centre: String,
    #[prost(uint64, tag = "6")]
    version: u64,
    #[prost(uint64, tag = "7")]
    lease_end: u64,
    #[prost(bool, tag = "8")]
    lease_released: bool,
}

#[derive(Clone, PartialEq, Message)]
struct Load {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    #[prost(uint64, tag = "3")]
    unread_tokens: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ModelDemand {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(double, tag = "2")]
    busy_groups: f64,
    #[prost(double, tag = "3")]
    reading_groups: f64,
}

#[derive(Clone, PartialEq, Message)]
struct Lost {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(string, tag = "3")]
    member: String,
}

#[derive(Clone, PartialEq, Message)]
struct News {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    #[prost(bytes = "vec", repeated, tag = "3")]
    records: Vec<Vec<u8>>,
}

/// Encodes a report.
pub(crate) fn encode_report(report: &PeerReport) -> Vec<u8> {
    let loads = report.loads.iter().map(|load| Load {
        vm: load.vm.to_string(),
        in_flight: load.in_flight,
        unread_tokens: load.unread_tokens,
    });
    let demand = report.demand.iter().map(|(model, busy)| ModelDemand {
        model: model.to_string(),
        busy_groups: busy.total,
        reading_groups: busy.reading,
    });
    let lost = report.lost.iter().map(|lost| Lost {
        group: lost.group.to_string(),
        epoch: lost.epoch,
        member: lost.member.to_string(),
    });
    let report = Report {
        node: report.node.to_string(),
        loads: loads.collect(),
        demand: demand.collect(),
        lost: lost.collect(),
        data_centre: report.data_centre.to_string(),
        version: report.version,
        lease_end: report.lease_end,
        lease_released: report.lease_released,
    };
    Datagram { report: Some(report), news: None }.encode_to_vec()
}

/// Encodes changes of the list.
pub(crate) fn encode_news(news: &ListNews) -> Vec<u8> {
    let news = News { from: news.from, to: news.to, records: news.records.clone() };
    Datagram { report: None, news: Some(news) }.encode_to_vec()
}

/// Decodes a datagram; `None` if it cannot be read.
pub(crate) fn decode(bytes: &[u8]) -> Option<Envelope> {
    let datagram = Datagram::decode(bytes).ok()?;
    match (datagram.report, datagram.news) {
        (Some(report), None) => report_from(report).map(Envelope::Report),
        (None, Some(News { from, to, records })) if from <= to => {
            Some(Envelope::News(ListNews { from, to, records }))
        }
        _ => None,
    }
}

fn report_from(report: Report) -> Option<PeerReport> {
    let load = |load: Load| {
        let vm = VmName::try_from(load.vm).ok()?;
        Some(PeerLoad { vm, in_flight: load.in_flight, unread_tokens: load.unread_tokens })
    };
    let demand = |demand: ModelDemand| {
        let busy = BusyGroups { total: demand.busy_groups, reading: demand.reading_groups };
        Some((ModelName::try_from(demand.model).ok()?, busy))
    };
    let lost = |lost: Lost| {
        let group = GroupName::try_from(lost.group).ok()?;
        let member = VmName::try_from(lost.member).ok()?;
        Some(LostGroup { group, epoch: lost.epoch, member })
    };
    Some(PeerReport {
        node: Arc::from(report.node),
        data_centre: DataCentreName::try_from(report.data_centre).ok()?,
        version: report.version,
        lease_end: report.lease_end,
        lease_released: report.lease_released,
        loads: report.loads.into_iter().map(load).collect::<Option<_>>()?,
        demand: report.demand.into_iter().map(demand).collect::<Option<_>>()?,
        lost: report.lost.into_iter().map(lost).collect::<Option<_>>()?,
    })
}
