//! Generates the protobuf code committed in `balsam-wire`, so that its build needs no generator.
//!
//! It is a separate crate because `balsam-wire` may not compile while its generated code is out of
//! date with `proto/`.

use std::fmt::Display;
use std::io;
use std::path::Path;

const PROTO_FILES: [&str; 6] = [
    "gossip.proto",
    "operator.proto",
    "peer.proto",
    "platform.proto",
    "record.proto",
    "snapshot.proto",
];

/// Generates the code of every file in `proto_dir` into `out_dir`.
pub fn generate(proto_dir: &Path, out_dir: &Path) -> io::Result<()> {
    let descriptors = protox::compile(PROTO_FILES, [proto_dir]).map_err(invalid_data)?;
    tonic_prost_build::configure().out_dir(out_dir).compile_fds(descriptors)
}

fn invalid_data(error: impl Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}
