//! Plug-in for `GET /explain`: shows how this entry would handle a request.

use std::collections::BTreeSet;
use std::sync::Arc;

use apricothall_decide::routing::{Prefix, PromptPrefixes};
use apricothall_fleet::{CatalogueState, StatusBoard};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{CallerId, CatalogueEntry, EntryKind, EntryName, Role};
use linkme::distributed_slice;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use crate::limits::{LimitQuery, Limits};
use crate::routing::{ReplicaQuery, Routing};

#[distributed_slice(PLUGINS)]
static EXPLAIN: Plugin = Plugin {
    name: "explain",
    stage: Stage::Callers,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Path on the operators' port.
const EXPLAIN_PATH: &str = "/explain";

struct Explain {
    catalogue: Arc<CatalogueState>,
    limits: Arc<Limits>,
    routing: Arc<Routing>,
    context: Context,
}

fn start(context: &Context) -> Result<(), StartError> {
    let explain = Explain {
        catalogue: context.component()?,
        limits: context.component()?,
        routing: context.component()?,
        context: context.clone(),
    };
    let board = context.component::<StatusBoard>()?;
    board.add_page(EXPLAIN_PATH, move |query| explain.handle(query));
    Ok(())
}

/// Returns the value of `key` in a query string as it is. Names and callers contain no characters
/// that need percent-encoding.
fn query_param<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(name, _)| *name == key);
    found.next().map(|(_, value)| value)
}

impl Explain {
    fn handle(&self, query: &str) -> Value {
        let intake = format!("{:?}", self.context.lifecycle.intake()).to_lowercase();
        let name = query_param(query, "name").unwrap_or_default();
        let caller = query_param(query, "caller").unwrap_or("anonymous");
        let (Ok(name), Ok(caller)) = (name.parse::<EntryName>(), caller.parse::<CallerId>()) else {
            return json!({ "error": "name and caller must be valid identifiers" });
        };
        let adopted = self.catalogue.current();
        let Some(entry) = adopted.value.entry(&name) else {
            let refusal = format!("refused: the catalogue has no entry {name}");
            return json!({ "intake": intake, "revision": adopted.revision, "catalogue": refusal });
        };
        let limits = self.limits.explain(LimitQuery {
            entry,
            caller: &caller,
            class: None,
            tokens: Some(1),
            body: 0,
        });
        let mut answer = json!({
            "intake": intake,
            "revision": adopted.revision,
            "catalogue": { "kind": entry.kind, "current": entry.current, "class": entry.class },
            "limits": limits,
            "routing": self.route(entry, query_param(query, "prompt")),
        });
        if let Some(prompts) = self.routing.explain_prompts(entry) {
            answer["prompts"] = prompts;
        }
        answer
    }

    /// Explains the choice for `prompt`, the percent-encoded beginning of the prompt.
    fn route(&self, entry: &CatalogueEntry, prompt: Option<&str>) -> Value {
        if entry.kind != EntryKind::Model {
            return json!("by the home of its key");
        }
        let prompt: Option<Vec<u8>> = prompt.map(|text| percent_decode_str(text).collect());
        let prefixes = prompt.as_deref().map(PromptPrefixes::of);
        let query = ReplicaQuery {
            model: entry,
            prefix: prompt.as_deref().map(Prefix::of),
            prompt: prefixes.as_ref(),
            excluded: &BTreeSet::new(),
        };
        let choice = self.routing.explain(query);
        choice.map_or_else(|| json!("refused: no agent serves it"), |c| json!(c))
    }
}
