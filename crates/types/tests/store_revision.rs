//! Order and text form of revisions of the store.

use apricothall_types::{ConfigurationRevision, Era, Revision, StoreRevision};
use proptest::prelude::*;

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision {
        era: Era(era),
        revision: Revision(revision),
    }
}

fn version(version: u64, written: StoreRevision) -> ConfigurationRevision {
    ConfigurationRevision { version, written }
}

macro_rules! ordered {
    ($($case:ident: $lower:expr, $higher:expr;)*) => {
        $(#[test] fn $case() { assert!($lower < $higher); })*
    };
}

ordered! {
    a_later_revision: at(1, 4), at(1, 5);
    a_later_era: at(1, 900), at(2, 3);
    a_store_that_states_no_era: StoreRevision::from(Revision(900)), at(1, 3);
    a_later_version: version(7, at(1, 4)), version(8, at(1, 5));
    a_version_that_the_store_has_lost: version(7, at(2, 4)), version(8, at(1, 5));
    a_version_that_was_written_again: version(8, at(1, 5)), version(8, at(2, 4));
}

macro_rules! refused {
    ($($case:ident: $kind:ty, $text:literal;)*) => {
        $(#[test] fn $case() { assert!($text.parse::<$kind>().is_err()); })*
    };
}

refused! {
    a_revision_without_an_era: StoreRevision, "57";
    a_revision_without_a_number: StoreRevision, "2:";
    a_revision_with_a_word: StoreRevision, "2:new";
    a_revision_with_a_sign: StoreRevision, "-2:57";
    a_configuration_without_a_version: ConfigurationRevision, "2:57";
    a_configuration_without_a_revision: ConfigurationRevision, "8@57";
}

proptest! {
    #[test]
    fn its_text_is_read_back(era: u64, revision: u64, number: u64) {
        let written = at(era, revision);
        prop_assert_eq!(written.to_string().parse(), Ok(written));
        let configuration = version(number, written);
        prop_assert_eq!(configuration.to_string().parse(), Ok(configuration));
    }
}
