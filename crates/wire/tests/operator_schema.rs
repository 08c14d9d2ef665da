//! The committed messages are those that the schema gives.
//!
//! To write them anew: `HGW_GENERATE=1 cargo test -p hgw-wire --test operator_schema`.

use std::path::Path;

const GENERATED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src/operator/generated.rs");

/// What prost makes of the schema, with its doc comments. `too_many_lines` and the like are no matter
/// for code that nobody writes.
fn generate() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../proto");
    let schema = protox::compile([root.join("operator.proto")], [&root]).unwrap();
    let dir = std::env::temp_dir().join(format!("hgw-operator-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    prost_build::Config::new().out_dir(&dir).compile_fds(schema).unwrap();
    let code = std::fs::read_to_string(dir.join("hibiscusgw.v1.rs")).unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    code
}

#[test]
fn generated_code_is_current() {
    let code = generate();
    if std::env::var_os("HGW_GENERATE").is_some() {
        std::fs::write(GENERATED, &code).unwrap();
    }
    let committed = std::fs::read_to_string(GENERATED).unwrap();
    assert!(committed == code, "run HGW_GENERATE=1 cargo test -p hgw-wire --test operator_schema");
}
