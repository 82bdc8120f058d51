//! Tests the text formats of the newtypes and the validation of the catalogue.

use apricothall_types::{Bytes, Catalogue, Digest, Interval, MemberId, Rate, RequestId};
use proptest::prelude::*;

macro_rules! refused {
    ($($case:ident: $kind:ty, $text:expr;)*) => {
        $(#[test] fn $case() { assert!($text.parse::<$kind>().is_err()); })*
    };
}

refused! {
    empty_member_id: MemberId, "";
    member_id_with_space: MemberId, "a b";
    size_without_unit: Bytes, "16";
    size_with_unit_of_a_rate: Bytes, "16 Mb/s";
    negative_size: Bytes, "-1 MiB";
    size_beyond_64_bits: Bytes, "99999999999999 GiB";
    rate_with_unit_of_a_size: Rate, "22 MiB";
    interval_without_unit: Interval, "20";
    short_digest: Digest, "abcd";
    short_request_id: RequestId, "12";
}

proptest! {
    #[test]
    fn size_reads_back(value in 0..u64::MAX) {
        prop_assert_eq!(Bytes(value).to_string().parse(), Ok(Bytes(value)));
    }

    #[test]
    fn rate_reads_back(value in 0..u64::MAX) {
        prop_assert_eq!(Rate(value).to_string().parse(), Ok(Rate(value)));
    }

    #[test]
    fn digest_reads_back_in_both_encodings(value: [u8; 32]) {
        let digest = Digest(value);
        prop_assert_eq!(digest.to_string().parse(), Ok(digest));
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(digest, config).expect("encodes");
        let (back, _): (Digest, usize) =
            bincode::serde::borrow_decode_from_slice(&bytes, config).expect("decodes");
        prop_assert_eq!(back, digest);
    }
}

const MODEL_ENTRY: &str =
    "[[entries]]\nname = \"m\"\nkind = \"model\"\nowner = \"o\"\nreplicas = 2\n";

macro_rules! catalogue_fault {
    ($($case:ident: $text:expr => $message:expr;)*) => {
        $(#[test] fn $case() {
            let error = Catalogue::parse(AsRef::<str>::as_ref(&$text)).expect_err("must be refused").to_string();
            assert!(error.contains($message), "{error}");
        })*
    };
}

catalogue_fault! {
    model_without_current: MODEL_ENTRY => "line 1: entry m: a model needs `current`";
    current_not_listed: format!("{MODEL_ENTRY}current = \"1\"\n") => "not under `versions`";
    unknown_key: format!("{MODEL_ENTRY}colour = \"red\"\n") => "line 6: unknown field `colour`";
    no_replicas: MODEL_ENTRY.replace('2', "0") => "line 5";
    prompt_cache_without_tokens: cached_model("{ retention = \"5m\" }") => "line 7: missing field `tokens`";
    prompt_cache_without_time: cached_model("{ retention = \"0s\", tokens = 9000 }") => "a `retention` above 0";
    prompt_cache_below_a_prefix: cached_model("{ retention = \"5m\", tokens = 63 }") => "63 tokens";
    prompt_cache_of_a_service: format!("{SERVICE_ENTRY}prompt_cache = {{ retention = \"5m\", tokens = 9000 }}\n") => "is for models";
    not_toml: "entries = [" => "line 1";
    same_name_twice: SERVICE_ENTRY.repeat(2) => "line 8: entry s: the name is used twice";
    booking_without_pool: SERVICE_ENTRY.replace("pool = [\"a\"]", "") => "needs a `pool`";
    duplicate_agent_in_pool: SERVICE_ENTRY.replace("[\"a\"]", "[\"a\", \"a\"]") => "in the pool twice";
}

/// A valid model but for what `prompt_cache` states.
fn cached_model(prompt_cache: &str) -> String {
    let digest = "0".repeat(64);
    format!(
        "{MODEL_ENTRY}current = \"1\"\nprompt_cache = {prompt_cache}\n\
         [[entries.versions]]\nversion = \"1\"\nmanifest = \"{digest}\"\n"
    )
}

const SERVICE_ENTRY: &str = "[[entries]]\nname = \"s\"\nkind = \"service\"\nowner = \"o\"\nreplicas = 1\n\
                       repeatable = false\npool = [\"a\"]\n";

#[test]
fn catalogue_reads_back() {
    let model = cached_model("{ retention = \"5m\", tokens = 64 }");
    for text in [SERVICE_ENTRY, &model] {
        let catalogue = Catalogue::parse(text).expect("valid");
        let text = catalogue.to_text().expect("has a text form");
        assert_eq!(Catalogue::parse(&text), Ok(catalogue));
    }
}
