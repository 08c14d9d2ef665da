//! Client for the operator API of a node.

mod error;
mod framing;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hgw_wire::operator::{
    ApplyReply, ApplyRequest, GetReply, GetRequest, OutcomeRequest, StateReply, StateRequest,
    StatusReply, StatusRequest, path,
};
use http::{HeaderMap, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use prost::Message;

pub use error::{Error, Result};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The state dump of a large node is the largest response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The HTTP/2 default. With a larger window, longer responses fail with `FLOW_CONTROL_ERROR`, because
/// the server (xitca-http 0.9.6) sends more than the window allows.
const STREAM_WINDOW_BYTES: u32 = 65_535;

const GRPC_STATUS: &str = "grpc-status";
const GRPC_MESSAGE: &str = "grpc-message";

/// Client for one node.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client for the operator listener at `addr`; the first call connects.
    pub fn new(addr: SocketAddr, token: &str) -> Client {
        let mut http = HttpClient::builder(TokioExecutor::new());
        http.http2_only(true).http2_initial_stream_window_size(STREAM_WINDOW_BYTES);
        let http = http.build_http();
        Client { http, addr, token: token.to_owned() }
    }

    /// Publishes a configuration document.
    pub async fn apply(&self, req: &ApplyRequest) -> Result<ApplyReply> {
        self.call(path::APPLY, req).await
    }

    /// Queries the outcome of the change with this id.
    pub async fn outcome(&self, id: &str) -> Result<ApplyReply> {
        self.call(path::OUTCOME, &OutcomeRequest { id: id.to_owned() }).await
    }

    /// Gets the configuration in force.
    pub async fn get(&self) -> Result<GetReply> {
        self.call(path::GET, &GetRequest {}).await
    }

    /// Lists the nodes that the node knows, with their configuration versions.
    pub async fn status(&self) -> Result<StatusReply> {
        self.call(path::STATUS, &StatusRequest {}).await
    }

    /// Gets a dump of the node's state, as JSON.
    pub async fn state(&self) -> Result<StateReply> {
        self.call(path::STATE, &StateRequest {}).await
    }

    async fn call<Reply: Message + Default>(
        &self,
        path: &str,
        req: &impl Message,
    ) -> Result<Reply> {
        let response = tokio::time::timeout(CALL_TIMEOUT, self.send(path, req)).await;
        let (headers, body) = response.map_err(|_| Error::Timeout { addr: self.addr })??;
        // A refusal carries its status in the headers, or in the trailers of an empty body.
        let trailers = body.trailers().cloned().unwrap_or_default();
        let status =
            [&trailers, &headers].into_iter().find_map(grpc_status).ok_or(Error::MissingStatus)?;
        if status != 0 {
            let message =
                [&trailers, &headers].into_iter().find_map(grpc_message).unwrap_or_default();
            return Err(Error::Refused { status, message });
        }
        framing::decode(&body.to_bytes())
    }

    async fn send(
        &self,
        path: &str,
        req: &impl Message,
    ) -> Result<(HeaderMap, http_body_util::Collected<Bytes>)> {
        let req = Request::post(format!("http://{}{path}", self.addr))
            .header(header::CONTENT_TYPE, "application/grpc")
            .header(header::TE, "trailers")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(framing::encode(req)))
            .map_err(|_| Error::InvalidToken)?;
        let addr = self.addr;
        let unreachable = |source| Error::Unreachable { addr, source };
        let res = self.http.request(req).await.map_err(unreachable)?;
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|source| Error::IncompleteResponse { source })?;
        Ok((parts.headers, body))
    }
}

fn grpc_status(headers: &HeaderMap) -> Option<u16> {
    headers.get(GRPC_STATUS)?.to_str().ok()?.parse().ok()
}

fn grpc_message(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(GRPC_MESSAGE)?.to_str().ok()?;
    Some(framing::percent_decode(text))
}
