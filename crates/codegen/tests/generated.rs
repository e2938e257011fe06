//! Guards against generated code that no longer matches `proto/`.
//!
//! After a change in `proto/`, `UPDATE_GENERATED=1 cargo test -p balsam-codegen` regenerates it.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use balsam_codegen::generate;

fn file_names(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("directory is readable");
    let mut names: Vec<PathBuf> =
        entries.map(|entry| PathBuf::from(entry.expect("entry is readable").file_name())).collect();
    names.retain(|name| name.extension().is_some_and(|extension| extension == "rs"));
    names.sort();
    names
}

#[test]
fn committed_code_matches_the_generated_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (proto, committed) = (root.join("proto"), root.join("crates/wire/src/generated"));
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        generate(&proto, &committed).expect("code is generated");
    }
    let temp_dir = tempfile::tempdir().expect("temporary directory");
    generate(&proto, temp_dir.path()).expect("code is generated");
    assert_eq!(file_names(&committed), file_names(temp_dir.path()));
    for name in file_names(temp_dir.path()) {
        let expected = fs::read_to_string(temp_dir.path().join(&name)).expect("generated file");
        let found = fs::read_to_string(committed.join(&name)).expect("committed file");
        assert!(expected == found, "{} is out of date", name.display());
    }
}
