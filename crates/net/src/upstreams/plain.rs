//! A plain service's call: sent once, its answer handed on as it comes.

use hgw_wire::peer::{Chunk, Outcome, PlainWork};
use hgw_wire::upstream::ATTEMPT_HEADER;
use http::{HeaderName, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::attempt::InProgress;
use super::body::SendBody;
use super::outlet::Outlet;
use super::silence::{self, Wait};
use super::{CallError, client};

/// Largest piece of a body that is handed on at once, in bytes.
const MAX_PIECE: usize = 16 << 10;

/// Headers that belong to one connection and not to the call.
const OF_CONNECTION: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header belongs to the call, and goes on with it.
pub(crate) fn is_end_to_end(name: &HeaderName) -> bool {
    let name = name.as_str();
    !OF_CONNECTION.contains(&name) && name != "content-length" && name != ATTEMPT_HEADER
}

/// Runs a call to its end. It is never sent twice: nobody here knows whether it may be.
pub(super) async fn run(
    running: &InProgress<'_>,
    work: &PlainWork,
    outlet: &mut Outlet,
) -> Outcome {
    let req = match request(running, work) {
        Ok(req) => req,
        Err(e) => return Outcome::NotRun(e.to_string()),
    };
    let client = if req.method().is_safe() { &running.cx.pooled } else { &running.cx.recent };
    running.mark_sent();
    let res = match silence::wait_for(running, client.send(req)).await {
        Wait::Done(Ok(res)) => res,
        Wait::Done(Err(e @ CallError::NotSent(_))) => return Outcome::NotRun(e.to_string()),
        Wait::Done(Err(e)) => return Outcome::Broken(e.to_string()),
        Wait::ConnectionLost | Wait::UpstreamLost => return Outcome::Broken(running.silent()),
    };
    match answer(running, res, outlet).await {
        Ok(chunks) => Outcome::Whole(chunks),
        Err(reason) => Outcome::Broken(reason),
    }
}

fn request(running: &InProgress<'_>, work: &PlainWork) -> client::Result<Request<SendBody>> {
    let uri = format!("http://{}{}", running.start.addr, work.path);
    let mut builder = Request::builder().method(work.method.as_str()).uri(uri);
    for (name, value) in &work.headers {
        builder = builder.header(name, value);
    }
    builder = builder.header(ATTEMPT_HEADER, running.id().to_string());
    client::build(builder, work.body.clone())
}

/// Hands the answer on and counts its chunks; the error says why it is not whole.
async fn answer(
    running: &InProgress<'_>,
    res: Response<Incoming>,
    outlet: &mut Outlet,
) -> Result<u32, String> {
    let echoed = res.headers().get(ATTEMPT_HEADER).and_then(|v| v.to_str().ok());
    if echoed != Some(running.id().to_string().as_str()) {
        // Another call's answer, late or crossed: handing it on would give it to the wrong caller.
        return Err(format!("the answer belongs to attempt {echoed:?}"));
    }
    let headers = res.headers().iter().filter(|(name, _)| is_end_to_end(name));
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect();
    let status = res.status().as_u16();
    outlet.push(Chunk::Head { status, headers }).await?;
    outlet.progress(running.cx, 0);
    let mut body = res.into_body();
    let mut chunks = 1;
    loop {
        let frame = match silence::wait_for(running, body.frame()).await {
            Wait::Done(None) => return Ok(chunks),
            Wait::Done(Some(frame)) => frame.map_err(|e| client::cause(&e))?,
            Wait::ConnectionLost | Wait::UpstreamLost => return Err(running.silent()),
        };
        let Ok(mut data) = frame.into_data() else { continue };
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_PIECE));
            outlet.push(Chunk::Body(piece)).await?;
            chunks += 1;
        }
        outlet.progress(running.cx, 0);
    }
}
