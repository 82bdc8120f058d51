//! Patches between revisions of a text are exact, small for small changes and safe if malformed.

use apricothall_decide::delta::{DeltaError, Patch, Piece, apply, diff};
use apricothall_types::Digest;
use proptest::prelude::*;

/// Size of a VM's entry in the list, in bytes.
const RECORD_BYTES: usize = 125;

fn list(vms: usize, changed: usize) -> String {
    let record = |i: usize| {
        let state = if i == changed { "leaving" } else { "live" };
        let text = format!("{{\"id\":\"vm-{i}\",\"state\":\"{state}\",\"pad\":\"");
        let pad = "x".repeat(RECORD_BYTES - text.len() - 3);
        format!("{text}{pad}\"}},")
    };
    (0..vms).map(record).collect()
}

#[test]
fn one_change_in_a_list_of_2400_is_a_small_patch() {
    let (old, new) = (list(2_400, usize::MAX), list(2_400, 1_700));
    let patch = diff(&old, &new);
    let config = bincode::config::standard();
    let size = bincode::serde::encode_to_vec(&patch, config)
        .expect("encodes")
        .len();
    assert_eq!(apply(&old, &patch).as_deref(), Ok(new.as_str()));
    assert!(
        size <= 2 * RECORD_BYTES,
        "{size} bytes for a list of {}",
        new.len()
    );
}

macro_rules! refused {
    ($($case:ident: $pieces:expr => $error:expr;)*) => {
        $(#[test] fn $case() {
            let patch = Patch { digest: Digest::of(b"new"), pieces: $pieces };
            assert_eq!(apply("old text", &patch), Err($error));
        })*
    };
}

refused! {
    beyond_the_end: vec![Piece::Copy { start: 4, length: 9 }] => DeltaError::Outside;
    overflowing: vec![Piece::Copy { start: u32::MAX, length: 9 }] => DeltaError::Outside;
    other_text: vec![Piece::Copy { start: 0, length: 3 }] => DeltaError::Digest;
    too_long: vec![Piece::Text("x".repeat(9 << 20).into())] => DeltaError::TooLong;
}

fn texts() -> impl Strategy<Value = String> {
    proptest::collection::vec("[a-c]{0,2}[\n}]?", 0..40).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn patch_produces_the_new_text(old in texts(), new in texts()) {
        prop_assert_eq!(apply(&old, &diff(&old, &new)), Ok(new));
    }

    #[test]
    fn patch_for_another_text_is_refused(old in texts(), new in texts(), other in texts()) {
        let made = apply(&other, &diff(&old, &new));
        prop_assert!(made.is_err() || made == Ok(new));
    }
}
