//! How long idle connections are reused.

use std::time::Duration;

use hgw_direct::subset::{IdleShare, NodeSeed};
use hgw_direct::{EngineId, IdleTrust, LONG_IDLE, SHORT_IDLE};

const HEARD: Duration = Duration::from_secs(1);
const NOT_HEARD: Duration = Duration::from_secs(10);

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against losing requests that may not be repeated on connections that nothing speaks for.
#[test]
fn request_that_may_not_be_repeated_needs_proof_for_an_old_connection() {
    let mut trust = IdleTrust::default();
    assert_eq!(trust.max_idle(true, NOT_HEARD, 0), LONG_IDLE);
    assert_eq!(trust.max_idle(false, HEARD, 0), SHORT_IDLE, "no connection was idle for longer");
    trust.record_response(secs(9));
    trust.record_response(secs(2));
    assert_eq!(trust.max_idle(false, HEARD, 0), secs(9));
    assert_eq!(trust.max_idle(false, NOT_HEARD, 0), SHORT_IDLE, "the path may have failed");
}

/// Guards against losing one connection after the other to an engine that drops them without notice.
#[test]
fn loss_shortens_the_idle_time_for_all_requests() {
    let mut trust = IdleTrust::default();
    trust.record_response(secs(30));
    trust.record_loss(secs(20), 1_000);
    assert_eq!(trust.max_idle(true, HEARD, 1_000), secs(10));
    assert_eq!(trust.max_idle(false, HEARD, 1_000), SHORT_IDLE);
    trust.record_loss(secs(40), 2_000);
    assert_eq!(trust.max_idle(true, HEARD, 2_000), secs(10), "the shortest counts");
    trust.record_loss(secs(1), 3_000);
    assert_eq!(trust.max_idle(true, HEARD, 3_000), SHORT_IDLE, "never shorter than without proof");
}

/// Guards against new connections for good after an engine failed once for another reason.
#[test]
fn loss_is_forgotten() {
    let mut trust = IdleTrust::default();
    trust.record_loss(secs(10), 1_000);
    assert_eq!(trust.max_idle(true, HEARD, 62_000), LONG_IDLE);
}

/// Guards against idle connections that use up those that an engine accepts from all nodes together.
#[test]
fn idle_connections_of_all_nodes_leave_engines_room() {
    let max_conns = 500;
    for nodes in [13, 79, 330, 986, 5_000] {
        for engine in (0..20).map(|number| EngineId(format!("engine-{number}"))) {
            let shares = (0..nodes).map(|node| {
                let seed = NodeSeed::of(&format!("node-{node}"));
                IdleShare::of(seed, &engine, max_conns, nodes)
            });
            let (mut long, mut least) = (0, usize::MAX);
            for share in shares {
                least = least.min(share.max_count);
                long += if share.is_long { share.max_count } else { 0 };
            }
            assert!(least >= 1 && long <= 350, "{nodes} nodes, {engine}: {long}");
        }
    }
}
