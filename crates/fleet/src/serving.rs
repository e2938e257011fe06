//! Endpoints that currently take requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::formation;

/// The pool and the model that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKind {
    /// The pool.
    pub pool: PoolName,
    /// The model, for a pool of model engines.
    pub model: Option<ModelName>,
}

/// An endpoint that takes requests: the head of an open group, or one of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// The endpoint.
    pub vm: VmName,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Factor applied to all times.
    pub pace: f64,
    /// The group and its fencing number, for a head.
    pub group: Option<(GroupName, u64)>,
    /// When its cold start ends.
    pub cold_until_ms: u64,
}

/// The endpoints that take requests, by kind of request.
#[derive(Debug, Clone, Default)]
pub struct Serving {
    servers: HashMap<RequestKind, Vec<Server>>,
}

impl Serving {
    /// Derives the servers from the list and the configuration.
    pub fn new(directory: &Directory, configuration: &Configuration) -> Self {
        let mut servers: HashMap<RequestKind, Vec<Server>> = HashMap::new();
        for endpoint in directory.iter().filter(|endpoint| !endpoint.is_draining) {
            if let Some((kind, server)) = server(endpoint, configuration) {
                servers.entry(kind).or_default().push(server);
            }
        }
        Self { servers }
    }

    /// Updates the server of a changed list entry.
    ///
    /// Hundreds of entries change within a second when groups form, so a change must not scan all
    /// of them.
    pub fn put(&mut self, endpoint: &Endpoint, configuration: &Configuration) {
        self.remove(&endpoint.vm);
        if endpoint.is_draining {
            return;
        }
        if let Some((kind, server)) = server(endpoint, configuration) {
            let servers = self.servers.entry(kind).or_default();
            let index = servers.partition_point(|other| other.vm < server.vm);
            servers.insert(index, server);
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, vm: &VmName) {
        for servers in self.servers.values_mut() {
            servers.retain(|server| server.vm != *vm);
        }
    }

    /// Returns the servers of a kind of request.
    pub fn of(&self, kind: &RequestKind) -> &[Server] {
        self.servers.get(kind).map_or(&[], Vec::as_slice)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = (&RequestKind, &Server)> {
        self.servers.iter().flat_map(|(kind, servers)| servers.iter().map(move |s| (kind, s)))
    }
}

fn server(endpoint: &Endpoint, configuration: &Configuration) -> Option<(RequestKind, Server)> {
    let pool = configuration.pools.get(&endpoint.pool)?;
    let mut server = Server {
        vm: endpoint.vm.clone(),
        address: endpoint.address,
        data_centre: endpoint.data_centre.clone(),
        slots: endpoint.slots.max(1),
        pace: 1.0,
        group: None,
        cold_until_ms: endpoint.cold_until_ms,
    };
    let Some(engine) = &pool.engine else {
        return Some((RequestKind { pool: pool.name.clone(), model: None }, server));
    };
    let membership = endpoint.membership.as_ref()?;
    if membership.rank != 0 || membership.state != MemberState::Open {
        return None;
    }
    let model = formation::model_of(&membership.group, engine)?;
    server.pace = model.pace;
    server.slots = engine.slots;
    server.group = Some((membership.group.clone(), membership.epoch));
    Some((RequestKind { pool: pool.name.clone(), model: Some(model.name.clone()) }, server))
}
