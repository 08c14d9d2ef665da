//! Operator calls over a real connection, from the client to a stub of the control thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use assert_matches::assert_matches;
use hgw_net::{OperatorPort, Operators, ReplyFuture};
use hgw_node::{ApplyOutcome, MemberStatus, OperatorReply, OperatorRequest};
use hgw_types::{Offset, RecordId};
use hgw_wire::operator::apply_reply::Outcome;
use hgw_wire::operator::{Accepted, ApplyRequest, Invalid, Superseded, Unknown};
use hibiscusgw::client::{Client, Error};

const ID: RecordId = RecordId { boot: 7, seq: 3 };

/// Returns the same reply to every call and records the requests.
struct StubPort {
    reply: Option<OperatorReply>,
    requests: Mutex<Vec<OperatorRequest>>,
}

impl OperatorPort for StubPort {
    fn call(&self, request: OperatorRequest) -> ReplyFuture<'_> {
        self.requests.lock().unwrap().push(request);
        Box::pin(async { self.reply.clone() })
    }
}

struct Server {
    addr: SocketAddr,
    port: Arc<StubPort>,
    operators: Option<Operators>,
}

impl Server {
    fn start(reply: Option<OperatorReply>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let port = Arc::new(StubPort { reply, requests: Mutex::default() });
        let shared: Arc<dyn OperatorPort> = Arc::<StubPort>::clone(&port);
        let operators = Operators::start(listener, shared, "right").unwrap();
        Server { addr, port, operators: Some(operators) }
    }

    fn requests(&self) -> Vec<OperatorRequest> {
        self.port.requests.lock().unwrap().clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(operators) = self.operators.take() {
            operators.stop();
        }
    }
}

fn run<F: Future>(f: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(f)
}

fn request(id: &str) -> ApplyRequest {
    ApplyRequest { id: id.to_owned(), base: 41, document: b"{}".to_vec() }
}

macro_rules! outcomes {
    ($($name:ident: $outcome:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let server = Server::start(Some(OperatorReply::Apply { id: ID, outcome: $outcome }));
            let client = Client::new(server.addr, "right");
            let reply = run(client.apply(&request(&ID.to_string()))).unwrap();
            assert_eq!((reply.id, reply.outcome), (ID.to_string(), Some($expected)));
            let document = "{}".into();
            let expected = OperatorRequest::Apply { id: Some(ID), base: Offset(41), document };
            assert_eq!(server.requests(), [expected]);
        }
    )*};
}

outcomes! {
    accepted: ApplyOutcome::Accepted(Offset(42)) => Outcome::Accepted(Accepted { version: 42 });
    superseded: ApplyOutcome::Superseded { current: Offset(40) } =>
        Outcome::Superseded(Superseded { current: 40 });
    invalid: ApplyOutcome::Invalid(vec!["a".into()]) =>
        Outcome::Invalid(Invalid { faults: vec!["a".into()] });
    unknown: ApplyOutcome::Unknown => Outcome::Unknown(Unknown {});
}

/// A document near the size limit must pass in both directions.
#[test]
fn large_document() {
    let document = vec![b' '; 2 * 1024 * 1024];
    let reply = OperatorReply::Config { version: Offset(9), document: document.clone().into() };
    let server = Server::start(Some(reply));
    let got = run(Client::new(server.addr, "right").get()).unwrap();
    assert_eq!((got.version, got.document.len()), (9, document.len()));
    let req = ApplyRequest { id: String::new(), base: 0, document };
    // The port returns the reply to another kind of call, which must not be taken for an outcome.
    let refused = run(Client::new(server.addr, "right").apply(&req)).unwrap_err();
    assert_matches!(refused, Error::Refused { status: 13, .. });
    assert_eq!(server.requests().len(), 2);
}

#[test]
fn status_and_state() {
    let member = MemberStatus {
        node: "n1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        alive: true,
        config: Offset(9),
    };
    let status = OperatorReply::Status { ready: true, log_up: false, members: vec![member] };
    let server = Server::start(Some(status));
    let got = run(Client::new(server.addr, "right").status()).unwrap();
    assert_eq!((got.ready, got.log_up), (true, false));
    assert_eq!((got.members[0].node.as_str(), got.members[0].config), ("n1", 9));
    let server = Server::start(Some(OperatorReply::State("{}".into())));
    assert_eq!(run(Client::new(server.addr, "right").state()).unwrap().json, "{}");
}

/// A call without the right token must be refused before it reaches the control thread.
#[test]
fn wrong_token_is_refused() {
    let server = Server::start(Some(OperatorReply::State("secret".into())));
    for token in ["", "wrong", "righ", "rightt"] {
        let refused = run(Client::new(server.addr, token).state()).unwrap_err();
        assert_matches!(refused, Error::Refused { status: 16, .. }, "{token}");
    }
    assert_eq!(server.requests(), []);
}

#[test]
fn faulty_change_id_is_refused() {
    let server = Server::start(None);
    let refused = run(Client::new(server.addr, "right").outcome("x")).unwrap_err();
    assert_matches!(refused, Error::Refused { status: 3, message } => {
        assert_eq!(message, "`x` is not a valid record id: expected a hexadecimal number, `-` and a decimal number");
    });
    assert_eq!(server.requests(), []);
}

/// If the control thread is too busy to accept a call, the operator must learn that nothing was done.
#[test]
fn busy_node_says_so() {
    let server = Server::start(None);
    let refused = run(Client::new(server.addr, "right").apply(&request(""))).unwrap_err();
    assert_matches!(refused, Error::Refused { status: 14, .. });
}

#[test]
fn node_that_is_not_there() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let failed = run(Client::new(addr, "right").status()).unwrap_err();
    assert_matches!(failed, Error::Unreachable { .. });
}
