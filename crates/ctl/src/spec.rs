//! Reads organisations, pools and routes from TOML files and validates them.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use balsam_types::InvalidValue;
use balsam_wire::DecodeError;
use balsam_wire::pb::record::v1 as pb;
use balsam_wire::record::organisation_from_pb;
use balsam_wire::record::pool_from_pb;
use balsam_wire::record::route_from_pb;
use snafu::ResultExt;
use toml::Value;
use toml::de::DeTable;

use crate::error::CtlError;
use crate::error::ReadSnafu;

const ORGANISATION_KEYS: [&str; 5] =
    ["organisation", "token_sha256", "weight", "limit_per_s", "limit_in_flight"];

const POOL_KEYS: [&str; 11] = [
    "pool",
    "kind",
    "model",
    "version",
    "group_vms",
    "target_groups",
    "limit",
    "cold_limit",
    "checks_fence",
    "not_run_statuses",
    "weight_bytes",
];

const ROUTE_KEYS: [&str; 7] =
    ["route", "path_prefix", "model", "pool", "compare_pool", "idempotent", "deadline_ms"];

/// Reads an organisation.
pub fn organisation(path: &Path) -> Result<pb::Organisation, CtlError> {
    let file = SpecFile::load(path, &ORGANISATION_KEYS)?;
    let spec = pb::Organisation {
        organisation: file.string("organisation")?,
        token_sha256: file.string("token_sha256")?,
        weight: file.number("weight", Some(1))?,
        limit_per_s: file.number("limit_per_s", Some(0))?,
        limit_in_flight: file.number("limit_in_flight", Some(0))?,
    };
    file.validate(organisation_from_pb(spec.clone()))?;
    Ok(spec)
}

/// Reads a pool.
pub fn pool(path: &Path) -> Result<pb::Pool, CtlError> {
    let file = SpecFile::load(path, &POOL_KEYS)?;
    let kind = match file.string("kind")?.as_str() {
        "model" => pb::PoolKind::Model,
        "plain" => pb::PoolKind::Plain,
        other => return file.invalid("kind", other, "\"model\" or \"plain\""),
    };
    let is_model = kind == pb::PoolKind::Model;
    let string_for_model =
        |key| if is_model { file.string(key) } else { file.string_or_empty(key) };
    let limit = file.number("limit", None)?;
    let spec = pb::Pool {
        pool: file.string("pool")?,
        kind: kind.into(),
        model: string_for_model("model")?,
        version: string_for_model("version")?,
        group_vms: file.number("group_vms", if is_model { None } else { Some(1) })?,
        target_groups: file.number("target_groups", None)?,
        limit,
        cold_limit: file.number("cold_limit", if is_model { None } else { Some(limit) })?,
        checks_fence: file.boolean("checks_fence")?.unwrap_or(false),
        not_run_statuses: file.status_codes("not_run_statuses")?,
        weight_bytes: file.number("weight_bytes", if is_model { None } else { Some(0) })?,
    };
    file.validate(pool_from_pb(spec.clone()))?;
    Ok(spec)
}

/// Reads a route.
pub fn route(path: &Path) -> Result<pb::Route, CtlError> {
    let file = SpecFile::load(path, &ROUTE_KEYS)?;
    let (prefix, model) = (file.string_or_empty("path_prefix")?, file.string_or_empty("model")?);
    let matches = match (prefix.is_empty(), model.is_empty()) {
        (false, true) => pb::route::Matches::PathPrefix(prefix),
        (true, false) => pb::route::Matches::Model(model),
        (true, true) => return file.invalid("path_prefix", "missing", "path_prefix or model"),
        (false, false) => return file.invalid("model", &model, "no model if path_prefix is set"),
    };
    let spec = pb::Route {
        route: file.string("route")?,
        matches: Some(matches),
        pool: file.string("pool")?,
        compare_pool: file.string_or_empty("compare_pool")?,
        idempotent: file.boolean("idempotent")?,
        deadline_ms: file.number("deadline_ms", None)?,
    };
    file.validate(route_from_pb(spec.clone()))?;
    Ok(spec)
}

/// A file that holds only allowed keys.
struct SpecFile {
    path: PathBuf,
    source: String,
    table: toml::Table,
}

impl SpecFile {
    fn load(path: &Path, allowed: &[&str]) -> Result<Self, CtlError> {
        let source = fs::read_to_string(path).context(ReadSnafu { path })?;
        let table = source.parse::<toml::Table>().map_err(|error| CtlError::File {
            path: path.to_owned(),
            line: line_at(&source, error.span().map_or(0, |span| span.start)),
            message: error.message().to_owned(),
        })?;
        let file = Self { path: path.to_owned(), source, table };
        match file.table.keys().find(|key| !allowed.contains(&key.as_str())) {
            Some(key) => Err(file
                .error(key, format!("unknown key {key}, expected one of {}", allowed.join(", ")))),
            None => Ok(file),
        }
    }

    fn error(&self, key: &str, message: String) -> CtlError {
        CtlError::File { path: self.path.clone(), line: self.line_of(key), message }
    }

    fn invalid<T>(&self, key: &str, found: &str, expected: &str) -> Result<T, CtlError> {
        Err(self.error(key, format!("{key} is {found}, expected {expected}")))
    }

    /// Returns the line of a key, or 1 when the key is absent.
    fn line_of(&self, key: &str) -> usize {
        let Ok(document) = DeTable::parse(&self.source) else {
            return 1;
        };
        let found = document.get_ref().iter().find(|(name, _)| name.get_ref() == key);
        found.map_or(1, |(name, _)| line_at(&self.source, name.span().start))
    }

    fn string(&self, key: &str) -> Result<String, CtlError> {
        match self.table.get(key) {
            Some(Value::String(value)) if !value.is_empty() => Ok(value.clone()),
            Some(other) => self.invalid(key, &other.to_string(), "a non-empty string"),
            None => self.invalid(key, "missing", "a string"),
        }
    }

    fn string_or_empty(&self, key: &str) -> Result<String, CtlError> {
        match self.table.get(key) {
            Some(_) => self.string(key),
            None => Ok(String::new()),
        }
    }

    fn number<N>(&self, key: &str, default: Option<N>) -> Result<N, CtlError>
    where
        N: TryFrom<i64>,
    {
        let expected = "a non-negative integer";
        match (self.table.get(key), default) {
            (Some(Value::Integer(value)), _) => match N::try_from(*value) {
                Ok(number) => Ok(number),
                Err(_) => self.invalid(key, &value.to_string(), expected),
            },
            (Some(other), _) => self.invalid(key, &other.to_string(), expected),
            (None, Some(default)) => Ok(default),
            (None, None) => self.invalid(key, "missing", expected),
        }
    }

    fn boolean(&self, key: &str) -> Result<Option<bool>, CtlError> {
        match self.table.get(key) {
            Some(Value::Boolean(value)) => Ok(Some(*value)),
            Some(other) => self.invalid(key, &other.to_string(), "true or false"),
            None => Ok(None),
        }
    }

    fn status_codes(&self, key: &str) -> Result<Vec<u32>, CtlError> {
        let expected = "a list of HTTP status codes from 400 to 599";
        let Some(value) = self.table.get(key) else {
            return Ok(Vec::new());
        };
        let status = |value: &Value| {
            let status = value.as_integer().and_then(|status| u32::try_from(status).ok());
            status.filter(|status| (400..600).contains(status))
        };
        let status_codes = value.as_array().map(|values| values.iter().map(status).collect());
        match status_codes {
            Some(Some(status_codes)) => Ok(status_codes),
            _ => self.invalid(key, &value.to_string(), expected),
        }
    }

    /// Converts a validation error of the value types into an error that names the key.
    fn validate<T>(&self, result: Result<T, DecodeError>) -> Result<(), CtlError> {
        match result {
            Ok(_) => Ok(()),
            Err(DecodeError::Invalid { source, .. }) => {
                let key = self.key_for_error(&source);
                self.invalid(&key, &format!("{:?}", &*source.found), source.expected)
            }
            Err(other) => Err(self.error("", other.to_string())),
        }
    }

    /// Returns the key with the invalid value. An error for a name gives the type of the name
    /// instead of the key, so the key is found by its value.
    fn key_for_error(&self, error: &InvalidValue) -> String {
        if self.table.contains_key(error.field) {
            return error.field.to_owned();
        }
        let has_value = |value: &Value| value.as_str() == Some(&*error.found);
        let key = self.table.iter().find(|(_, value)| has_value(value)).map(|(key, _)| key.clone());
        key.unwrap_or_else(|| error.field.to_owned())
    }
}

fn line_at(source: &str, offset_bytes: usize) -> usize {
    let end = offset_bytes.min(source.len());
    source.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

#[cfg(test)]
mod tests {
    use std::io::Write;

    use rstest::rstest;

    use super::*;

    const ROUTE: &str = "route = \"reports\"\nmodel = \"m\"\npool = \"p\"\ndeadline_ms = 30000\n";

    fn error_of(source: &str) -> String {
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(source.as_bytes()).unwrap();
        route(file.path()).unwrap_err().to_string()
    }

    /// Guards against an error message that does not say where in the file the error is.
    #[rstest]
    #[case::unknown_key(
        "deadline_ms = 30000",
        "deadline = 1",
        ":4: unknown key deadline, expected one of"
    )]
    #[case::wrong_type("deadline_ms = 30000", "deadline_ms = \"x\"", ":4: deadline_ms is \"x\"")]
    #[case::negative("deadline_ms = 30000", "deadline_ms = -1", ":4: deadline_ms is -1")]
    #[case::zero("deadline_ms = 30000", "deadline_ms = 0", ":4: deadline_ms is \"0\", expected")]
    #[case::missing("pool = \"p\"", "", ":1: pool is missing, expected a string")]
    #[case::name("pool = \"p\"", "pool = \"p q\"", ":3: pool is \"p q\"")]
    #[case::prefix("model = \"m\"", "path_prefix = \"m\"", ":2: path_prefix is \"m\"")]
    #[case::syntax("pool = \"p\"", "pool = ", ":3: ")]
    fn errors_name_file_line_and_key(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
        let error = error_of(&ROUTE.replace(from, to));
        assert!(error.contains(expected), "{error}");
    }
}
