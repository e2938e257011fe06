//! The rule by which a request that no endpoint takes at once is queued or refused.
//!
//! It follows from the time that the caller has left, the work ahead of the request and the
//! request's own. A request that would end after its caller has left is refused at once, so that the
//! caller can return while it still has time, and endpoints do not work for callers that have left.
//! Every queue in front of endpoints applies it; what it needs to know is measured there. See
//! `docs/decisions/0010-admission.md`.

/// Part of its remaining time for which a caller stays away at most when it is asked to return.
const LONGEST_RETURN_SHARE: f64 = 1.0 / 3.0;

/// Part of a delay by which callers that are refused together are spread. Other nodes refuse callers at
/// the same time, and all would meet each other again.
const SPREAD: f64 = 0.5;

/// Nodes tell each other what they sent at most this often, so that a caller that returns sooner is
/// decided on by the same figures.
const SHORTEST_RETURN_MS: f64 = 100.0;

/// How long a caller still stays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerTime {
    /// Time left for the beginning of its answer.
    pub first_ms: f64,
    /// Time left for the whole answer.
    pub whole_ms: f64,
}

/// Time from when an endpoint takes a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// Until its answer begins.
    pub first_ms: f64,
    /// Until its answer is complete.
    pub whole_ms: f64,
}

/// What happens before an endpoint takes a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Time until the first endpoint can take a request.
    pub opens_ms: f64,
    /// Work that goes first.
    pub ahead_ms: f64,
    /// Work that this node's share of the endpoints does per ms.
    pub rate: f64,
}

impl Backlog {
    /// Returns when an endpoint is predicted to take the request.
    pub fn wait_ms(&self) -> f64 {
        self.opens_ms + self.time_of_ms(self.ahead_ms)
    }

    fn time_of_ms(&self, work_ms: f64) -> f64 {
        work_ms / self.rate.max(f64::MIN_POSITIVE)
    }
}

impl CallerTime {
    /// Returns how long a request can wait so that its caller still gets the answer; negative if it
    /// cannot get it at all.
    pub fn longest_wait_ms(&self, service: &Service) -> f64 {
        (self.first_ms - service.first_ms).min(self.whole_ms - service.whole_ms)
    }

    /// Whether the caller is predicted to be there for all of the answer.
    pub fn is_served(&self, service: &Service, backlog: &Backlog) -> bool {
        backlog.wait_ms() <= self.longest_wait_ms(service)
    }
}

/// Returns after which time of silence another endpoint is tried, if the caller stays for `stays_ms` and an
/// endpoint usually answers within `usual_ms`.
///
/// An endpoint that is silent for a while is often sound, and a second run takes room from others. So the
/// other one is tried when it can still answer while the caller stays, and not before the first has
/// had the usual time.
pub fn tries_elsewhere_after_ms(stays_ms: u64, usual_ms: u64) -> u64 {
    stays_ms.saturating_sub(usual_ms).max(usual_ms)
}

/// Returns the longest time for which a caller with this much time left stays away when asked to.
pub fn longest_return_ms(left_ms: f64) -> f64 {
    left_ms.max(0.0) * LONGEST_RETURN_SHARE
}

/// Returns when a refused caller should return, if there is room for it after `room_ms`; `draw`, from 0
/// to 1, differs between callers.
pub fn return_after_ms(left_ms: f64, room_ms: f64, draw: f64) -> f64 {
    let delay_ms = room_ms.max(SHORTEST_RETURN_MS) * (1.0 + SPREAD * draw);
    delay_ms.min(longest_return_ms(left_ms))
}

/// The room in a queue that refused callers were told of.
///
/// They are asked to return one after the other, as fast as the endpoints work. If all were told when
/// there is room for the first, most would be refused again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Promises {
    until_ms: f64,
}

impl Promises {
    /// Returns how long it takes until there is room for a request that is refused.
    ///
    /// There is when the queue is so short that the request would be served, and those before it have
    /// returned. A caller that has to return sooner takes no room from the others.
    pub fn room_ms(
        &mut self,
        now_ms: u64,
        caller: &CallerTime,
        service: &Service,
        work_ms: f64,
        backlog: &Backlog,
    ) -> f64 {
        let now_ms = now_ms as f64;
        let excess_ms = (backlog.wait_ms() - caller.longest_wait_ms(service)).max(0.0);
        let room_at_ms = self.until_ms.max(now_ms + excess_ms) + backlog.time_of_ms(work_ms);
        let room_ms = room_at_ms - now_ms;
        if room_ms <= longest_return_ms(caller.whole_ms) {
            self.until_ms = room_at_ms;
        }
        room_ms
    }
}
