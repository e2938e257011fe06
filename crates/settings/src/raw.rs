//! The settings file as deserialised, before validation.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A table of numeric keys; `check` rejects unknown ones.
pub(crate) type Numbers = BTreeMap<String, u64>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub node: RawNode,
    pub platform: RawPlatform,
    #[serde(default)]
    pub peers: RawPeers,
    #[serde(default)]
    pub operators: Vec<RawOperator>,
    #[serde(default)]
    pub log: RawLog,
    #[serde(default)]
    pub claims: Numbers,
    #[serde(default)]
    pub cold_start: Numbers,
    #[serde(default)]
    pub groups: Numbers,
    #[serde(default)]
    pub limits: Numbers,
    #[serde(default)]
    pub shutdown: Numbers,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawNode {
    pub vm: String,
    pub region: String,
    pub data_centre: String,
    pub callers_address: String,
    pub peers_address: String,
    /// Address under which peers reach this node, if it differs from `peers_address`.
    pub peers_advertised_address: Option<String>,
    pub operators_address: String,
    pub metrics_address: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RawPlatform {
    pub log_address: String,
    pub vm_list_address: String,
    #[serde(flatten)]
    pub numbers: Numbers,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPeers {
    #[serde(default)]
    pub contacts: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawOperator {
    pub name: String,
    pub token_sha256: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLog {
    pub format: String,
    pub level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { format: "terminal".to_owned(), level: "info".to_owned() }
    }
}
