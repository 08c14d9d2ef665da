//! Positions in the store's logs, and eras.

use std::time::Duration;

use hgw_direct::{Cursor, Era, KnownEra};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

fn era(text: &str) -> Era {
    text.parse().unwrap()
}

fn at(of: &str, offset: u64) -> Cursor {
    Cursor::new(era(of), offset)
}

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

macro_rules! no_era {
    ($($name:ident: $text:literal;)*) => {$(
        /// Guards against accepting responses of the store with an invalid era.
        #[test]
        fn $name() {
            let text: Result<Era, _> = $text.parse();
            assert!(text.is_err(), "{text:?}");
        }
    )*};
}

no_era! {
    empty_text_is_no_era: "";
    word_is_no_era: "second";
    negative_number_is_no_era: "-1";
    fraction_is_no_era: "1.5";
    number_beyond_fencing_numbers_is_no_era: "2097152";
    number_beyond_all_numbers_is_no_era: "99999999999999999999";
}

/// Guards against engines that reject a new leader after a restore of the store, and against two
/// leaders with the same token.
#[test]
fn fencing_numbers_rise_over_eras() {
    assert_eq!(at("0", 17).fencing_token(), Some(17));
    assert!(at("1", 3).fencing_token() > at("0", 17).fencing_token());
    assert!(at("1", 17).fencing_token() > at("0", 17).fencing_token());
    assert_eq!(at("0", 1 << 32).fencing_token(), None);
    assert!(at("2097151", u64::from(u32::MAX)).fencing_token().unwrap() < 1 << 53);
}

#[test]
fn cursor_is_written_in_few_bytes() {
    let cursor = at("2", 17);
    let text = serde_json::to_string(&cursor).unwrap();
    assert_eq!((text.as_str(), cursor.to_string().as_str()), ("[2,17]", "2:17"));
    assert_eq!(serde_json::from_str::<Cursor>(&text).unwrap(), cursor);
}

/// Guards against taking a long-lived era for a new one after a restart of the node.
#[test]
fn era_is_as_old_as_anybody_has_known_it() {
    let mut known = KnownEra::default();
    assert!(known.observe(era("2"), s(0), s(100)));
    assert!(!known.observe(era("1"), s(50), s(101)), "an earlier one is no news");
    assert_eq!((known.era(), known.min_age(s(103))), (era("2"), s(3)));
    assert!(!known.observe(era("2"), s(40), s(103)));
    assert_eq!(known.min_age(s(103)), s(40));
    assert!(known.observe(era("3"), s(1), s(104)));
    assert_eq!(known.min_age(s(104)), s(1));
    assert_eq!(KnownEra::default().min_age(s(7)), s(7), "nothing was lost before the first");
}

proptest! {
    /// Tokens have the order of positions and are unique.
    #[test]
    fn fencing_numbers_have_the_order_of_places(
        a in (0_u32..2_097_152, 0_u64..1 << 32),
        b in (0_u32..2_097_152, 0_u64..1 << 32),
    ) {
        let of = |(era, offset): (u32, u64)| at(&era.to_string(), offset);
        prop_assert_eq!(of(a).cmp(&of(b)), of(a).fencing_token().cmp(&of(b).fencing_token()));
        prop_assert!(of(a).fencing_token().is_some());
    }
}
