//! Learns how long the target works on a request.
//!
//! Targets of one service differ in speed, and nothing states which is fast. A balancer that counts
//! requests and flows alone gives a slow target as many as a fast one, and its requests wait. The
//! agent sees when a request is delivered and when its answer begins, so it can learn the mean
//! service time. The response time alone is no measure of it, because it includes the wait in the
//! target's queue. Two kinds of samples do not:
//!
//! ```text
//! started at once   fewer than `slots` others were unanswered at delivery: the response time
//! all slots busy    the interval between two answers, times the number of slots
//! ```
//!
//! A target with a full queue rejects a request with an immediate answer. Such an answer says
//! nothing about the speed and does not count.

use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::ServiceEstimate;
use smallvec::SmallVec;

/// Time constant of the reported mean. Its noise makes balancers place flows unevenly, so it
/// averages over more requests than a change of speed may take to be learned.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Time constant of the recent mean, which reveals a change of speed: after 2 s of load, it has
/// followed 92 % of it.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(800);

/// The speed has changed if the recent mean differs from the reported one by this factor.
const CHANGE_FACTOR: f64 = 4.0 / 3.0;

/// How long the reported mean follows the recent one after a change.
const CHANGE_PERIOD: Duration = Duration::from_secs(2);

/// Minimum number of answers that a new one is weighed against, so that a single long request after
/// a pause does not replace what was learned before.
const MIN_ANSWERS: f64 = 8.0;

/// Samples are clipped to this multiple of the mean. A few per cent of the requests take many times
/// as long as the others, and without the clipping they dominate the variance of the mean. The
/// clipping affects all targets of a service alike, so the ratio of their means is unchanged.
const SAMPLE_CLIP_FACTOR: f64 = 3.0;

/// Samples before the mean is reported.
const MIN_SAMPLES: u16 = 8;

/// Answers in one sample of the interval between answers. The interval between two answers alone
/// has too high a variance.
const ANSWERS_PER_SAMPLE: u16 = 4;

/// An answer to a request that had to wait is a rejection if it arrives within this fraction of
/// the mean service time, before the requests ahead of it were answered.
const REJECTION_FRACTION: f64 = 0.5;

/// Maximum number of service addresses remembered.
const MAX_ADDRESSES: usize = 256;

/// A request that was delivered to the target and is not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeliveredRequest {
    /// Identifies the start of the target as far as known; see [`ServiceTimes::forget`].
    start: u16,
    at: Moment,
    /// Other requests that were unanswered at delivery.
    others: u16,
    /// Value of [`ServiceTimes::answers`] at delivery.
    answers: u32,
}

/// Learns the target's mean service time; see the module documentation.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    /// How many requests the target runs concurrently; 0 until an offer with a class arrives.
    /// Nothing is learned until then.
    slots: u16,
    /// The service addresses whose requests have a class.
    addresses: SmallVec<[SocketAddrV4; 4]>,
    /// Counts the presumed starts of the target.
    start: u16,
    /// Requests of the current start that were delivered and not answered.
    unanswered: u16,
    /// Answers of the current start, without rejections; wraps around.
    answers: u32,
    learned: Option<LearnedTime>,
    /// Samples in `learned`. Invariant: at most [`MIN_SAMPLES`].
    samples: u16,
    /// The last answer, if all slots were busy after it and since.
    busy_since: Option<Moment>,
    /// Time with all slots busy that is not in a sample yet.
    busy_time: Duration,
    /// Answers at the end of that time. Invariant: below [`ANSWERS_PER_SAMPLE`].
    busy_answers: u16,
}

/// A mean service time over about one time constant, in which each answer has the same weight apart
/// from its age. A weight that grows with the time since the answer before would favour long
/// requests.
#[derive(Clone, Copy, Debug)]
struct DecayingMean {
    time: ServiceEstimate,
    time_constant: Duration,
    /// Sum of the weights of all answers.
    answers: f64,
}

impl DecayingMean {
    fn new(sample: Duration, time_constant: Duration) -> Self {
        Self {
            time: ServiceEstimate::new(sample),
            time_constant,
            answers: 0.0,
        }
    }

    /// Records the mean of some answers, `gap` after the sample before.
    fn record(&mut self, sample: Duration, answers: u16, gap: Duration) {
        let decay = (-gap.as_secs_f64() / self.time_constant.as_secs_f64()).exp();
        let answers = f64::from(answers);
        self.answers = self.answers * decay + answers;
        let weight = answers / self.answers.max(MIN_ANSWERS);
        self.time.record_weighted(sample, weight);
    }
}

/// A mean service time that has little noise, but follows large changes fast.
#[derive(Clone, Copy, Debug)]
struct LearnedTime {
    mean: DecayingMean,
    recent: DecayingMean,
    sampled_at: Moment,
    /// Until when `mean` follows `recent`.
    changing_until: Moment,
}

impl LearnedTime {
    fn new(sample: Duration, now: Moment) -> Self {
        Self {
            mean: DecayingMean::new(sample, MEAN_TIME_CONSTANT),
            recent: DecayingMean::new(sample, RECENT_TIME_CONSTANT),
            sampled_at: now,
            changing_until: Moment::ZERO,
        }
    }

    /// Returns the reported mean in seconds.
    fn mean(&self) -> f64 {
        self.mean.time.mean()
    }

    /// Records a sample that is the mean of some answers.
    fn record(&mut self, sample: Duration, answers: u16, now: Moment) {
        let gap = now.since(std::mem::replace(&mut self.sampled_at, now));
        let recent = self.recent.time.mean();
        let sample = sample.min(Duration::from_secs_f64(recent * SAMPLE_CLIP_FACTOR));
        self.recent.record(sample, answers, gap);
        self.mean.record(sample, answers, gap);
        let ratio = self.recent.time.mean() / self.mean();
        if !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&ratio) {
            self.changing_until = now + CHANGE_PERIOD;
        }
        if now < self.changing_until {
            self.mean.time = self.recent.time;
            self.mean.answers = self.recent.answers;
        }
    }
}

impl ServiceTimes {
    /// Records an offer with a class for a flow to `address`, for a target that runs `slots`
    /// requests at once.
    pub(super) fn record_offer(&mut self, address: SocketAddrV4, slots: u16) {
        if slots > 0 && slots != self.slots {
            self.slots = slots;
            self.discard_busy_time();
        }
        if self.addresses.len() < MAX_ADDRESSES && !self.addresses.contains(&address) {
            self.addresses.push(address);
        }
    }

    /// Records the delivery of a request or of a further packet of it. The target can start a
    /// request when it has the last packet.
    pub(super) fn record_delivery(&mut self, request: &mut Option<DeliveredRequest>, now: Moment) {
        if self.slots == 0 {
            return;
        }
        if let Some(request) = request.as_mut().filter(|known| self.counts(known)) {
            request.at = now;
            return;
        }
        *request = Some(DeliveredRequest {
            start: self.start,
            at: now,
            others: self.unanswered,
            answers: self.answers,
        });
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Records the first packet of the answer to a request to `address`.
    pub(super) fn record_answer(
        &mut self,
        request: &DeliveredRequest,
        address: SocketAddrV4,
        now: Moment,
    ) {
        if !self.counts(request) {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        let elapsed = now.since(request.at);
        if self.is_rejection(request, elapsed) {
            self.update_busy(now);
            return;
        }
        self.answers = self.answers.wrapping_add(1);
        self.record_interval(now);
        if request.others < self.slots && self.addresses.contains(&address) {
            self.record_sample(elapsed, 1, now);
        }
    }

    /// Records that a request will not be answered.
    pub(super) fn record_abandoned(&mut self, request: &DeliveredRequest) {
        if self.counts(request) {
            self.unanswered = self.unanswered.saturating_sub(1);
            self.busy_since = self.busy_since.filter(|_| self.all_slots_busy());
        }
    }

    /// Returns whether a request is one of the current start of the target.
    pub(super) fn counts(&self, request: &DeliveredRequest) -> bool {
        request.start == self.start
    }

    /// Sets the number of unanswered requests, after some of them have timed out.
    pub(super) fn set_unanswered(&mut self, unanswered: u16) {
        if unanswered != self.unanswered {
            self.unanswered = unanswered;
            self.busy_since = None;
        }
    }

    /// Forgets what was learned: the target has restarted and holds no earlier request.
    pub(super) fn forget(&mut self) {
        self.start = self.start.wrapping_add(1);
        self.unanswered = 0;
        self.learned = None;
        self.samples = 0;
        self.discard_busy_time();
    }

    /// Returns the learned mean service time in microseconds; `None` until there are enough
    /// samples.
    pub(super) fn mean_us(&self) -> Option<NonZeroU32> {
        let learned = self.learned.filter(|_| self.samples >= MIN_SAMPLES)?;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let micros = (learned.mean() * 1e6) as u32;
        Some(NonZeroU32::new(micros).unwrap_or(NonZeroU32::MIN))
    }

    fn all_slots_busy(&self) -> bool {
        self.unanswered >= self.slots
    }

    /// Returns whether the answer to a request rejects it: the target answered it quickly, although
    /// it was still working on the requests ahead.
    fn is_rejection(&self, request: &DeliveredRequest, elapsed: Duration) -> bool {
        let Some(ahead) = request.others.checked_sub(self.slots) else {
            return false;
        };
        let answered = self.answers.wrapping_sub(request.answers);
        let overtook = answered <= u32::from(ahead);
        let mean = self.learned.map(|learned| learned.mean());
        overtook && mean.is_none_or(|mean| elapsed.as_secs_f64() < mean * REJECTION_FRACTION)
    }

    /// Starts or ends a busy period without counting an answer.
    fn update_busy(&mut self, now: Moment) {
        if !self.all_slots_busy() {
            self.busy_since = None;
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Counts an answer that ends an interval with all slots busy.
    fn record_interval(&mut self, now: Moment) {
        if let Some(since) = self.busy_since.take() {
            self.busy_time += now.since(since);
            self.busy_answers += 1;
        }
        self.update_busy(now);
        if self.busy_answers == ANSWERS_PER_SAMPLE {
            let sample = self.busy_time * u32::from(self.slots) / u32::from(ANSWERS_PER_SAMPLE);
            self.busy_time = Duration::ZERO;
            self.busy_answers = 0;
            self.record_sample(sample, ANSWERS_PER_SAMPLE, now);
        }
    }

    fn discard_busy_time(&mut self) {
        self.busy_since = None;
        self.busy_time = Duration::ZERO;
        self.busy_answers = 0;
    }

    fn record_sample(&mut self, sample: Duration, answers: u16, now: Moment) {
        let new = || LearnedTime::new(sample, now);
        self.learned
            .get_or_insert_with(new)
            .record(sample, answers, now);
        self.samples = (self.samples + 1).min(MIN_SAMPLES);
    }
}
