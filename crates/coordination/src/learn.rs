//! Run times learnt from what ran, because declared ones are often far off.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::job::{Adjacency, Shape};

/// Buckets of a sketch: each is a quarter longer than the one before, from
/// [`SHORTEST`] on, which reaches beyond a month.
const BUCKETS: usize = 96;

/// The upper end of the first bucket.
const SHORTEST: Duration = Duration::from_millis(5);

/// Samples after which older ones count half.
const DECAY_AT: u32 = 400;

/// Samples below which a declared time is trusted more.
const TRUSTED_AFTER: u32 = 3;

/// What is assumed of work of which nothing is known.
const UNKNOWN: Duration = Duration::from_secs(30);

/// The most kinds of work that are remembered.
const KINDS_MAX: usize = 4096;

/// Counts of run times in buckets of growing length.
#[derive(Clone, Debug)]
struct Sketch {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Sketch {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Sketch {
    fn add(&mut self, time: Duration) {
        let ratio = time.as_secs_f64() / SHORTEST.as_secs_f64();
        let above = ratio.max(1.0).log(1.25).ceil().min(95.0);
        // The bounds above keep the number small and positive.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bucket = above as usize;
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= DECAY_AT {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += *count;
            }
        }
    }

    fn quantile(&self, percent: u32) -> Duration {
        let wanted =
            (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut seen = 0;
        let mut upper = SHORTEST;
        for count in &self.counts {
            seen += u64::from(*count);
            if seen >= wanted {
                break;
            }
            upper = upper.mul_f64(1.25);
        }
        upper
    }
}

/// A kind of work whose run times are alike.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WorkKind {
    workspace: String,
    service: String,
    size: u32,
    declared: u32,
}

impl WorkKind {
    fn new(
        workspace: &str,
        service: &str,
        shape: &Shape,
        declared: Option<Duration>,
    ) -> Self {
        // Declared times are wrong, but mostly by the same factor for the
        // same work: their order of magnitude still tells kinds apart.
        let seconds = declared.map_or(0, |d| d.as_secs().max(1));
        Self {
            workspace: workspace.to_owned(),
            service: service.to_owned(),
            size: shape.total_accelerators().max(1).ilog2(),
            declared: if seconds == 0 {
                0
            } else {
                seconds.ilog2() / 2 + 1
            },
        }
    }
}

/// What a run time is likely to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Nine of ten are longer.
    pub low: Duration,
    /// As many are shorter as longer.
    pub middle: Duration,
    /// Nine of ten are shorter.
    pub high: Duration,
}

/// Names a kind of work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KindId(usize);

/// A kind that stands for all that there is no room for.
const OTHER: KindId = KindId(0);

/// Learns run times by workspace, service, size and declared magnitude.
#[derive(Debug)]
pub struct Learner {
    ids: BTreeMap<WorkKind, KindId>,
    sketches: Vec<Sketch>,
    estimates: Vec<Option<Estimate>>,
}

impl Default for Learner {
    fn default() -> Self {
        Self {
            ids: BTreeMap::new(),
            sketches: vec![Sketch::default()],
            estimates: vec![None],
        }
    }
}

impl Learner {
    /// The kind of a job.
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
        if self.sketches.len() >= KINDS_MAX {
            return OTHER;
        }
        let id = KindId(self.sketches.len());
        self.sketches.push(Sketch::default());
        self.estimates.push(None);
        self.ids.insert(kind, id);
        id
    }

    /// The kind of all work of a queue.
    pub fn kind_of_queue(&mut self, queue: &str) -> KindId {
        let shape = Shape {
            parts: 1,
            accelerators: 0,
            memory_mib: 0,
            adjacency: Adjacency::default(),
        };
        self.kind("", queue, &shape, None)
    }

    /// Takes note of a run that ended by itself.
    pub fn add(&mut self, kind: KindId, time: Duration) {
        if kind == OTHER {
            return;
        }
        let sketch = &mut self.sketches[kind.0];
        sketch.add(time);
        if sketch.total >= TRUSTED_AFTER {
            self.estimates[kind.0] = Some(Estimate {
                low: sketch.quantile(10),
                middle: sketch.quantile(50),
                high: sketch.quantile(90),
            });
        }
    }

    /// What a job of this kind is likely to take.
    #[must_use]
    pub fn estimate(
        &self,
        kind: KindId,
        declared: Option<Duration>,
    ) -> Estimate {
        self.estimates[kind.0].unwrap_or_else(|| {
            let guess = declared.unwrap_or(UNKNOWN);
            Estimate {
                low: Duration::ZERO,
                middle: guess,
                high: guess * 2,
            }
        })
    }
}
