//! The JSON form of events and the text form of stamps.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::node;
use crate::process::clock::Stamp;
use crate::process::event::{
    Close, Drain, DrainEnd, Event, Evidence, Kind, Label, Refusal, Role, Stop,
};
use crate::process::name::Name;

/// An event as a flat JSON object. Fields that a kind does not have are absent.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Frame {
    /// `MILLISECONDS.COUNT`, see [`Stamp`].
    pub stamp: String,
    /// The process that recorded it.
    pub process: String,
    /// The failure domain of that process.
    pub domain: String,
    /// The service concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The configuration revision concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// A [`Label`].
    pub kind: String,
    /// A [`Role`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// A node identifier in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// A [`Stop`], [`Drain`], [`DrainEnd`], [`Evidence`], [`Close`] or [`Refusal`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    /// A store key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<String>,
    /// What is wrong with a configuration value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The failure domain that is out or back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affected: Option<String>,
    /// The agent that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
    /// A flow in hexadecimal, since JSON numbers do not hold 64 bits everywhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow: Option<String>,
    /// A relay slot.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slot: Option<u8>,
    /// The identifier of a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<u8>,
}

impl Frame {
    /// The fields of the kind as pairs of name and value, for texts.
    pub fn details(&self) -> impl Iterator<Item = (&'static str, String)> {
        let fields = [
            ("role", self.role.clone()),
            ("node", self.node.clone()),
            ("member", self.member.clone()),
            ("affected", self.affected.clone()),
            ("flow", self.flow.clone()),
            ("slot", self.slot.map(|slot| slot.to_string())),
            ("key", self.key.map(|key| key.to_string())),
            ("cause", self.cause.clone()),
            ("entry", self.entry.clone()),
            ("reason", self.reason.as_ref().map(|reason| format!("{reason:?}"))),
        ];
        fields.into_iter().filter_map(|(name, value)| Some((name, value?)))
    }

    /// Fills the fields of the kind.
    fn detail(self, kind: &Kind) -> Self {
        let cause = |label: &'static str| Some(label.to_string());
        match kind {
            Kind::ProcessStarted { role, node } => Self {
                role: Some(role.to_string()),
                node: Some(node.to_string()),
                ..self
            },
            Kind::ProcessStopping { cause: stop } => {
                Self { cause: cause(stop.as_str()), ..self }
            }
            Kind::ConfigRejected { entry, reason } => {
                Self { entry: text(entry), reason: text(reason), ..self }
            }
            Kind::DomainOut { affected } | Kind::DomainBack { affected } => {
                Self { affected: text(affected), ..self }
            }
            Kind::MemberJoined { member }
            | Kind::MemberLeaving { member }
            | Kind::MemberSilent { member }
            | Kind::MemberHeard { member }
            | Kind::MemberGone { member } => Self { member: text(member), ..self },
            Kind::BackendCold { evidence } => {
                Self { cause: cause(evidence.as_str()), ..self }
            }
            Kind::DrainStarted { cause: drain } => {
                Self { cause: cause(drain.as_str()), ..self }
            }
            Kind::DrainFinished { end } => Self { cause: cause(end.as_str()), ..self },
            Kind::FlowOpened { flow } => Self { flow: hex(*flow), ..self },
            Kind::FlowClosed { flow, cause: close } => {
                Self { flow: hex(*flow), cause: cause(close.as_str()), ..self }
            }
            Kind::FlowRefused { flow, why } => {
                Self { flow: hex(*flow), cause: cause(why.as_str()), ..self }
            }
            Kind::RelayGained { slot } | Kind::RelayLost { slot } => {
                Self { slot: Some(*slot), ..self }
            }
            Kind::KeysRotated { key } => Self { key: Some(*key), ..self },
            Kind::ProcessStopped
            | Kind::ConfigInForce
            | Kind::BackendWarm
            | Kind::StoreAway
            | Kind::StoreBack => self,
        }
    }

    /// Reads the kind with its fields.
    fn to_kind(&self) -> Result<Kind, Fault> {
        let label = Label::find(&self.kind).ok_or(Fault::Kind)?;
        let cause = self.cause.as_deref();
        Ok(match label {
            Label::ProcessStarted => Kind::ProcessStarted {
                role: find(Role::find, self.role.as_deref(), "role")?,
                node: node::Id(number(self.node.as_deref(), "node")?),
            },
            Label::ProcessStopping => {
                Kind::ProcessStopping { cause: find(Stop::find, cause, "cause")? }
            }
            Label::ProcessStopped => Kind::ProcessStopped,
            Label::ConfigInForce => Kind::ConfigInForce,
            Label::ConfigRejected => Kind::ConfigRejected {
                entry: name(&self.entry, "entry")?,
                reason: name(&self.reason, "reason")?,
            },
            Label::DomainOut => Kind::DomainOut { affected: self.affected()? },
            Label::DomainBack => Kind::DomainBack { affected: self.affected()? },
            Label::MemberJoined => Kind::MemberJoined { member: self.member()? },
            Label::MemberLeaving => Kind::MemberLeaving { member: self.member()? },
            Label::MemberSilent => Kind::MemberSilent { member: self.member()? },
            Label::MemberHeard => Kind::MemberHeard { member: self.member()? },
            Label::MemberGone => Kind::MemberGone { member: self.member()? },
            Label::BackendCold => {
                Kind::BackendCold { evidence: find(Evidence::find, cause, "cause")? }
            }
            Label::BackendWarm => Kind::BackendWarm,
            Label::DrainStarted => {
                Kind::DrainStarted { cause: find(Drain::find, cause, "cause")? }
            }
            Label::DrainFinished => {
                Kind::DrainFinished { end: find(DrainEnd::find, cause, "cause")? }
            }
            Label::FlowOpened => Kind::FlowOpened { flow: self.flow()? },
            Label::FlowClosed => Kind::FlowClosed {
                flow: self.flow()?,
                cause: find(Close::find, cause, "cause")?,
            },
            Label::FlowRefused => Kind::FlowRefused {
                flow: self.flow()?,
                why: find(Refusal::find, cause, "cause")?,
            },
            Label::RelayGained => {
                Kind::RelayGained { slot: self.slot.ok_or(Fault::Field("slot"))? }
            }
            Label::RelayLost => {
                Kind::RelayLost { slot: self.slot.ok_or(Fault::Field("slot"))? }
            }
            Label::KeysRotated => {
                Kind::KeysRotated { key: self.key.ok_or(Fault::Field("key"))? }
            }
            Label::StoreAway => Kind::StoreAway,
            Label::StoreBack => Kind::StoreBack,
        })
    }

    /// The failure domain concerned.
    fn affected(&self) -> Result<Name, Fault> {
        name(&self.affected, "affected")
    }

    /// The agent concerned.
    fn member(&self) -> Result<Name, Fault> {
        name(&self.member, "member")
    }

    /// The flow concerned.
    fn flow(&self) -> Result<u64, Fault> {
        number(self.flow.as_deref(), "flow")
    }
}

impl From<&Event> for Frame {
    fn from(event: &Event) -> Self {
        let frame = Self {
            stamp: event.stamp.to_string(),
            process: event.process.to_string(),
            domain: event.domain.to_string(),
            service: event.service.as_deref().map(str::to_string),
            revision: event.revision,
            kind: event.kind.label().to_string(),
            ..Self::default()
        };
        frame.detail(&event.kind)
    }
}

impl TryFrom<Frame> for Event {
    type Error = Fault;

    fn try_from(frame: Frame) -> Result<Self, Fault> {
        if frame.process.is_empty() {
            return Err(Fault::Field("process"));
        }
        Ok(Self {
            kind: frame.to_kind()?,
            stamp: frame.stamp.parse()?,
            process: frame.process.into(),
            domain: frame.domain.into(),
            service: frame.service.map(Name::from),
            revision: frame.revision,
        })
    }
}

/// Why a frame is no event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The kind is unknown, as from a later version.
    Kind,
    /// The named field is missing or has an unknown value.
    Field(&'static str),
    /// The stamp is not `MILLISECONDS.COUNT`.
    Stamp,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind => f.write_str("event of an unknown kind"),
            Self::Field(field) => write!(f, "event without a valid {field:?}"),
            Self::Stamp => f.write_str("stamp is not of the form MILLISECONDS.COUNT"),
        }
    }
}

impl std::error::Error for Fault {}

impl Display for Stamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.count)
    }
}

impl FromStr for Stamp {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let (wall, count) = text.split_once('.').ok_or(Fault::Stamp)?;
        let wall_ms = wall.parse().map_err(|_| Fault::Stamp)?;
        let count = count.parse().map_err(|_| Fault::Stamp)?;
        Ok(Self { wall_ms, count })
    }
}

impl Display for Event {
    /// Writes what happened, without stamp and process.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let frame = Frame::from(self);
        f.write_str(&frame.kind)?;
        if let Some(service) = &self.service {
            write!(f, " service={service}")?;
        }
        if let Some(revision) = self.revision {
            write!(f, " revision={revision}")?;
        }
        frame.details().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// A name as an optional text.
fn text(name: &Name) -> Option<String> {
    Some(name.to_string())
}

/// A number as 16 hexadecimal digits.
fn hex(number: u64) -> Option<String> {
    Some(format!("{number:016x}"))
}

/// Reads a required name.
fn name(value: &Option<String>, field: &'static str) -> Result<Name, Fault> {
    value.as_deref().map(Name::from).ok_or(Fault::Field(field))
}

/// Reads a required hexadecimal number.
fn number(value: Option<&str>, field: &'static str) -> Result<u64, Fault> {
    let digits = value.ok_or(Fault::Field(field))?;
    u64::from_str_radix(digits, 16).map_err(|_| Fault::Field(field))
}

/// Finds a required label.
fn find<T>(
    by: impl Fn(&str) -> Option<T>,
    value: Option<&str>,
    field: &'static str,
) -> Result<T, Fault> {
    value.and_then(by).ok_or(Fault::Field(field))
}
