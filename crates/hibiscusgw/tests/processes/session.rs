//! A session through three nodes without faults, compared with a snapshot.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use hgw_standins::client::Whole;
use hgw_standins::cluster::{Chat, Cluster, Question, wait};
use hgw_standins::{Place, weights};
use http::Method;

use crate::{settings, start};

/// Responses to mixed requests through each node must be complete, and errors must have their codes.
#[test]
fn mixed_requests_through_each_node() {
    let mut settings = settings();
    settings.deployment.place = Place::Processes(standin_binary());
    settings.deployment.weights = weights::Settings::default();
    let cluster = start(settings);
    wait_for_adapter(&cluster);
    let mut session = String::new();
    for node in 0..cluster.nodes.len() {
        writeln!(session, "# through {}", cluster.nodes[node].id)
            .expect("writing to a string never fails");
        session += &session_through(&cluster, node);
    }
    insta::assert_snapshot!(session);
}

/// The binary of the stand-ins, which a test run of the whole workspace builds.
fn standin_binary() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusgw")).with_file_name("standin");
    assert!(program.exists(), "first run `cargo build -p hgw-standins --bin standin`");
    program
}

/// Adapters are loaded on the first request, so the session begins only when this one is served.
fn wait_for_adapter(cluster: &Cluster) {
    let question = Question::new("rules:school", "And here?", 1);
    for node in &cluster.nodes {
        wait("the adapter is loaded", || node.chat(&question).is_ok_and(|chat| chat.whole))
            .expect("the adapter is served through every node");
    }
}

fn session_through(cluster: &Cluster, number: usize) -> String {
    let node = &cluster.nodes[number];
    let chat = |question: Question| node.chat(&question).expect("a response");
    let plain = |method: Method, path: &str, headers: &[(&str, &str)], body| {
        node.plain(method, path, headers, body).expect("a response")
    };
    let question = Question { stream: false, ..Question::new("notes", "Short.", 3) };
    let caller = node.caller().expect("a client");
    let whole = caller.post("/v1/chat/completions", &question).expect("a response");
    let key = format!("voucher-{number}");
    let keyed = [("idempotency-key", key.as_str())];
    let first = ["amount=1", "amount=2", "amount=3"][number];
    let lines = [
        ("models", format_response(&plain(Method::GET, "/v1/models", &[], ""))),
        ("urgent", format_chat(&chat(Question::new("rules", "May I keep 20 000?", 6)))),
        (
            "overnight",
            format_chat(&chat(
                Question::new("notes", "Draft it.", 4).with("x-priority-class", "overnight"),
            )),
        ),
        ("adapter", format_chat(&chat(Question::new("rules:school", "And here?", 3)))),
        ("not streamed", format_response(&whole)),
        ("no such model", format_chat(&chat(Question::new("poems", "Rhyme.", 3)))),
        (
            "plain call",
            format_response(&plain(
                Method::GET,
                &format!("/svc/caja-app/status?node={number}"),
                &[],
                "",
            )),
        ),
        (
            "keyed call",
            format_response(&plain(Method::POST, "/svc/caja-app/vouchers", &keyed, first)),
        ),
        (
            "its repeat",
            format_response(&plain(Method::POST, "/svc/caja-app/vouchers", &keyed, first)),
        ),
        (
            "key reused",
            format_response(&plain(
                Method::POST,
                "/svc/caja-app/vouchers",
                &keyed,
                "amount=another",
            )),
        ),
        ("no such service", format_response(&plain(Method::GET, "/svc/library/books", &[], ""))),
    ];
    let mut text = String::new();
    for (name, line) in lines {
        writeln!(text, "{name}: {line}").expect("writing to a string never fails");
    }
    text
}

fn format_chat(chat: &Chat) -> String {
    format!(
        "{} {}{}",
        chat.status.as_u16(),
        normalize_text(&chat.text),
        if chat.whole { " [whole]" } else { "" }
    )
}

fn format_response(response: &Whole) -> String {
    format!("{} {}", response.status.as_u16(), normalize_text(&response.body))
}

/// The text with placeholders for values that differ from run to run.
fn normalize_text(text: &str) -> String {
    let Ok(mut value) = serde_json::from_str::<serde_json::Value>(text) else {
        return text.trim_end().to_owned();
    };
    normalize_value(&mut value);
    value.to_string()
}

/// Fields whose values differ from run to run, and the prefix of such a value.
const VOLATILE_FIELDS: &[(&str, &str)] =
    &[("id", "chatcmpl-"), ("request_id", ""), ("created", ""), ("retry_after_ms", "")];

fn normalize_value(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(fields) => {
            for (key, value) in fields {
                let text = value.as_str().unwrap_or_default();
                if VOLATILE_FIELDS
                    .iter()
                    .any(|(name, start)| key == name && text.starts_with(start))
                {
                    *value = format!("[{key}]").into();
                } else {
                    normalize_value(value);
                }
            }
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(normalize_value),
        _ => {}
    }
}
