//! Registry of the sections of `/status`, the conditions of `/readyz` and further pages.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use serde_json::{Map, Value};
use smol_str::SmolStr;

type Section = Box<dyn Fn() -> Value + Send + Sync>;
type Page = Box<dyn Fn(&str) -> Value + Send + Sync>;
type Condition = Box<dyn Fn() -> Option<SmolStr> + Send + Sync>;

/// Status sections, readiness conditions and pages registered by plug-ins.
#[derive(Default)]
pub struct StatusBoard {
    sections: RwLock<Vec<(&'static str, Section)>>,
    conditions: RwLock<Vec<Condition>>,
    pages: RwLock<BTreeMap<&'static str, Page>>,
}

impl StatusBoard {
    /// Adds a section of the status; its value is computed for each request.
    pub fn add_section(
        &self,
        name: &'static str,
        value: impl Fn() -> Value + Send + Sync + 'static,
    ) {
        let mut sections = self
            .sections
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        sections.push((name, Box::new(value)));
    }

    /// Adds a readiness condition, which returns the reason while the daemon is not ready.
    pub fn add_condition(&self, reason: impl Fn() -> Option<SmolStr> + Send + Sync + 'static) {
        let mut conditions = self
            .conditions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        conditions.push(Box::new(reason));
    }

    /// Adds a page at `path` of the operators' port; its value is computed from the query.
    pub fn add_page(
        &self,
        path: &'static str,
        value: impl Fn(&str) -> Value + Send + Sync + 'static,
    ) {
        let mut pages = self.pages.write().unwrap_or_else(PoisonError::into_inner);
        pages.insert(path, Box::new(value));
    }

    /// Returns the value of the page at `path`, if there is one.
    #[must_use]
    pub fn find_page(&self, path: &str, query: &str) -> Option<Value> {
        let pages = self.pages.read().unwrap_or_else(PoisonError::into_inner);
        pages.get(path).map(|value| value(query))
    }

    /// Returns all sections as one object.
    #[must_use]
    pub fn status(&self) -> Value {
        let sections = self.sections.read().unwrap_or_else(PoisonError::into_inner);
        let fields = sections
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value()));
        Value::Object(fields.collect::<Map<_, _>>())
    }

    /// Returns the first reason for which the daemon is not ready, or `None` if it is ready.
    #[must_use]
    pub fn not_ready_reason(&self) -> Option<SmolStr> {
        let conditions = self
            .conditions
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        conditions.iter().find_map(|reason| reason())
    }
}
