//! Validates a parsed settings file and builds [`Settings`].

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::InvalidValue;
use balsam_types::OperatorName;
use balsam_types::RegionName;
use balsam_types::VmName;
use snafu::ResultExt;

use crate::error::ReadSnafu;
use crate::error::SettingsError;
use crate::keys;
use crate::locate::line_of_key;
use crate::locate::line_of_offset;
use crate::raw::Numbers;
use crate::raw::RawOperator;
use crate::raw::RawSettings;

/// The validated settings of an entry node. See `docs/settings.md`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity and listen addresses of this node.
    pub node: NodeSettings,
    /// Addresses and timing of the platform services.
    pub platform: PlatformSettings,
    /// Peer addresses to contact before the VM list is known.
    pub contacts: Vec<SocketAddr>,
    /// Operators with the SHA-256 of their tokens in lower-case hex.
    pub operators: Vec<(OperatorName, Arc<str>)>,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Time limits of claims, which make keyed requests at-most-once.
    pub claims: ClaimSettings,
    /// Time limits of cold-start permits.
    pub cold_start: ColdStartSettings,
    /// Settings of probes, evidence and repair.
    pub groups: GroupSettings,
    /// Limits on connections and requests of callers and on endpoint connections.
    pub limits: LimitSettings,
    /// How long open requests may take to end after SIGTERM.
    pub shutdown_limit_s: u64,
}

/// Identity and listen addresses of the node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the VM in the VM list of the platform.
    pub vm: VmName,
    /// The region of the data centre.
    pub region: RegionName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for other entry nodes.
    pub peers_address: SocketAddr,
    /// Address under which other entry nodes reach this node.
    pub peers_advertised_address: SocketAddr,
    /// Listen address for `balsamctl`.
    pub operators_address: SocketAddr,
    /// Listen address for metrics, `/live` and `/ready`.
    pub metrics_address: SocketAddr,
}

/// Addresses and timing of the platform services.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log_address: SocketAddr,
    /// Address of the VM list service.
    pub vm_list_address: SocketAddr,
    /// Timeout of one append.
    pub append_timeout_ms: u64,
    /// How long a read of the log waits for the next record.
    pub read_wait_ms: u64,
    /// Interval between reads of the VM list.
    pub vm_list_interval_ms: u64,
    /// Number of records after which a snapshot is appended.
    pub snapshot_every_records: u64,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text for a terminal.
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Format and level of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// Whether debug lines are logged.
    pub debug: bool,
}

/// Time limits of claims, which make keyed requests at-most-once.
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// How long after its append a claim may be dispatched by its holder.
    pub claim_dispatch_ms: u64,
    /// How long a request waits for its claim to be confirmed.
    pub claim_wait_ms: u64,
}

/// Time limits of cold-start permits.
#[derive(Debug, Clone)]
pub struct ColdStartSettings {
    /// Maximum age of the permit owner's last read of the log.
    pub owner_fresh_ms: u64,
    /// Maximum request deadline.
    pub max_deadline_ms: u64,
}

/// Settings of probes, evidence and repair.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Interval between two probes of a VM by the same prober.
    pub probe_interval_ms: u64,
    /// Timeout of a probe.
    pub probe_timeout_ms: u64,
    /// Number of entry nodes that probe one VM.
    pub probers: u64,
    /// Maximum age of the evidence that a group member is present.
    pub evidence_fresh_ms: u64,
    /// How long a member must be missing before its group is repaired.
    pub settle_ms: u64,
    /// How long new orders wait in pools whose endpoints ignore fencing numbers.
    pub order_quarantine_ms: u64,
    /// Throughput of the weight store.
    pub store_bytes_per_s: u64,
}

/// Limits on connections and requests of callers and on endpoint connections.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Maximum number of open connections from callers.
    pub max_connections: u64,
    /// Maximum size of a request head.
    pub max_header_bytes: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head.
    pub header_timeout_ms: u64,
    /// Timeout for receiving a request body.
    pub body_timeout_ms: u64,
    /// Maximum number of requests waiting for capacity.
    pub max_queued: u64,
    /// How long an endpoint connection may carry no data while an answer is due.
    pub silence_ms: u64,
    /// Timeout for opening a connection to an endpoint.
    pub connect_timeout_ms: u64,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let source = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &source)
    }

    /// Parses and validates the text of a settings file; `path` appears only in error messages.
    pub fn parse(path: &Path, source: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings = toml::from_str(source).map_err(|error| SettingsError::Syntax {
            path: path.to_owned(),
            line: line_of_offset(source, error.span().map_or(0, |span| span.start)),
            message: error.message().to_owned(),
        })?;
        Checker { path, source }.check_settings(&raw)
    }
}

struct Checker<'a> {
    path: &'a Path,
    source: &'a str,
}

impl Checker<'_> {
    fn check_settings(&self, raw: &RawSettings) -> Result<Settings, SettingsError> {
        self.check_known_keys("platform", &raw.platform.numbers)?;
        self.check_known_keys("claims", &raw.claims)?;
        self.check_known_keys("cold_start", &raw.cold_start)?;
        self.check_known_keys("groups", &raw.groups)?;
        self.check_known_keys("limits", &raw.limits)?;
        self.check_known_keys("shutdown", &raw.shutdown)?;
        let settings = Settings {
            node: self.node(raw)?,
            platform: self.platform(raw)?,
            contacts: self.contacts(raw)?,
            operators: self.operators(&raw.operators)?,
            log: self.log(raw)?,
            claims: self.claims(&raw.claims)?,
            cold_start: self.cold_start(&raw.cold_start)?,
            groups: self.groups(&raw.groups)?,
            limits: self.limits(&raw.limits)?,
            shutdown_limit_s: self.number("shutdown.limit_s", &raw.shutdown)?,
        };
        self.check_consistency(&settings)?;
        Ok(settings)
    }

    fn node(&self, raw: &RawSettings) -> Result<NodeSettings, SettingsError> {
        let node = &raw.node;
        let peers_address = self.address("node.peers_address", &node.peers_address)?;
        let advertised = match &node.peers_advertised_address {
            Some(address) => self.address("node.peers_advertised_address", address)?,
            None => peers_address,
        };
        Ok(NodeSettings {
            vm: self.name("node.vm", &node.vm)?,
            region: self.name("node.region", &node.region)?,
            data_centre: self.name("node.data_centre", &node.data_centre)?,
            callers_address: self.address("node.callers_address", &node.callers_address)?,
            peers_address,
            peers_advertised_address: advertised,
            operators_address: self.address("node.operators_address", &node.operators_address)?,
            metrics_address: self.address("node.metrics_address", &node.metrics_address)?,
        })
    }

    fn platform(&self, raw: &RawSettings) -> Result<PlatformSettings, SettingsError> {
        let platform = &raw.platform;
        let numbers = &platform.numbers;
        Ok(PlatformSettings {
            log_address: self.address("platform.log_address", &platform.log_address)?,
            vm_list_address: self.address("platform.vm_list_address", &platform.vm_list_address)?,
            append_timeout_ms: self.number("platform.append_timeout_ms", numbers)?,
            read_wait_ms: self.number("platform.read_wait_ms", numbers)?,
            vm_list_interval_ms: self.number("platform.vm_list_interval_ms", numbers)?,
            snapshot_every_records: self.number("platform.snapshot_every_records", numbers)?,
        })
    }

    fn contacts(&self, raw: &RawSettings) -> Result<Vec<SocketAddr>, SettingsError> {
        raw.peers.contacts.iter().map(|contact| self.address("peers.contacts", contact)).collect()
    }

    fn operators(
        &self,
        raw: &[RawOperator],
    ) -> Result<Vec<(OperatorName, Arc<str>)>, SettingsError> {
        raw.iter().map(|operator| self.operator(operator)).collect()
    }

    fn operator(&self, raw: &RawOperator) -> Result<(OperatorName, Arc<str>), SettingsError> {
        let token = raw.token_sha256.to_ascii_lowercase();
        let is_hex = token.bytes().all(|byte| byte.is_ascii_hexdigit());
        if token.len() != 64 || !is_hex {
            return Err(self.reject(
                "operators",
                &raw.token_sha256,
                "token_sha256 of 64 hex digits",
            ));
        }
        Ok((self.name("operators", &raw.name)?, Arc::from(token)))
    }

    fn log(&self, raw: &RawSettings) -> Result<LogSettings, SettingsError> {
        let format = match raw.log.format.as_str() {
            "terminal" => LogFormat::Terminal,
            "json" => LogFormat::Json,
            other => return Err(self.reject("log.format", other, "\"terminal\" or \"json\"")),
        };
        let debug = match raw.log.level.as_str() {
            "info" => false,
            "debug" => true,
            other => return Err(self.reject("log.level", other, "\"info\" or \"debug\"")),
        };
        Ok(LogSettings { format, debug })
    }

    fn claims(&self, raw: &Numbers) -> Result<ClaimSettings, SettingsError> {
        Ok(ClaimSettings {
            claim_dispatch_ms: self.number("claims.claim_dispatch_ms", raw)?,
            claim_wait_ms: self.number("claims.claim_wait_ms", raw)?,
        })
    }

    fn cold_start(&self, raw: &Numbers) -> Result<ColdStartSettings, SettingsError> {
        Ok(ColdStartSettings {
            owner_fresh_ms: self.number("cold_start.owner_fresh_ms", raw)?,
            max_deadline_ms: self.number("cold_start.max_deadline_ms", raw)?,
        })
    }

    fn groups(&self, raw: &Numbers) -> Result<GroupSettings, SettingsError> {
        Ok(GroupSettings {
            probe_interval_ms: self.number("groups.probe_interval_ms", raw)?,
            probe_timeout_ms: self.number("groups.probe_timeout_ms", raw)?,
            probers: self.number("groups.probers", raw)?,
            evidence_fresh_ms: self.number("groups.evidence_fresh_ms", raw)?,
            settle_ms: self.number("groups.settle_ms", raw)?,
            order_quarantine_ms: self.number("groups.order_quarantine_ms", raw)?,
            store_bytes_per_s: self.number("groups.store_bytes_per_s", raw)?,
        })
    }

    fn limits(&self, raw: &Numbers) -> Result<LimitSettings, SettingsError> {
        Ok(LimitSettings {
            max_connections: self.number("limits.max_connections", raw)?,
            max_header_bytes: self.number("limits.max_header_bytes", raw)?,
            max_body_bytes: self.number("limits.max_body_bytes", raw)?,
            header_timeout_ms: self.number("limits.header_timeout_ms", raw)?,
            body_timeout_ms: self.number("limits.body_timeout_ms", raw)?,
            max_queued: self.number("limits.max_queued", raw)?,
            silence_ms: self.number("limits.silence_ms", raw)?,
            connect_timeout_ms: self.number("limits.connect_timeout_ms", raw)?,
        })
    }

    /// Rejects values that contradict each other.
    fn check_consistency(&self, settings: &Settings) -> Result<(), SettingsError> {
        let groups = &settings.groups;
        if groups.probe_timeout_ms >= groups.probe_interval_ms {
            let found = groups.probe_timeout_ms.to_string();
            let expected = "a value below groups.probe_interval_ms";
            return Err(self.reject("groups.probe_timeout_ms", &found, expected));
        }
        if groups.evidence_fresh_ms < 2 * groups.probe_interval_ms {
            let found = groups.evidence_fresh_ms.to_string();
            let expected = "at least twice groups.probe_interval_ms";
            return Err(self.reject("groups.evidence_fresh_ms", &found, expected));
        }
        Ok(())
    }

    fn check_known_keys(&self, table: &str, numbers: &Numbers) -> Result<(), SettingsError> {
        for (name, value) in numbers {
            let key = format!("{table}.{name}");
            if !keys::NUMERIC_KEYS.iter().any(|entry| entry.key == key) {
                return Err(self.reject(&key, &value.to_string(), &self.expected_keys(table)));
            }
        }
        Ok(())
    }

    fn expected_keys(&self, table: &str) -> String {
        let prefix = format!("{table}.");
        let known = keys::NUMERIC_KEYS.iter().filter_map(|entry| entry.key.strip_prefix(&prefix));
        format!("one of the known keys: {}", known.collect::<Vec<_>>().join(", "))
    }

    fn number(&self, key: &str, numbers: &Numbers) -> Result<u64, SettingsError> {
        let entry = keys::numeric_key(key);
        let name = key.rsplit('.').next().unwrap_or(key);
        let value = numbers.get(name).copied().unwrap_or(entry.default);
        if entry.accepted_range.contains(&value) {
            return Ok(value);
        }
        let expected = format!(
            "{} to {} {}",
            entry.accepted_range.start(),
            entry.accepted_range.end(),
            entry.unit
        );
        Err(self.reject(key, &value.to_string(), &expected))
    }

    fn name<N>(&self, key: &str, raw: &str) -> Result<N, SettingsError>
    where
        N: for<'a> TryFrom<&'a str, Error = InvalidValue>,
    {
        N::try_from(raw).map_err(|error| self.reject(key, &format!("{raw:?}"), error.expected))
    }

    fn address(&self, key: &str, raw: &str) -> Result<SocketAddr, SettingsError> {
        raw.parse().map_err(|_| self.reject(key, &format!("{raw:?}"), "an IP address and port"))
    }

    fn reject(&self, key: &str, found: &str, expected: &str) -> SettingsError {
        SettingsError::Value {
            path: PathBuf::from(self.path),
            line: line_of_key(self.source, key),
            key: key.to_owned(),
            found: found.to_owned(),
            expected: expected.to_owned(),
        }
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const MINIMAL: &str = r#"[node]
vm = "entry-a1"
region = "hu-east"
data_centre = "hu-east-a"
callers_address = "127.0.0.1:8080"
peers_address = "127.0.0.1:8081"
operators_address = "127.0.0.1:8082"
metrics_address = "127.0.0.1:8083"

[platform]
log_address = "127.0.0.1:7000"
vm_list_address = "127.0.0.1:7000"
"#;

    fn parse(extra: &str) -> Result<Settings, SettingsError> {
        Settings::parse(Path::new("node.toml"), &format!("{MINIMAL}{extra}"))
    }

    /// Guards against defaults that differ from the documented ones when a key is omitted.
    #[test]
    fn omitted_keys_get_the_documented_defaults() {
        let settings = parse("").unwrap();
        assert_eq!(settings.groups.evidence_fresh_ms, 2_000);
        assert_eq!(settings.node.peers_advertised_address, settings.node.peers_address);
    }

    /// Guards against invalid settings that are accepted or reported without file and line.
    #[rstest]
    #[case::unknown_key("[claims]\nclaim_wait = 5\n", "node.toml:14: claims.claim_wait is 5")]
    #[case::unknown_table("[clams]\n", "node.toml:13: unknown field `clams`")]
    #[case::unit_in_value("[claims]\nclaim_wait_ms = \"3s\"\n", "node.toml:14: invalid type")]
    #[case::out_of_range(
        "[groups]\nprobers = 0\n",
        "node.toml:14: groups.probers is 0, expected 1 to 16"
    )]
    #[case::contradiction(
        "[groups]\nprobe_timeout_ms = 900\n",
        "node.toml:14: groups.probe_timeout_ms is 900, expected a value below"
    )]
    #[case::bad_log_format("[log]\nformat = \"xml\"\n", "node.toml:14: log.format is xml")]
    #[case::platform_key("wait = 3\n", "node.toml:13: platform.wait is 3")]
    fn rejects_invalid_settings_with_file_and_line(#[case] extra: &str, #[case] expected: &str) {
        let message = parse(extra).unwrap_err().to_string();
        assert!(message.starts_with(expected), "{message}");
    }

    /// Guards against addresses that need a name lookup: nodes connect to each other by IP address.
    #[test]
    fn rejects_a_host_name_in_an_address() {
        let source = MINIMAL.replace("127.0.0.1:8080", "localhost:8080");
        let error = Settings::parse(Path::new("node.toml"), &source).unwrap_err();
        assert!(error.to_string().contains("node.toml:5: node.callers_address"), "{error}");
    }
}
