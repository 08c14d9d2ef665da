//! Format of the log lines of a real process.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Starts a node whose store cannot be reached; it logs that and keeps running.
fn start_node(name: &str) -> (Child, std::path::PathBuf) {
    let path = std::env::temp_dir().join(format!("hgw-logs-{}-{name}", std::process::id()));
    let text = format!(
        "nodeName=\"{name}\\\nzone=a\nip=127.0.0.1\nlisten.front=127.0.0.1:0\n\
         listen.ready=127.0.0.1:0\nportRange=0,0\nprovider.addr=127.0.0.1:9\n"
    );
    std::fs::write(&path, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_hibiscusgw"))
        .args(["serve", "--metrics", "127.0.0.1:0"])
        .env("HIBISCUSGW_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    (child, path)
}

#[test]
fn every_line_is_an_object_whatever_its_values_hold() {
    let (mut child, path) = start_node("quoted");
    let lines = BufReader::new(child.stdout.take().unwrap()).lines().take(3);
    for line in lines {
        let line = line.unwrap();
        let fields: serde_json::Value = serde_json::from_str(&line).expect(&line);
        assert!(fields["event"].is_u64(), "{line}");
        assert_eq!(fields["node"], "\"quoted\\", "{line}");
    }
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).unwrap();
}
