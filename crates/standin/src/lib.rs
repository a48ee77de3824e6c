//! Stand-ins for the systems that lentilreach serves.

pub mod experiment;
