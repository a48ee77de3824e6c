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

/// An event as a flat JSON object. Fields that do not apply to the kind are absent.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Frame {
    /// `MILLISECONDS.COUNT`, see [`Stamp`].
    pub stamp: String,
    /// The process that recorded the event.
    pub process: String,
    /// The failure domain of that process.
    pub domain: String,
    /// The service concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The configuration revision concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Label of the kind, see [`Label`].
    pub kind: String,
    /// Label of the [`Role`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Node identifier in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// Label of the [`Stop`], [`Drain`], [`DrainEnd`], [`Evidence`], [`Close`] or
    /// [`Refusal`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    /// Store key of a configuration value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<String>,
    /// Why the configuration value was rejected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The failure domain that is out of service or back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affected: Option<String>,
    /// The agent that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
    /// Flow in hexadecimal, because not every JSON reader supports 64-bit numbers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow: Option<String>,
    /// Number of the relay slot.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slot: Option<u8>,
    /// Identifier of the key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<u8>,
}

impl Frame {
    /// Names and values of the fields that belong to the kind, for the text form.
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

    /// Sets the fields that belong to the kind.
    fn with_kind(self, kind: &Kind) -> Self {
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
                Self { entry: to_text(entry), reason: to_text(reason), ..self }
            }
            Kind::DomainOut { affected } | Kind::DomainBack { affected } => {
                Self { affected: to_text(affected), ..self }
            }
            Kind::MemberJoined { member }
            | Kind::MemberLeaving { member }
            | Kind::MemberSilent { member }
            | Kind::MemberHeard { member }
            | Kind::MemberGone { member } => Self { member: to_text(member), ..self },
            Kind::BackendCold { evidence } => {
                Self { cause: cause(evidence.as_str()), ..self }
            }
            Kind::DrainStarted { cause: drain } => {
                Self { cause: cause(drain.as_str()), ..self }
            }
            Kind::DrainFinished { end } => Self { cause: cause(end.as_str()), ..self },
            Kind::FlowOpened { flow } => Self { flow: to_hex(*flow), ..self },
            Kind::FlowClosed { flow, cause: close } => {
                Self { flow: to_hex(*flow), cause: cause(close.as_str()), ..self }
            }
            Kind::FlowRefused { flow, reason } => {
                Self { flow: to_hex(*flow), cause: cause(reason.as_str()), ..self }
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

    /// Parses the kind and the fields that belong to it.
    fn to_kind(&self) -> Result<Kind, Fault> {
        let label = Label::find(&self.kind).ok_or(Fault::Kind)?;
        let cause = self.cause.as_deref();
        Ok(match label {
            Label::ProcessStarted => Kind::ProcessStarted {
                role: find_label(Role::find, self.role.as_deref(), "role")?,
                node: node::Id(parse_hex(self.node.as_deref(), "node")?),
            },
            Label::ProcessStopping => {
                Kind::ProcessStopping { cause: find_label(Stop::find, cause, "cause")? }
            }
            Label::ProcessStopped => Kind::ProcessStopped,
            Label::ConfigInForce => Kind::ConfigInForce,
            Label::ConfigRejected => Kind::ConfigRejected {
                entry: required_name(&self.entry, "entry")?,
                reason: required_name(&self.reason, "reason")?,
            },
            Label::DomainOut => Kind::DomainOut { affected: self.affected()? },
            Label::DomainBack => Kind::DomainBack { affected: self.affected()? },
            Label::MemberJoined => Kind::MemberJoined { member: self.member()? },
            Label::MemberLeaving => Kind::MemberLeaving { member: self.member()? },
            Label::MemberSilent => Kind::MemberSilent { member: self.member()? },
            Label::MemberHeard => Kind::MemberHeard { member: self.member()? },
            Label::MemberGone => Kind::MemberGone { member: self.member()? },
            Label::BackendCold => Kind::BackendCold {
                evidence: find_label(Evidence::find, cause, "cause")?,
            },
            Label::BackendWarm => Kind::BackendWarm,
            Label::DrainStarted => {
                Kind::DrainStarted { cause: find_label(Drain::find, cause, "cause")? }
            }
            Label::DrainFinished => {
                Kind::DrainFinished { end: find_label(DrainEnd::find, cause, "cause")? }
            }
            Label::FlowOpened => Kind::FlowOpened { flow: self.flow()? },
            Label::FlowClosed => Kind::FlowClosed {
                flow: self.flow()?,
                cause: find_label(Close::find, cause, "cause")?,
            },
            Label::FlowRefused => Kind::FlowRefused {
                flow: self.flow()?,
                reason: find_label(Refusal::find, cause, "cause")?,
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

    /// Parses the field `affected`.
    fn affected(&self) -> Result<Name, Fault> {
        required_name(&self.affected, "affected")
    }

    /// Parses the field `member`.
    fn member(&self) -> Result<Name, Fault> {
        required_name(&self.member, "member")
    }

    /// Parses the field `flow`.
    fn flow(&self) -> Result<u64, Fault> {
        parse_hex(self.flow.as_deref(), "flow")
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
        frame.with_kind(&event.kind)
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

/// Why a frame is not a valid event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The kind is unknown; a later version may have sent it.
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
    /// Writes the kind and its details, without stamp and process.
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

/// Converts a name to the text of a field.
fn to_text(name: &Name) -> Option<String> {
    Some(name.to_string())
}

/// Formats a number as 16 hexadecimal digits.
fn to_hex(number: u64) -> Option<String> {
    Some(format!("{number:016x}"))
}

/// Parses a required name.
fn required_name(value: &Option<String>, field: &'static str) -> Result<Name, Fault> {
    value.as_deref().map(Name::from).ok_or(Fault::Field(field))
}

/// Parses a required hexadecimal number.
fn parse_hex(value: Option<&str>, field: &'static str) -> Result<u64, Fault> {
    let digits = value.ok_or(Fault::Field(field))?;
    u64::from_str_radix(digits, 16).map_err(|_| Fault::Field(field))
}

/// Parses a required label with the function `by`.
fn find_label<T>(
    by: impl Fn(&str) -> Option<T>,
    value: Option<&str>,
    field: &'static str,
) -> Result<T, Fault> {
    value.and_then(by).ok_or(Fault::Field(field))
}
