//! Places the parts of a gang on workers.
//!
//! The tightest group that holds the gang is preferred, and among equal ones
//! the group that it fills best. This keeps large blocks of adjacent
//! accelerators whole.

use figrill_state::{
    job::{Adjacency, Shape},
    worker::Capacity,
};

use super::cell::{CapacityView, Cell};

/// The maximum number of candidate placements that are returned for one gang.
/// Once there are as many, looser levels of adjacency are not searched.
const MAX_CANDIDATES: usize = 12;

/// How many parts of a gang go to which workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The index of each worker and its number of parts.
    pub shares: Vec<(usize, u32)>,
}

impl Placement {
    /// Returns the index of each worker with the capacity that its parts take.
    pub fn needs(
        &self,
        shape: &Shape,
    ) -> impl Iterator<Item = (usize, Capacity)> {
        let shape = *shape;
        self.shares
            .iter()
            .map(move |(i, parts)| (*i, shape.required_capacity(*parts)))
    }
}

/// Returns how many parts of `shape` fit into the remaining capacity. Each
/// part takes one slot.
#[must_use]
pub fn parts_that_fit(remaining: Capacity, shape: &Shape) -> u32 {
    let by = |have: u32, each: u32| have.checked_div(each).unwrap_or(u32::MAX);
    by(remaining.accelerators, shape.accelerators)
        .min(remaining.slots)
        .min(by(remaining.memory_mib, shape.memory_mib))
}

/// A candidate placement with its score. Lower scores are better.
struct Scored {
    score: (u8, u32, u32),
    placement: Placement,
}

/// Returns placements of `shape`, best first, that fit the given view of the
/// cell. Only workers that `allowed` accepts are used.
#[must_use]
pub fn candidates(
    cell: &Cell,
    shape: &Shape,
    view: CapacityView,
    allowed: impl Fn(usize) -> bool,
) -> Vec<Placement> {
    let remaining = |i: usize| {
        if allowed(i) {
            cell.nodes()[i].remaining(view)
        } else {
            Capacity::default()
        }
    };
    let mut found: Vec<Scored> = Vec::new();
    for (level, adjacency) in (0..).zip(adjacency_levels(shape)) {
        for group in cell.groups(adjacency) {
            if let Some(placement) = fill_group(group, shape, &remaining) {
                let score = score(level, group, &placement, shape, &remaining);
                found.push(Scored { score, placement });
            }
        }
        if found.len() >= MAX_CANDIDATES {
            break;
        }
    }
    found.sort_by_key(|s| s.score);
    found.truncate(MAX_CANDIDATES);
    found.into_iter().map(|s| s.placement).collect()
}

/// Returns whether `shape` would fit if the workers that `allowed` accepts
/// were empty.
#[must_use]
pub fn fits_when_empty(
    cell: &Cell,
    shape: &Shape,
    allowed: impl Fn(usize) -> bool,
) -> bool {
    let remaining = |i: usize| {
        if allowed(i) {
            cell.nodes()[i].remaining(CapacityView::Empty)
        } else {
            Capacity::default()
        }
    };
    cell.groups(shape.adjacency)
        .iter()
        .any(|group| fill_group(group, shape, &remaining).is_some())
}

/// Returns the adjacency levels to search, from the tightest to the one that
/// the shape asks for.
fn adjacency_levels(shape: &Shape) -> impl Iterator<Item = Adjacency> {
    let wanted = shape.adjacency;
    let single = shape.parts == 1;
    [
        Adjacency::Worker,
        Adjacency::Rack,
        Adjacency::FailureDomain,
        Adjacency::None,
    ]
    .into_iter()
    .filter(move |level| {
        if single {
            *level == Adjacency::Worker
        } else {
            *level >= wanted
        }
    })
}

/// Returns a placement of all parts on the workers of one group, or `None` if
/// they do not fit.
fn fill_group(
    group: &[usize],
    shape: &Shape,
    remaining: &impl Fn(usize) -> Capacity,
) -> Option<Placement> {
    let mut fits: Vec<(u32, u32, usize)> = group
        .iter()
        .map(|&i| {
            (
                parts_that_fit(remaining(i), shape),
                remaining(i).accelerators,
                i,
            )
        })
        .filter(|(parts, ..)| *parts > 0)
        .collect();
    let total: u64 = fits.iter().map(|(parts, ..)| u64::from(*parts)).sum();
    if total < u64::from(shape.parts) {
        return None;
    }
    // Sorts by the number of parts that fit, largest first, then by the
    // remaining accelerators, fewest first.
    fits.sort_by_key(|(parts, accelerators, i)| {
        (std::cmp::Reverse(*parts), *accelerators, *i)
    });
    let mut shares = Vec::new();
    let mut unplaced = shape.parts;
    while unplaced > 0 {
        // Prefers the tightest worker that holds all parts that are still
        // unplaced.
        let tightest = fits
            .iter()
            .enumerate()
            .filter(|(_, (parts, ..))| *parts >= unplaced)
            .min_by_key(|(_, (parts, accelerators, _))| {
                (*parts, *accelerators)
            })
            .map(|(at, _)| at);
        let at = tightest.unwrap_or(0);
        if at >= fits.len() {
            return None;
        }
        let (parts, _, i) = fits.remove(at);
        let taken = parts.min(unplaced);
        shares.push((i, taken));
        unplaced -= taken;
    }
    Some(Placement { shares })
}

/// Returns the score of a placement: the level of adjacency, tightest first,
/// then the accelerators left over on its workers, then those left over in its
/// group.
fn score(
    level: u8,
    group: &[usize],
    placement: &Placement,
    shape: &Shape,
    remaining: &impl Fn(usize) -> Capacity,
) -> (u8, u32, u32) {
    let left_on_workers: u32 = placement
        .shares
        .iter()
        .map(|(i, parts)| {
            let taken = parts * shape.accelerators;
            remaining(*i).accelerators.saturating_sub(taken)
        })
        .sum();
    let in_group: u32 = group.iter().map(|i| remaining(*i).accelerators).sum();
    let left_in_group = in_group.saturating_sub(shape.total_accelerators());
    (level, left_on_workers, left_in_group)
}
