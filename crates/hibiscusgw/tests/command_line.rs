//! Output and exit codes of the binary for command lines, compared with snapshots.

use std::path::Path;
use std::process::Command;

/// Runs the binary in the `examples` directory with only these environment variables, and returns its exit
/// code and all that it printed.
fn run(args: &[&str], env: &[(&str, &str)]) -> String {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusgw"))
        .args(args)
        .env_clear()
        .envs(env.iter().copied())
        .current_dir(examples)
        .output()
        .unwrap();
    let code = output.status.code().unwrap();
    let out = String::from_utf8(output.stdout).unwrap();
    let err = String::from_utf8(output.stderr).unwrap();
    format!("exit code {code}\n--- stdout\n{out}--- stderr\n{err}")
}

macro_rules! outputs {
    ($($name:ident => $args:expr $(, $env:expr)?;)*) => {$(
        #[test]
        fn $name() {
            #[allow(unused_mut, unused_assignments)]
            let mut env: &[(&str, &str)] = &[];
            $(env = &$env;)?
            insta::assert_snapshot!(run(&$args, env));
        }
    )*};
}

outputs! {
    help => ["--help"];
    help_of_serve => ["serve", "--help"];
    help_of_apply => ["apply", "--help"];
    version_of_a_command => ["get", "--version"];
    no_command => [];
    unknown_command => ["sreve"];
    unknown_flag => ["serve", "--nod", "a"];
    serve_names_every_fault => ["serve", "--callers", "here", "--key-shards", "0"],
        [("HIBISCUSGW_LOG_LEVEL", "loud"), ("HIBISCUSGW_NODE", "a b"), ("HIBISCUSGW_SECRET", "short")];
    valid_example => ["check", "petty-cash.json"];
    no_such_file => ["check", "nowhere.json"];
    not_a_document => ["check", "../README.md"];
    apply_without_its_base => ["apply", "petty-cash.json"];
    token_that_is_too_short => ["status", "--operator-token", "short"];
    node_that_cannot_be_reached => ["status", "--operators", "127.0.0.1:9"],
        [("HIBISCUSGW_OPERATOR_TOKEN", "sixteen characters")];
}
