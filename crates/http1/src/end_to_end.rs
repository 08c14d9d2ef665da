//! Headers that concern one connection only.

use http::HeaderMap;
use http::header::CONNECTION;

/// Headers that are not forwarded, whether or not `Connection` names them.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Copies the headers that concern more than one connection, except those in `except`.
pub fn end_to_end_headers(headers: &HeaderMap, except: &[&str]) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped = HOP_BY_HOP.contains(&text)
            || except.contains(&text)
            || connection_options.iter().any(|n| n == text);
        if !is_dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
