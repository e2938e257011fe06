//! Guards against units, defaults and ranges in `docs/settings.md` that differ from the code.

use std::fs;
use std::path::Path;

use balsam_settings::keys::NUMERIC_KEYS;
use balsam_settings::keys::documentation_row;

#[test]
fn docs_list_every_numeric_key_with_unit_default_and_limits() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(path).expect("docs/settings.md is readable");
    let documented: Vec<&str> = page.lines().filter(|line| line.contains(" to ")).collect();
    for entry in NUMERIC_KEYS {
        let expected = documentation_row(entry);
        assert!(documented.contains(&expected.as_str()), "docs/settings.md has no row\n{expected}");
    }
}
