//! What one backend server of a service can handle.

use std::fmt::{self, Display, Formatter};
use std::ops::RangeInclusive;

/// Shortest time. A time below 10 ms is most likely in seconds.
const SHORTEST_MS: u64 = 10;

/// The parameters of a template.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Requests that run at once on a warm backend server.
    pub slots: u16,
    /// Open flows on one backend server.
    pub connections: u32,
    /// Requests that run at once on a cold backend server; 1 to `slots`.
    pub cold_slots: u16,
    /// Time from the cold limit to all slots, in milliseconds.
    pub cold_ms: u64,
    /// Time that running requests have to finish during a drain, in milliseconds.
    pub leave_ms: u64,
    /// Requests that wait for a slot.
    pub queue: u16,
    /// Time that a request may wait and run, in milliseconds.
    pub deadline_ms: u64,
}

impl Limits {
    /// The lowest value of every parameter.
    pub fn lowest() -> Self {
        Self {
            slots: 1,
            connections: 1,
            cold_slots: 1,
            cold_ms: SHORTEST_MS,
            leave_ms: SHORTEST_MS,
            queue: 0,
            deadline_ms: SHORTEST_MS,
        }
    }

    /// The limits with one parameter set.
    ///
    /// # Errors
    /// If the value is outside [`Parameter::range`].
    pub fn with(mut self, parameter: Parameter, value: u64) -> Result<Self, Fault> {
        if !parameter.range().contains(&value) {
            return Err(Fault::Range { parameter, value });
        }
        // The range of each parameter is within its type.
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

    /// Checks every range, and that the cold limit is not above the slots.
    ///
    /// # Errors
    /// The first parameter at fault.
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

/// A parameter by its name in documents.
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
    /// All parameters in the order of the documents.
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

    /// Whether it is a time in milliseconds.
    pub fn is_time(self) -> bool {
        matches!(self, Self::ColdMs | Self::LeaveMs | Self::DeadlineMs)
    }

    /// The values that are accepted.
    ///
    /// The bounds catch a wrong unit: a time above its bound is most likely in microseconds.
    /// The others are far above what one VM serves.
    pub fn range(self) -> RangeInclusive<u64> {
        match self {
            Self::Slots | Self::ColdSlots => 1..=4_096,
            Self::Connections => 1..=1_000_000,
            Self::ColdMs => SHORTEST_MS..=600_000,
            Self::LeaveMs => SHORTEST_MS..=3_600_000,
            Self::Queue => 0..=16_384,
            Self::DeadlineMs => SHORTEST_MS..=300_000,
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
    /// The cold limit is above the slots.
    ColdAboveSlots {
        /// The cold limit.
        cold: u16,
        /// The slots.
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
