//! Text form of request rates.

use apricothall_types::Quota;

macro_rules! parsed {
    ($($case:ident: $text:literal => $milli:expr;)*) => {
        $(#[test] fn $case() {
            let found = $text.parse::<Quota>().ok().map(|q| q.0);
            assert_eq!(found, $milli);
        })*
    };
}

parsed! {
    a_fraction: "1.6" => Some(1_600);
    a_whole_number: " 12 " => Some(12_000);
    nought: "0" => Some(0);
    less_than_a_thousandth: "0.0004" => Some(0);
    an_exponent: "2e3" => Some(2_000_000);
    a_huge_number_is_cut_off: "1e300" => Some(u64::MAX);
    a_negative_number: "-1" => None;
    not_a_number: "NaN" => None;
    infinity: "inf" => None;
    words: "few" => None;
    nothing: "" => None;
}

#[test]
fn its_text_is_read_back() {
    for milli in [0, 1, 20, 300, 1_000, 1_600, 12_345] {
        let quota = Quota(milli);
        assert_eq!(quota.to_string().parse(), Ok(quota));
    }
    assert_eq!(Quota(1_600).to_string(), "1.6");
}
