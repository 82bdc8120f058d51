//! Data residency: the regions in which a request may be processed.

use std::collections::BTreeSet;
use std::fmt;

use apricothall_types::Region;

/// Regions in which the requests of a route or of a client account may be processed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<BTreeSet<Region>>);

impl AllowedRegions {
    /// No restriction.
    pub const ANY: Self = Self(None);

    /// Only these regions. If there are none, nothing is permitted.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Whether some regions are not permitted.
    #[must_use]
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Whether `region` is permitted. A server whose region is not known may be anywhere, so only a
    /// request without restriction is sent to it.
    #[must_use]
    pub fn permits(&self, region: Option<&Region>) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Regions that both permit.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(one), Some(two)) => Self(Some(one & two)),
        }
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else {
            return f.write_str("any");
        };
        let names: Vec<_> = regions.iter().map(Region::as_str).collect();
        f.write_str(&names.join(","))
    }
}
