//! Identifiers that tokens and messages carry.

/// Identifiers of services.
pub mod service {
    use serde::{Deserialize, Serialize};
    use xxhash_rust::xxh3::xxh3_64;

    /// The first 32 bits of the hash of `ORGANISATION/SERVICE`.
    ///
    /// The configuration check rejects two services with the same identifier.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
    #[derive(Serialize, Deserialize)]
    pub struct Id(pub u32);

    impl Id {
        /// Derives the identifier of a service from its two names.
        pub fn of(organisation: &str, service: &str) -> Self {
            let hash = xxh3_64(format!("{organisation}/{service}").as_bytes());
            Self((hash >> 32) as u32)
        }
    }
}

/// Identifiers of failure domains.
pub mod domain {
    use serde::{Deserialize, Serialize};

    /// The position of a failure domain in the domain document. A position is never
    /// reused.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
    #[derive(Serialize, Deserialize)]
    pub struct Id(pub u8);
}

/// Identifiers of processes.
pub mod node {
    use std::fmt::{self, Display, Formatter};

    use serde::{Deserialize, Serialize};

    /// Chosen at random when a process starts, so it also identifies the incarnation.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
    #[derive(Serialize, Deserialize)]
    pub struct Id(pub u64);

    impl Id {
        /// The 16 bits of the identifier that a token carries.
        pub fn incarnation(self) -> u16 {
            self.0 as u16
        }
    }

    impl Display for Id {
        fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
            write!(f, "{:016x}", self.0)
        }
    }
}
