//! `explain`: the story of a request from lines of a played day, node after node.

use std::io::Write;
use std::process::{Command, Stdio};

const LINES: &str = include_str!("lines.log");

fn explained(id: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusgw"))
        .args(["explain", id])
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(LINES.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let code = output.status.code().unwrap();
    let out = String::from_utf8(output.stdout).unwrap();
    let err = String::from_utf8(output.stderr).unwrap();
    format!("exit code {code}\n--- stdout\n{out}--- stderr\n{err}")
}

macro_rules! explains {
    ($($name:ident => $id:literal;)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(explained($id));
        }
    )*};
}

explains! {
    request_that_was_refused => "65495594d0e923e4";
    request_that_failed => "7c0eeec3723a5759";
    stream_that_went_on_elsewhere => "32506bef45d983cc";
    request_that_no_line_names => "0000000000000000";
}
