//! Regions in which requests may be processed.

use apricothall_decide::residency::AllowedRegions;
use apricothall_types::Region;

fn region(name: &str) -> Region {
    name.parse().expect("valid")
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| region(name)))
}

macro_rules! permissions {
    ($($case:ident: $allowed:expr, $region:expr => $permitted:literal;)*) => {
        $(#[test] fn $case() {
            assert_eq!($allowed.permits($region.as_ref()), $permitted);
        })*
    };
}

// Guards against requests that leave the regions of their route or client account.
permissions! {
    no_restriction_permits_a_region: AllowedRegions::ANY, Some(region("a")) => true;
    no_restriction_permits_an_unknown_region: AllowedRegions::ANY, None::<Region> => true;
    a_listed_region_is_permitted: only(&["a", "b"]), Some(region("b")) => true;
    another_region_is_not_permitted: only(&["a", "b"]), Some(region("c")) => false;
    an_unknown_region_is_not_permitted: only(&["a"]), None::<Region> => false;
    both_restrictions_bind: only(&["a", "b"]).intersection(&only(&["b", "c"])), Some(region("a")) => false;
    a_region_of_both_is_permitted: only(&["a", "b"]).intersection(&only(&["b", "c"])), Some(region("b")) => true;
    no_common_region_permits_nothing: only(&["a"]).intersection(&only(&["b"])), Some(region("a")) => false;
    a_single_restriction_binds: AllowedRegions::ANY.intersection(&only(&["b"])), Some(region("a")) => false;
    names_that_are_not_valid_permit_nothing: AllowedRegions::only([]), Some(region("a")) => false;
}

#[test]
fn logs_show_the_regions() {
    assert_eq!(AllowedRegions::ANY.to_string(), "any");
    assert_eq!(only(&["b", "a"]).to_string(), "a,b");
}
