//! Requests that come late in a planned stop, or last longer than it.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use hgw_standins::fleet::deployment::{Fleet, HOST, holds, wait};
use hgw_standins::fleet::{EngineSettings, Holds};
use hgw_standins::kept_caller::{KeptCaller, KeptResponse};
use rustix::process::Signal;

use crate::new_fleet;

/// Time after SIGTERM until which a request may still be sent to an engine: load balancers send for so long.
const LAST_SEND: Duration = Duration::from_millis(3_000);

/// A request on a connection that is there before SIGTERM. Times count from SIGTERM.
#[derive(Debug, Clone, Copy)]
struct Late {
    route: &'static str,
    /// When its head is sent.
    head: Duration,
    /// When its body is sent.
    body: Duration,
}

const fn late(route: &'static str, head_ms: u64, body_ms: u64) -> Late {
    Late { route, head: Duration::from_millis(head_ms), body: Duration::from_millis(body_ms) }
}

impl Late {
    fn head_text(&self, id: &str) -> String {
        let Late { route, .. } = self;
        let mut head = format!(
            "POST /{route}/ HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 20000\r\n"
        );
        if matches!(*route, "ask" | "once") {
            head +=
                &format!("x-model: m\r\nx-tokens: 100,120\r\nx-prompt-prefix: a1:60,{id}:40\r\n");
        }
        head + "content-length: 4\r\n\r\n"
    }

    fn most_runs(&self) -> u32 {
        if matches!(self.route, "look" | "ask") { 2 } else { 1 }
    }

    /// Sends it on time and waits for its response.
    fn send(
        &self,
        caller: &mut KeptCaller,
        id: &str,
        stopped_at: Instant,
    ) -> io::Result<KeptResponse> {
        sleep_until(stopped_at + self.head);
        caller.send_part(&self.head_text(id))?;
        sleep_until(stopped_at + self.body);
        caller.send_part("body")?;
        caller.receive()
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Two engines of each service, which need so long for a request.
fn engines(needed: Duration) -> Vec<EngineSettings> {
    let engine = |service: &str, n: u32, models: Holds| EngineSettings {
        id: format!("{service}-slow-{n}"),
        service: service.into(),
        holds: models,
        slots: 32,
        reading: needed,
        pause: if service == "desk" { needed } else { Duration::ZERO },
        ..EngineSettings::default()
    };
    let plain = (0..2).map(|n| engine("desk", n, holds(&[])));
    plain.chain((0..2).map(|n| engine("models", n, holds(&[("m", &[])])))).collect()
}

fn start(needed: Duration) -> (Fleet, usize) {
    let mut fleet = new_fleet(engines(needed));
    ["desk-1", "desk-2"].iter().for_each(|id| fleet.store.put("keyed.servers", id, b""));
    let node = fleet.start("a");
    (fleet, node)
}

/// Stops a node before such engines, and checks what becomes of these requests.
fn play(needed: Duration, requests: &[Late]) {
    let (mut fleet, node) = start(needed);
    let callers: Vec<KeptCaller> =
        requests.iter().map(|_| KeptCaller::connect(fleet.nodes[node].callers).unwrap()).collect();
    fleet.nodes[node].signal(Signal::TERM);
    let stopped_at = Instant::now();
    let responses: Vec<_> = thread::scope(|scope| {
        let sent: Vec<_> = requests
            .iter()
            .zip(callers)
            .enumerate()
            .map(|(n, (late, mut caller))| {
                scope.spawn(move || late.send(&mut caller, &format!("e{n:x}"), stopped_at))
            })
            .collect();
        sent.into_iter().map(|sent| sent.join().unwrap()).collect()
    });
    let mut wrong = Vec::new();
    for (n, (late, response)) in requests.iter().zip(&responses).enumerate() {
        let runs = fleet.runs(&format!("e{n:x}"));
        let is_right = match response {
            Ok(response) => match response.status {
                200 | 502 | 504 => (1..=late.most_runs()).contains(&runs) && late.body < LAST_SEND,
                503 => runs == 0,
                _ => false,
            },
            Err(_) => false,
        };
        if !is_right {
            wrong.push(format!("{late:?} ran {runs} times: {response:?}"));
        }
    }
    assert!(wrong.is_empty(), "{} of {}:\n{}", wrong.len(), requests.len(), wrong.join("\n"));
    wait("the process ends", || fleet.nodes[node].ended() == Some(true));
}

macro_rules! late {
    ($($name:ident: $needed_ms:literal, $requests:expr;)*) => {
        $(
            /// Guards against requests that a stopping node passes on and cuts without a response, among them some that
            /// may not be repeated.
            #[test]
            fn $name() {
                play(Duration::from_millis($needed_ms), &$requests);
            }
        )*
    };
}

late! {
    of_short_requests: 1_500, [
        late("print", 2_500, 7_200), late("look", 2_500, 7_200), late("print", 2_500, 2_500),
        late("ask", 2_500, 2_500), late("once", 2_500, 7_000), late("print", 500, 500), late("print", 3_200, 3_200),
    ];
    of_longer_requests: 3_000, [
        late("print", 2_500, 6_000), late("look", 2_500, 6_000), late("once", 2_500, 5_000), late("print", 2_000, 2_000),
    ];
    of_requests_that_last_longer_than_the_node: 6_000, [
        late("print", 2_500, 2_500), late("look", 2_500, 2_500), late("ask", 2_500, 2_500), late("once", 2_500, 2_500),
    ];
    of_requests_that_last_longer_than_the_grace: 9_000, [
        late("print", 500, 500), late("look", 500, 500), late("once", 500, 500),
    ];
}

/// Guards against a request behind another one on its connection that is passed on and cut.
#[test]
fn request_behind_another_one_is_not_passed_on() {
    let (mut fleet, node) = start(Duration::from_millis(1_500));
    let mut caller = KeptCaller::connect(fleet.nodes[node].callers).unwrap();
    fleet.nodes[node].signal(Signal::TERM);
    let requests = ["e1", "e2"].map(|id| late("print", 0, 0).head_text(id) + "body");
    caller.send_part(&requests.concat()).unwrap();
    let response = caller.receive().unwrap();
    assert_eq!((response.status, response.closes), (200, true));
    assert!(caller.receive().is_err());
    assert_eq!(fleet.runs("e2"), 0);
    wait("the process ends", || fleet.nodes[node].ended() == Some(true));
}
