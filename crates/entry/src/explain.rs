//! Plug-in for `GET /explain`: what this entry would do with a request.

use std::collections::BTreeSet;
use std::sync::Arc;

use apricothall_fleet::{CatalogueState, StatusBoard};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{CallerId, CatalogueEntry, EntryKind, EntryName, Role};
use linkme::distributed_slice;
use serde_json::{Value, json};

use crate::limits::{Asked, Limits};
use crate::routing::{Routing, Wanted};

#[distributed_slice(PLUGINS)]
static EXPLAIN: Plugin = Plugin {
    name: "explain",
    stage: Stage::Callers,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Path on the port for operators.
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
    board.page(EXPLAIN_PATH, move |query| explain.answer(query));
    Ok(())
}

/// The value of `key` in a query. Names and callers need no percent-encoding.
fn field<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(name, _)| *name == key);
    found.next().map(|(_, value)| value)
}

impl Explain {
    fn answer(&self, query: &str) -> Value {
        let intake = format!("{:?}", self.context.lifecycle.intake()).to_lowercase();
        let name = field(query, "name").unwrap_or_default();
        let caller = field(query, "caller").unwrap_or("anonymous");
        let (Ok(name), Ok(caller)) = (name.parse::<EntryName>(), caller.parse::<CallerId>()) else {
            return json!({ "error": "name and caller must be valid identifiers" });
        };
        let adopted = self.catalogue.current();
        let Some(entry) = adopted.value.entry(&name) else {
            let refusal = format!("refused: the catalogue has no entry {name}");
            return json!({ "intake": intake, "revision": adopted.revision, "catalogue": refusal });
        };
        let limits = self.limits.explain(Asked {
            entry,
            caller: &caller,
            class: None,
            tokens: Some(1),
            body: 0,
        });
        json!({
            "intake": intake,
            "revision": adopted.revision,
            "catalogue": { "kind": entry.kind, "current": entry.current, "class": entry.class },
            "limits": limits,
            "routing": self.route(entry),
        })
    }

    fn route(&self, entry: &CatalogueEntry) -> Value {
        if entry.kind != EntryKind::Model {
            return json!("by the home of its key");
        }
        let wanted = Wanted {
            model: entry,
            prefix: None,
            tried: &BTreeSet::new(),
        };
        let choice = self.routing.explain(wanted);
        choice.map_or_else(|| json!("refused: no agent serves it"), |c| json!(c))
    }
}
