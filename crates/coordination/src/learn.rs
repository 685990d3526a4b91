//! Run-time estimates learnt from completed runs.
//!
//! Declared run times are often far off, so the coordinator records how
//! long each kind of work actually takes and estimates from that.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::job::{Adjacency, Shape};

/// The number of buckets of a histogram. Each bucket's upper bound is 25 %
/// above the previous one, starting at [`MIN_BUCKET_BOUND`], so the range
/// reaches beyond a month.
const BUCKET_COUNT: usize = 96;

/// The upper bound of the first bucket.
const MIN_BUCKET_BOUND: Duration = Duration::from_millis(5);

/// The number of samples at which all counts are halved, so that older
/// samples lose weight.
const DECAY_THRESHOLD: u32 = 400;

/// The number of samples from which the recorded run times replace the
/// declared one.
const MIN_SAMPLES: u32 = 3;

/// The median run time assumed for work without samples and without a
/// declared run time.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(30);

/// The maximum number of kinds of work with a histogram of their own.
const MAX_KINDS: usize = 4096;

/// A histogram of run times with exponentially growing buckets.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
        }
    }
}

impl Histogram {
    fn add(&mut self, time: Duration) {
        let ratio = time.as_secs_f64() / MIN_BUCKET_BOUND.as_secs_f64();
        let position = ratio.max(1.0).log(1.25).ceil().min(95.0);
        // `max` and `min` keep the value between 0 and 95, the last bucket.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bucket = position as usize;
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= DECAY_THRESHOLD {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += *count;
            }
        }
    }

    /// Returns the upper bound of the bucket that contains a percentile.
    fn percentile(&self, percent: u32) -> Duration {
        let target =
            (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut cumulative = 0;
        let mut upper_bound = MIN_BUCKET_BOUND;
        for count in &self.counts {
            cumulative += u64::from(*count);
            if cumulative >= target {
                break;
            }
            upper_bound = upper_bound.mul_f64(1.25);
        }
        upper_bound
    }
}

/// The key of a group of jobs that are expected to have similar run times.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WorkKind {
    workspace: String,
    service: String,
    size_log2: u32,
    declared_log4: u32,
}

impl WorkKind {
    fn new(
        workspace: &str,
        service: &str,
        shape: &Shape,
        declared: Option<Duration>,
    ) -> Self {
        // Declared run times are wrong, but mostly by the same factor for
        // the same work, so their order of magnitude still separates kinds.
        let seconds = declared.map_or(0, |d| d.as_secs().max(1));
        Self {
            workspace: workspace.to_owned(),
            service: service.to_owned(),
            size_log2: shape.total_accelerators().max(1).ilog2(),
            declared_log4: if seconds == 0 {
                0
            } else {
                seconds.ilog2() / 2 + 1
            },
        }
    }
}

/// Percentiles of an expected run time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// The 10th percentile: nine of ten runs take longer.
    pub p10: Duration,
    /// The median.
    pub p50: Duration,
    /// The 90th percentile: nine of ten runs take less time.
    pub p90: Duration,
}

/// The identifier of a kind of work in one [`RunTimeEstimator`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KindId(usize);

/// The kind of all work beyond [`MAX_KINDS`]. No run times are recorded for
/// it.
const OVERFLOW_KIND: KindId = KindId(0);

/// Learns run times by workspace, service, size and order of magnitude of
/// the declared run time.
#[derive(Debug)]
pub struct RunTimeEstimator {
    ids: BTreeMap<WorkKind, KindId>,
    histograms: Vec<Histogram>,
    estimates: Vec<Option<Estimate>>,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        Self {
            ids: BTreeMap::new(),
            histograms: vec![Histogram::default()],
            estimates: vec![None],
        }
    }
}

impl RunTimeEstimator {
    /// Returns the identifier of a job's kind of work, and adds the kind if it
    /// is new. Once there are `MAX_KINDS` kinds, all new ones share one
    /// identifier.
    pub fn kind(
        &mut self,
        workspace: &str,
        service: &str,
        shape: &Shape,
        declared: Option<Duration>,
    ) -> KindId {
        let kind = WorkKind::new(workspace, service, shape, declared);
        if let Some(id) = self.ids.get(&kind) {
            return *id;
        }
        if self.histograms.len() >= MAX_KINDS {
            return OVERFLOW_KIND;
        }
        let id = KindId(self.histograms.len());
        self.histograms.push(Histogram::default());
        self.estimates.push(None);
        self.ids.insert(kind, id);
        id
    }

    /// Returns the identifier of the kind that covers all work of a queue,
    /// whatever its workspace and size.
    pub fn kind_of_queue(&mut self, queue: &str) -> KindId {
        let shape = Shape {
            parts: 1,
            accelerators: 0,
            memory_mib: 0,
            adjacency: Adjacency::default(),
        };
        self.kind("", queue, &shape, None)
    }

    /// Records the duration of a run that completed its work.
    pub fn record(&mut self, kind: KindId, time: Duration) {
        if kind == OVERFLOW_KIND {
            return;
        }
        let histogram = &mut self.histograms[kind.0];
        histogram.add(time);
        if histogram.total >= MIN_SAMPLES {
            self.estimates[kind.0] = Some(Estimate {
                p10: histogram.percentile(10),
                p50: histogram.percentile(50),
                p90: histogram.percentile(90),
            });
        }
    }

    /// Returns the expected run time of a job of this kind. Until there are
    /// enough samples, it is based on the `declared` run time, or on 30
    /// seconds if there is none.
    #[must_use]
    pub fn estimate(
        &self,
        kind: KindId,
        declared: Option<Duration>,
    ) -> Estimate {
        self.estimates[kind.0].unwrap_or_else(|| {
            let assumed = declared.unwrap_or(DEFAULT_RUN_TIME);
            Estimate {
                p10: Duration::ZERO,
                p50: assumed,
                p90: assumed * 2,
            }
        })
    }
}
