//! Keys of other writers among those of the engines, whatever bytes they have.

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use http::StatusCode;

use crate::new_fleet;

/// Records in one page of the store's list.
const PAGE: usize = 500;

fn fleet() -> Fleet {
    let engine = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    new_fleet(vec![engine])
}

fn write(fleet: &Fleet, key: impl AsRef<[u8]>) {
    fleet.store.put("keyed.servers", key, b"{\"of\":\"another writer\"}");
}

/// Writes keys so that `last` is the last one of the first page, and `between` such keys follow before those of the engines.
fn fill_page(fleet: &Fleet, last: &[u8], between: usize) {
    for number in 1..PAGE {
        write(fleet, format!("a00-{number:03}"));
    }
    write(fleet, last);
    for number in 0..between {
        write(fleet, [last, format!("-{number:03}").as_bytes()].concat());
    }
}

fn is_served(fleet: &Fleet, node: usize, id: &str) -> bool {
    let status = |path: &str| match path {
        "/ask/" => fleet.nodes[node].stream(path, &format!("s-{id}"), "m").map(|r| r.status),
        _ => fleet.nodes[node].plain(path, &format!("c-{id}")).map(|r| r.status),
    };
    ["/ask/", "/print/"].iter().all(|path| status(path).is_ok_and(|s| s == StatusCode::OK))
}

/// Two nodes serve at the first start and after all of them were killed.
fn serves_after_a_kill_of_all(fleet: &mut Fleet) {
    let nodes = [fleet.start("a"), fleet.start("b")];
    for round in 0..2 {
        for node in nodes {
            let mut sent = 0;
            wait("the node serves", || {
                sent += 1;
                is_served(fleet, node, &format!("{round}-{node}-{sent}"))
            });
        }
        nodes.iter().for_each(|node| fleet.nodes[*node].kill());
        nodes.iter().for_each(|node| fleet.start_again(*node));
    }
}

macro_rules! last_keys {
    ($($name:ident: $key:expr, $between:expr;)*) => {
        $(
            /// Guards against nodes that never serve, as a key of another writer spoils the call for the next page.
            #[test]
            fn $name() {
                let mut fleet = fleet();
                fill_page(&fleet, $key, $between);
                serves_after_a_kill_of_all(&mut fleet);
            }
        )*
    };
}

last_keys! {
    key_with_a_percent_sign_ends_a_page: b"a02%7", 0;
    key_with_a_percent_sign_and_digits_ends_a_page: b"a02%41", 0;
    key_with_a_plus_sign_ends_a_page: b"a05+", 0;
    key_with_an_ampersand_ends_a_page: b"a05&part=1#x", 0;
    key_with_blanks_and_controls_ends_a_page: b"a05 \r\n\t\"\\", 0;
    key_that_is_no_text_ends_a_page: b"a05\xff\xfe", 0;
}

/// Guards against a list that is read for ever, and held, as the key of its last page is read as an earlier one: the keys
/// between both fill a page.
#[test]
fn page_that_is_given_again_and_again_is_not_read_for_ever() {
    let mut fleet = fleet();
    for number in 1..PAGE {
        write(&fleet, format!("a05!{number:03}"));
    }
    write(&fleet, "a05+");
    serves_after_a_kill_of_all(&mut fleet);
}

/// Guards against nodes that use no engine at all, as a page after the first cannot be read: the heartbeats in the log tell
/// of those in the missing part.
#[test]
fn engines_beyond_a_page_that_is_refused_are_known_by_their_heartbeats() {
    let mut fleet = fleet();
    fill_page(&fleet, b"a00-500", 0);
    fleet.store.refuse_next_pages();
    let (node, mut sent) = (fleet.spawn("a"), 0);
    wait("the node serves", || {
        fleet.list_all();
        sent += 1;
        is_served(&fleet, node, &sent.to_string())
    });
}
