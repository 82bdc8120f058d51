//! Client accounts of a configuration and their API keys.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use smol_str::SmolStr;

use super::Route;
use crate::residency::AllowedRegions;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name sent to servers.
    pub name: SmolStr,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be processed, in addition to the restriction of the route.
    pub regions: AllowedRegions,
}

/// What a configuration says of accounts that cannot be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnusableAccounts {
    /// Keys of accounts whose name cannot be read.
    pub keys: HashSet<SmolStr>,
    /// Whether the keys of an account cannot be read, so that any unknown key may be one of them.
    pub hides_keys: bool,
}

/// Client accounts by API key. Without configured accounts, no key is required.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    keys: Option<HashMap<SmolStr, Arc<Account>>>,
    unusable: UnusableAccounts,
    priorities: Vec<u8>,
}

/// Result of the authentication of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No key is required.
    Anonymous,
    /// The account to which the key belongs.
    Known(Arc<Account>),
    /// The key is missing or belongs to no account.
    Unknown,
    /// The key belongs, or may belong, to an account that cannot be used.
    Unusable,
}

impl Accounts {
    /// Builds the table from accounts and their keys.
    #[must_use]
    pub fn new(accounts: impl IntoIterator<Item = (Account, Vec<SmolStr>)>) -> Self {
        Self::with_unusable(accounts, UnusableAccounts::default())
    }

    /// Like [`Self::new`], where the configuration has others that cannot be used.
    #[must_use]
    pub fn with_unusable(
        accounts: impl IntoIterator<Item = (Account, Vec<SmolStr>)>,
        unusable: UnusableAccounts,
    ) -> Self {
        let mut keys = HashMap::new();
        let mut priorities = Vec::new();
        for (account, held) in accounts {
            priorities.extend(account.priority);
            let account = Arc::new(account);
            keys.extend(held.into_iter().map(|key| (key, account.clone())));
        }
        priorities.sort_unstable();
        priorities.dedup();
        Self {
            keys: Some(keys),
            unusable,
            priorities,
        }
    }

    /// Distinct priorities set by accounts, in ascending order.
    #[must_use]
    pub fn priorities(&self) -> &[u8] {
        &self.priorities
    }

    /// The account named `name`.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.keys
            .iter()
            .flat_map(HashMap::values)
            .find(|a| a.name == name)
    }

    /// Authenticates a call of `route` with `key`.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(keys) = &self.keys else {
            return Caller::Anonymous;
        };
        if route.public {
            return Caller::Anonymous;
        }
        let Some(key) = key else {
            return Caller::Unknown;
        };
        if let Some(account) = keys.get(key) {
            return Caller::Known(account.clone());
        }
        if self.unusable.hides_keys || self.unusable.keys.contains(key) {
            return Caller::Unusable;
        }
        Caller::Unknown
    }
}
