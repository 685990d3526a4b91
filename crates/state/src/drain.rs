//! Requests of operators to drain failure domains: nothing more is started on
//! the workers of a drained failure domain, and what runs there continues.

use std::collections::BTreeSet;

/// The failure domains that operators have requested to drain. A name may be
/// that of a failure domain without workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Drains {
    domains: BTreeSet<String>,
}

impl Drains {
    /// Returns whether a failure domain is drained.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the number of drained failure domains.
    #[must_use]
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Returns whether no failure domain is drained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the names of the drained failure domains in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.domains.iter().map(String::as_str)
    }

    /// Returns the names that are in this set but not in `other`.
    pub fn difference<'a>(
        &'a self,
        other: &'a Self,
    ) -> impl Iterator<Item = &'a str> {
        self.domains.difference(&other.domains).map(String::as_str)
    }
}

impl<S: Into<String>> FromIterator<S> for Drains {
    fn from_iter<I: IntoIterator<Item = S>>(names: I) -> Self {
        Self {
            domains: names.into_iter().map(Into::into).collect(),
        }
    }
}
