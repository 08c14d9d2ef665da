//! The listener for operators: unary gRPC over plaintext HTTP/2, as `proto/operator.proto` says.

mod access;
mod calls;
mod convert;

use std::net::TcpListener;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hgw_wire::operator::path;
use xitca_server::ServerHandle;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::route::post;

use crate::{Error, OperatorPort, Result};
use access::Token;

/// Longest wait for the control thread. It answers `unknown` itself where the log takes long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a call's head.
const MAX_HEAD: usize = 16 << 10;

/// What all calls share.
pub(crate) struct Context {
    port: Arc<dyn OperatorPort>,
    token: Token,
}

/// The operators' listener at work.
pub struct Operators {
    handle: ServerHandle,
    thread: JoinHandle<()>,
}

impl Operators {
    /// Serves the calls that come to `listener` in a thread of its own. Every call must carry `token`;
    /// with an empty one none is let in.
    pub fn start(
        listener: TcpListener,
        port: Arc<dyn OperatorPort>,
        token: &str,
    ) -> Result<Operators> {
        let cx = Arc::new(Context { port, token: Token::new(token) });
        let app = App::new()
            .with_state(cx)
            .at(path::APPLY, post(handler_service(calls::apply)))
            .at(path::OUTCOME, post(handler_service(calls::outcome)))
            .at(path::GET, post(handler_service(calls::get)))
            .at(path::STATUS, post(handler_service(calls::status)))
            .at(path::STATE, post(handler_service(calls::state)))
            .enclosed_fn(access::authorize);
        let failed = |source| Error::Thread { duty: "operators", source };
        let server = app
            .serve()
            .h2c_prior_knowledge()
            .disable_signal()
            .worker_threads(1)
            .max_read_buf_size::<MAX_HEAD>()
            .listen(listener)
            .map_err(failed)?;
        let mut server = server.run();
        let handle = server.handle().map_err(failed)?;
        let serve = move || {
            // It ends when it is stopped; the process goes on without it in any other case.
            let _ = server.wait();
        };
        let thread =
            thread::Builder::new().name("operators".into()).spawn(serve).map_err(failed)?;
        Ok(Operators { handle, thread })
    }

    /// Lets open calls end and takes no more.
    pub fn stop(self) {
        self.handle.stop(true);
        // A thread that has panicked has nothing more to end.
        let _ = self.thread.join();
    }
}
