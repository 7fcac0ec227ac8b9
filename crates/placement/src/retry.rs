//! Retry-after times for refused requests.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, Moment};

/// Shortest retry-after time.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry-after time; forecasts from the backlog are meaningless beyond it.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Spreads the retries of refused requests over the time that the gate needs to serve them.
///
/// With the same retry-after time for all, refused callers would return together and be refused
/// together again. So each refusal reserves the service time of one request after the existing
/// reservations, and callers return at the rate at which the gate can serve them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetrySchedule {
    /// End of the latest reservation.
    reserved_until: Moment,
}

impl RetrySchedule {
    /// Returns the retry-after time for a request whose slot is expected to become free after
    /// `wait`, at a gate that completes one request per `completion_interval`.
    pub(crate) fn next_retry_after(
        &mut self,
        attempt: AttemptId,
        wait: Duration,
        completion_interval: Duration,
        now: Moment,
    ) -> Duration {
        let earliest = now + wait;
        let reserved_until = self.reserved_until.max(earliest) + completion_interval;
        self.reserved_until = reserved_until.min(now + MAX_RETRY_AFTER);
        let retry_after =
            self.reserved_until.since(now) + completion_interval.mul_f64(jitter(attempt));
        retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Returns a number from 0 to 1 derived from the attempt's random bits.
fn jitter(attempt: AttemptId) -> f64 {
    let bits = (attempt.0 & 0xffff) as u16;
    f64::from(bits) / f64::from(u16::MAX)
}
