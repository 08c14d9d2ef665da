//! Runs the binary with lines on its standard input.

use std::io::Write;
use std::process::{Command, Stdio};

/// Returns the exit code of the binary and all that it printed.
pub(crate) fn run_on(args: &[&str], lines: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusgw"))
        .args(args)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the command exits early, for example on invalid flags.
    let _ = child.stdin.take().unwrap().write_all(lines.as_bytes());
    let output = child.wait_with_output().unwrap();
    let code = output.status.code().unwrap();
    let out = String::from_utf8(output.stdout).unwrap();
    let err = String::from_utf8(output.stderr).unwrap();
    format!("exit code {code}\n--- stdout\n{out}--- stderr\n{err}")
}
