//! docs/METRICS.md has one row for each metric in the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const PREFIX: &str = "apricothall_";

/// Metric names that follow `mark` in `text`.
fn metric_names(text: &str, mark: &str) -> BTreeSet<String> {
    let mark = format!("{mark}{PREFIX}");
    let starts = text
        .match_indices(&mark)
        .map(|(at, _)| at + mark.len() - PREFIX.len());
    let name = |at: usize| {
        text[at..]
            .chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect()
    };
    starts.map(name).collect()
}

fn append_sources(dir: &Path, text: &mut String) {
    for entry in fs::read_dir(dir).expect("readable").flatten() {
        let path = entry.path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") {
            text.push_str(&fs::read_to_string(path).expect("readable"));
        }
    }
}

#[test]
fn page_names_the_metrics_of_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut text = String::new();
    for member in fs::read_dir(root.join("crates"))
        .expect("readable")
        .flatten()
    {
        if member.path().join("src").is_dir() {
            append_sources(&member.path().join("src"), &mut text);
        }
    }
    let compact: String = text.split_whitespace().collect();
    let page = fs::read_to_string(root.join("docs/METRICS.md")).expect("readable");
    let found: BTreeSet<_> = ["counter", "gauge", "histogram"]
        .iter()
        .flat_map(|kind| metric_names(&compact, &format!("metrics::{kind}!(\"")))
        .collect();
    assert!(!found.is_empty());
    assert_eq!(found, metric_names(&page, "| `"));
}
