//! Text forms of the newtypes round-trip, and the error for an invalid value names the expected form.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use hgw_types::{AttemptId, MemSize, ModelId, Rate, Scope, Time};

fn assert_round_trip<T: FromStr + Display + PartialEq + Debug>(text: &str)
where
    T::Err: Debug,
{
    let value: T = text.parse().unwrap();
    assert_eq!(value.to_string(), text);
}

fn assert_parse_error<T: FromStr<Err = hgw_types::ParseError> + Debug>(text: &str, message: &str) {
    assert_eq!(text.parse::<T>().unwrap_err().to_string(), message);
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {$(
        #[test]
        fn $name() {
            $body
        }
    )*};
}

cases! {
    model => assert_round_trip::<ModelId>("fill-review@v2");
    attempt => assert_round_trip::<AttemptId>("00000000000000ff-12");
    time => assert_round_trip::<Time>("12.005ms");
    rate => assert_round_trip::<Rate>("1.5");
    mem_size => assert_round_trip::<MemSize>("70");
    empty_name => assert_parse_error::<ModelId>(
        "", "`` is not a valid model id: expected 1 to 128 of A-Z a-z 0-9 . _ : / @ + -");
    name_with_blank => assert_parse_error::<Scope>(
        "a b", "`a b` is not a valid scope: expected 1 to 128 of A-Z a-z 0-9 . _ : / @ + -");
    negative_rate => assert_parse_error::<Rate>(
        "-1", "`-1` is not a valid rate: expected a number of 0 or more");
    endless_rate => assert_parse_error::<Rate>(
        "inf", "`inf` is not a valid rate: expected a number of 0 or more");
}
