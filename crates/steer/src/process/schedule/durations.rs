//! Learns how long requests take in a slot of a backend server.
//!
//! Answers the load of backend servers that differ in speed, that turn slow and recover,
//! and of requests of which a few take many times as long as the others. A few of these
//! would move an arithmetic mean up and down, so the moving average is that of the
//! logarithm, and the ratio to the arithmetic mean is learned more slowly.

use std::net::SocketAddrV4;

/// Weight of one duration in the moving average.
const WEIGHT: f64 = 0.03;

/// Weight of one duration while a run of them shows that the speed has changed.
const CHANGE_WEIGHT: f64 = 0.5;

/// Factor by which durations differ from the average if the speed has changed.
const CHANGE_FACTOR: f64 = 2.0;

/// Number of durations in succession that show it.
const CHANGE_RUN: i8 = 4;

/// Weight of one duration in the shape of the distribution.
const SHAPE_WEIGHT: f64 = 0.01;

/// Number of durations after which an average counts.
const MIN_SAMPLES: u32 = 3;

/// Number of queued requests whose times are recorded together.
const QUEUED_REQUESTS: u32 = 8;

/// Maximum number of routes to keep track of.
const MAX_ROUTES: usize = 16;

/// Number of requests on a route after which older ones count half.
const HALVE_AFTER: u32 = 128;

/// Minimum number of requests for each opening of a route whose flows count as long.
const LONG_FLOW_REQUESTS: u32 = 3;

/// Moving average of durations.
#[derive(Debug, Default, Clone, Copy)]
struct Average {
    /// Mean of the natural logarithm of durations in milliseconds.
    ln_mean: f64,
    /// Number of durations, saturating.
    samples: u32,
    /// Length of the current run of durations that are much longer (positive) or much
    /// shorter (negative) than the average.
    run: i8,
}

impl Average {
    /// Records a duration.
    fn record(&mut self, ms: f64) {
        let ln_ms = ms.max(1.0).ln();
        self.samples = self.samples.saturating_add(1);
        let difference = ln_ms - self.ln_mean;
        self.run = match difference {
            _ if difference > CHANGE_FACTOR.ln() => self.run.max(0).saturating_add(1),
            _ if difference < -CHANGE_FACTOR.ln() => self.run.min(0).saturating_sub(1),
            _ => 0,
        };
        let is_changed = self.run.abs() >= CHANGE_RUN;
        let weight = if is_changed { CHANGE_WEIGHT } else { WEIGHT };
        self.ln_mean += difference * weight.max(1.0 / f64::from(self.samples));
    }

    /// The geometric mean in milliseconds; `None` if there are too few durations.
    fn ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| self.ln_mean.exp())
    }
}

/// Number of classes in a [`Shape`].
const CLASSES: usize = 32;

/// Durations relative to the average, in classes: class `i` begins at 2^((i - 12) / 4) times
/// the average.
#[derive(Debug, Clone, Copy)]
struct Shape {
    /// Share of the durations in each class.
    shares: [f64; CLASSES],
    /// Mean of the durations relative to the average.
    mean: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self { shares: [0.0; CLASSES], mean: 1.0 }
    }
}

impl Shape {
    /// Records a duration relative to the average.
    fn record(&mut self, ratio: f64) {
        let class = (ratio.max(f64::MIN_POSITIVE).log2() * 4.0 + 12.0).floor();
        let class = class.clamp(0.0, (CLASSES - 1) as f64) as usize;
        for (index, share) in self.shares.iter_mut().enumerate() {
            let value = if index == class { 1.0 } else { 0.0 };
            *share += (value - *share) * SHAPE_WEIGHT;
        }
        self.mean += (ratio - self.mean) * SHAPE_WEIGHT;
    }

    /// Expected remaining time of what has run for a time, both relative to the average.
    /// Without longer durations on record, as long again as it has run.
    fn residual(&self, age: f64) -> f64 {
        let (mut weight, mut rest) = (0.0, 0.0);
        for (index, share) in self.shares.iter().enumerate() {
            let middle = ((index as f64 - 11.5) / 4.0).exp2();
            if middle > age {
                weight += share;
                rest += share * (middle - age);
            }
        }
        if weight > MIN_SHARE { rest / weight } else { age.max(1.0) }
    }
}

/// Share of the durations below which the tail of a [`Shape`] isn't known.
const MIN_SHARE: f64 = 0.001;

/// What is known about the requests of one route.
#[derive(Debug, Clone, Copy)]
struct Route {
    /// The address that callers use.
    address: SocketAddrV4,
    /// Their durations.
    average: Average,
    /// Number of flows that were opened lately.
    openings: u32,
    /// Number of requests on its flows lately.
    requests: u32,
}

/// Durations of the requests that a backend server has answered.
#[derive(Debug, Default, Clone)]
pub struct Durations {
    /// Sorted by address, at most [`MAX_ROUTES`].
    routes: Vec<Route>,
    /// Durations on all routes.
    all: Average,
    /// Their distribution.
    shape: Shape,
    /// Sum and number of times of queued requests, in milliseconds.
    queued: (u64, u32),
}

impl Durations {
    /// Records the time that a request took in a slot that it got when another one ended.
    ///
    /// A busy process sees several ends at once, so single times are too short or too long,
    /// and only their sum is right.
    pub fn record_queued(&mut self, ms: u64) {
        self.queued = (self.queued.0 + ms, self.queued.1 + 1);
        let (sum_ms, requests) = self.queued;
        if requests == QUEUED_REQUESTS {
            self.queued = (0, 0);
            let mean_ms = sum_ms as f64 / f64::from(requests);
            // The mean is above the average of the logarithm.
            self.all.record(mean_ms / self.shape.mean);
        }
    }

    /// Records the time that a request of a route took in a slot that was free.
    pub fn record(&mut self, route: SocketAddrV4, ms: u64) {
        let ms = ms as f64;
        if let Some(average) = self.all.ms() {
            self.shape.record(ms / average);
        }
        self.all.record(ms);
        if let Some(route) = self.route_mut(route) {
            route.average.record(ms);
        }
    }

    /// Counts a flow that was opened.
    pub fn record_opening(&mut self, route: SocketAddrV4) {
        if let Some(route) = self.route_mut(route) {
            route.openings += 1;
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, route: SocketAddrV4) {
        if let Some(route) = self.route_mut(route) {
            route.requests += 1;
            if route.requests >= HALVE_AFTER {
                route.requests /= 2;
                route.openings /= 2;
            }
        }
    }

    /// Mean duration of a request, in milliseconds; `None` if too few are known.
    pub fn mean_ms(&self) -> Option<f64> {
        self.all.ms().map(|ms| ms * self.shape.mean)
    }

    /// The routes with enough requests, each with the mean duration of a request in
    /// milliseconds, and whether its flows have several requests.
    pub fn routes(&self) -> impl Iterator<Item = (SocketAddrV4, f64, bool)> {
        self.routes.iter().filter_map(|route| {
            let ms = route.average.ms()? * self.shape.mean;
            let is_long = route.requests >= route.openings.max(1) * LONG_FLOW_REQUESTS;
            Some((route.address, ms, is_long))
        })
    }

    /// Expected time until a request gets one of `slots` slots, in milliseconds, if requests
    /// of these ages have one, and `queued` others precede it, of which each takes
    /// `request_ms`.
    pub fn wait_ms(
        &self,
        ages: &[u64],
        queued: usize,
        slots: u32,
        request_ms: f64,
    ) -> f64 {
        let free = (slots as usize).saturating_sub(ages.len());
        let Some(behind) = queued.checked_sub(free) else { return 0.0 };
        let residuals = ages.iter().filter_map(|age| self.residual_ms(*age));
        let first = residuals.min_by(f64::total_cmp).unwrap_or(request_ms);
        first + behind as f64 * request_ms / f64::from(slots.max(1))
    }

    /// Expected remaining time of a request that has run for `age_ms`, in milliseconds.
    pub fn residual_ms(&self, age_ms: u64) -> Option<f64> {
        let average = self.all.ms()?;
        Some(self.shape.residual(age_ms as f64 / average) * average)
    }

    /// The entry of a route. Replaces the one with the fewest requests if there are too
    /// many.
    fn route_mut(&mut self, address: SocketAddrV4) -> Option<&mut Route> {
        let find = |routes: &[Route]| {
            routes.binary_search_by_key(&address, |route| route.address)
        };
        if find(&self.routes).is_err() {
            if self.routes.len() >= MAX_ROUTES {
                let rarest = (0..self.routes.len()).min_by_key(|i| {
                    let route = &self.routes[*i];
                    route.requests + route.openings
                })?;
                self.routes.remove(rarest);
            }
            let average = Average::default();
            let route = Route { address, average, openings: 0, requests: 0 };
            let index = find(&self.routes).unwrap_or_else(|index| index);
            self.routes.insert(index, route);
        }
        let index = find(&self.routes).ok()?;
        Some(&mut self.routes[index])
    }
}
