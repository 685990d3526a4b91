//! Quantiles of samples.

/// Returns the `percent` percentile of `values`, or 0 if there are none.
///
/// The result is always one of the values: a rank between two of them is
/// rounded up. Sorts `values` in place.
pub fn quantile(values: &mut [f64], percent: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    // The number of values is far below the limits of `f64` and `usize`.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = (last as f64 * percent / 100.0).ceil() as usize;
    values[index.min(last)]
}
