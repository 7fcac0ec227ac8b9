//! When a refused request is worth another try.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, Moment};

/// The shortest advice.
pub(crate) const LEAST_RETRY: Duration = Duration::from_millis(100);

/// The longest advice, beyond which a forecast from the backlog means nothing.
pub(crate) const MOST_RETRY: Duration = Duration::from_secs(30);

/// Spreads refused requests over the time that the gate needs to serve them.
///
/// What goes wrong without it: all refused callers get the same advice, come back together, and
/// are refused again together. Here every refusal reserves the time of one request behind those
/// reserved before, so that callers come back at the rate at which the gate can serve them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetrySchedule {
    /// The end of the newest reservation.
    reserved: Moment,
}

impl RetrySchedule {
    /// Advice for a request whose slot would come free after `wait`, when the gate serves one
    /// request per `spacing`.
    pub(crate) fn advise(
        &mut self,
        attempt: AttemptId,
        wait: Duration,
        spacing: Duration,
        now: Moment,
    ) -> Duration {
        let earliest = now + wait;
        let reserved = self.reserved.max(earliest) + spacing;
        self.reserved = reserved.min(now + MOST_RETRY);
        let advice = self.reserved.since(now) + spacing.mul_f64(spread(attempt));
        advice.clamp(LEAST_RETRY, MOST_RETRY)
    }
}

/// A number from 0 to 1 that an attempt's random bits give.
fn spread(attempt: AttemptId) -> f64 {
    let bits = (attempt.0 & 0xffff) as u16;
    f64::from(bits) / f64::from(u16::MAX)
}
