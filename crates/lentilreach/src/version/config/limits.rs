//! The limits of one backend server of a service.

use std::fmt::{self, Display, Formatter};
use std::ops::RangeInclusive;

/// Minimum of all times, in milliseconds. A smaller value was most likely meant in seconds.
const MIN_TIME_MS: u64 = 10;

/// The limits of one backend server, as set by a template.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum number of concurrent requests on a warm backend server.
    pub slots: u16,
    /// Maximum number of open flows on one backend server.
    pub connections: u32,
    /// Maximum number of concurrent requests on a cold backend server; 1 to `slots`.
    pub cold_slots: u16,
    /// Duration of the slow start from `cold_slots` to `slots`, in milliseconds.
    pub cold_ms: u64,
    /// Time in which running requests can finish during a drain, in milliseconds.
    pub leave_ms: u64,
    /// Maximum number of requests that wait for a slot.
    pub queue: u16,
    /// Maximum time for a request, waiting included, in milliseconds.
    pub deadline_ms: u64,
}

impl Limits {
    /// Sets every parameter to its minimum.
    pub fn lowest() -> Self {
        Self {
            slots: 1,
            connections: 1,
            cold_slots: 1,
            cold_ms: MIN_TIME_MS,
            leave_ms: MIN_TIME_MS,
            queue: 0,
            deadline_ms: MIN_TIME_MS,
        }
    }

    /// Returns the limits with one parameter replaced.
    ///
    /// # Errors
    /// If the value is outside [`Parameter::range`].
    pub fn with(mut self, parameter: Parameter, value: u64) -> Result<Self, Fault> {
        if !parameter.range().contains(&value) {
            return Err(Fault::Range { parameter, value });
        }
        // The casts are lossless: the range of each parameter fits its type.
        match parameter {
            Parameter::Slots => self.slots = value as u16,
            Parameter::Connections => self.connections = value as u32,
            Parameter::ColdSlots => self.cold_slots = value as u16,
            Parameter::ColdMs => self.cold_ms = value,
            Parameter::LeaveMs => self.leave_ms = value,
            Parameter::Queue => self.queue = value as u16,
            Parameter::DeadlineMs => self.deadline_ms = value,
        }
        Ok(self)
    }

    /// The value of a parameter.
    pub fn get(&self, parameter: Parameter) -> u64 {
        match parameter {
            Parameter::Slots => self.slots.into(),
            Parameter::Connections => self.connections.into(),
            Parameter::ColdSlots => self.cold_slots.into(),
            Parameter::ColdMs => self.cold_ms,
            Parameter::LeaveMs => self.leave_ms,
            Parameter::Queue => self.queue.into(),
            Parameter::DeadlineMs => self.deadline_ms,
        }
    }

    /// Checks the range of every parameter, and that `cold_slots` is not above `slots`.
    ///
    /// # Errors
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), Fault> {
        for parameter in Parameter::ALL {
            let value = self.get(parameter);
            if !parameter.range().contains(&value) {
                return Err(Fault::Range { parameter, value });
            }
        }
        if self.cold_slots > self.slots {
            return Err(Fault::ColdAboveSlots {
                cold: self.cold_slots,
                slots: self.slots,
            });
        }
        Ok(())
    }
}

/// A parameter of [`Limits`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Parameter {
    /// [`Limits::slots`].
    Slots,
    /// [`Limits::connections`].
    Connections,
    /// [`Limits::cold_slots`].
    ColdSlots,
    /// [`Limits::cold_ms`].
    ColdMs,
    /// [`Limits::leave_ms`].
    LeaveMs,
    /// [`Limits::queue`].
    Queue,
    /// [`Limits::deadline_ms`].
    DeadlineMs,
}

impl Parameter {
    /// All parameters, in the order in which documents list them.
    pub const ALL: [Self; 7] = [
        Self::Slots,
        Self::Connections,
        Self::ColdSlots,
        Self::ColdMs,
        Self::LeaveMs,
        Self::Queue,
        Self::DeadlineMs,
    ];

    /// Finds a parameter by its name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|parameter| parameter.name() == name)
    }

    /// Its name in documents.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Connections => "connections",
            Self::ColdSlots => "cold_slots",
            Self::ColdMs => "cold_ms",
            Self::LeaveMs => "leave_ms",
            Self::Queue => "queue",
            Self::DeadlineMs => "deadline_ms",
        }
    }

    /// Whether the value is a time in milliseconds.
    pub fn is_time(self) -> bool {
        matches!(self, Self::ColdMs | Self::LeaveMs | Self::DeadlineMs)
    }

    /// The range of accepted values.
    ///
    /// The upper bounds of times catch a wrong unit: a greater value was most likely meant in
    /// microseconds. The upper bounds of counts are far above what one VM can serve.
    pub fn range(self) -> RangeInclusive<u64> {
        match self {
            Self::Slots | Self::ColdSlots => 1..=4_096,
            Self::Connections => 1..=1_000_000,
            Self::ColdMs => MIN_TIME_MS..=600_000,
            Self::LeaveMs => MIN_TIME_MS..=3_600_000,
            Self::Queue => 0..=16_384,
            Self::DeadlineMs => MIN_TIME_MS..=300_000,
        }
    }
}

impl Display for Parameter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why limits are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A value outside [`Parameter::range`].
    Range {
        /// The parameter.
        parameter: Parameter,
        /// Its value.
        value: u64,
    },
    /// [`Limits::cold_slots`] is above [`Limits::slots`].
    ColdAboveSlots {
        /// The value of `cold_slots`.
        cold: u16,
        /// The value of `slots`.
        slots: u16,
    },
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Range { parameter, value } => {
                let (low, high) = parameter.range().into_inner();
                write!(f, "{parameter} is {value}, expected {low} to {high}")
            }
            Self::ColdAboveSlots { cold, slots } => {
                write!(f, "cold_slots is {cold}, above slots, which is {slots}")
            }
        }
    }
}

impl std::error::Error for Fault {}
