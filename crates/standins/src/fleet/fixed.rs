//! Fixed bytes in place of an engine's responses, such as responses that are broken.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::proxy::{Message, Proxy, field, read_body, read_head};

/// What stands for the id of the request.
const ID: &[u8] = b"{id}";

/// What is sent in place of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FixedResponse {
    /// The bytes; `{id}` in them stands for the id of the request.
    pub bytes: Vec<u8>,
    /// Whether the connection is kept after them.
    pub keeps_open: bool,
}

impl FixedResponse {
    fn bytes_for(&self, id: &str) -> Vec<u8> {
        let mut bytes = self.bytes.clone();
        while let Some(at) = bytes.windows(ID.len()).position(|part| part == ID) {
            bytes.splice(at..at + ID.len(), id.bytes());
        }
        bytes
    }
}

/// Starts a server before the engine at `engine`: it passes requests on, so that the engine counts its runs.
pub(super) fn start(
    engine: SocketAddr,
    fixed: &IndexMap<String, FixedResponse>,
) -> io::Result<Proxy> {
    let fixed = Arc::new(fixed.clone());
    Proxy::start(engine, move |node, engine| serve(node, engine, Arc::clone(&fixed)))
}

/// Serves a connection until one of its ends closes it.
async fn serve(
    mut node: TcpStream,
    mut engine: TcpStream,
    fixed: Arc<IndexMap<String, FixedResponse>>,
) -> io::Result<()> {
    loop {
        let request = Message::read(&mut node).await?;
        engine.write_all(&request.bytes()).await?;
        let head = read_head(&mut engine).await?;
        let body = read_body(&mut engine, &head).await?;
        let id = field(&request.head, "x-request-id").unwrap_or_default();
        let response = id.split('.').next().and_then(|name| fixed.get(name));
        match response.filter(|_| field(&head, "x-response-seal").is_some()) {
            Some(response) => {
                node.write_all(&response.bytes_for(id)).await?;
                if !response.keeps_open {
                    return node.shutdown().await;
                }
            }
            None => node.write_all(&Message { head, body }.bytes()).await?,
        }
    }
}
