//! The speed that work demands of its workers, so that it ends by its
//! deadline.
//!
//! This addresses sites with workers of different speeds, where urgent work
//! ends late on the slow ones: it gets the fastest workers, and other work the
//! slowest ones that suffice.

use super::super::speed::SpeedClass;

/// The width of a band of speeds that count as equal, as a natural logarithm:
/// 13 %. Learnt speeds are not more precise than this.
const BAND_WIDTH_LN: f64 = 0.13;

/// A band of speeds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub(in super::super) struct Band(i32);

impl Band {
    /// Below all others.
    pub(super) const MIN: Self = Self(i32::MIN);

    /// Returns a band that sorts a speed class among the others: the fastest
    /// first, and slower ones only if they count as such.
    pub(super) const fn of_class(class: SpeedClass) -> Self {
        Self(class as i32)
    }

    /// Returns the lowest speed of the band.
    pub(in super::super) fn speed(self) -> f64 {
        (f64::from(self.0) * BAND_WIDTH_LN).exp()
    }

    /// Returns the band of a speed, given as a natural logarithm.
    pub(in super::super) fn of(ln: f64) -> Self {
        // The conversion saturates.
        #[allow(clippy::cast_possible_truncation)]
        Self((ln / BAND_WIDTH_LN).floor() as i32)
    }
}

/// The speed that a group of tasks demands.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct SpeedDemand {
    /// Whether the tasks take the fastest workers.
    pub(in super::super) urgent: bool,
    /// The least speed with which they end by their deadline.
    pub(in super::super) required: Band,
    /// The same if they are spread over racks.
    pub(in super::super) required_if_spread: Band,
}

/// A worker that has space for tasks, in the order in which workers are used.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Space {
    pub(super) band: Band,
    pub(super) leftover: u64,
    pub(super) free: u64,
    pub(super) candidate: usize,
    pub(super) fit: u32,
}

impl SpeedDemand {
    /// Returns the demand of the same tasks when they are spread over racks.
    pub(super) const fn spread(self) -> Self {
        Self {
            required: self.required_if_spread,
            ..self
        }
    }

    /// Sorts workers and removes those that are slower than necessary. The
    /// work ends with its slowest task, so all workers that are at least as
    /// fast as that one serve equally, and the slowest of them go first.
    pub(super) fn arrange(&self, spaces: &mut Vec<Space>, count: u32) {
        spaces.sort_unstable();
        let fastest = slowest_needed(spaces, count);
        let least = if self.urgent {
            fastest
        } else {
            fastest.min(self.required)
        };
        spaces.retain(|s| s.band >= least);
    }

    /// Returns the rank of a rack, lowest first, by the band of its slowest
    /// worker that is used.
    pub(super) fn rack_rank(&self, slowest: Band) -> (bool, i64) {
        let band = i64::from(slowest.0);
        if self.urgent || slowest < self.required {
            (!self.urgent, -band)
        } else {
            (false, band)
        }
    }
}

/// Returns the band of the slowest worker that is used if `count` tasks go to
/// the fastest workers; the lowest band if not all fit.
fn slowest_needed(spaces: &[Space], count: u32) -> Band {
    let mut fit = 0_u32;
    for space in spaces.iter().rev() {
        fit = fit.saturating_add(space.fit);
        if fit >= count {
            return space.band;
        }
    }
    Band::MIN
}
