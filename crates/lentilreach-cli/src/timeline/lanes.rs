//! The timeline as a drawing with one lane per process.

use lentilreach::process::event::{Event, Label};
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

/// Width of the drawing in pixels.
const WIDTH: u32 = 1_200;

/// Left edge of the time axis; process names are to its left.
const LEFT: i32 = 170;

/// Right edge of the time axis; the rest is room for the last labels.
const RIGHT: i32 = 1_060;

/// Height of the head with the axis.
const HEAD: i32 = 40;

/// Height of a lane.
const LANE: i32 = 74;

/// Height of the foot with the legend.
const FOOT: i32 = 36;

/// Rows of labels in a lane.
const ROWS: usize = 4;

/// Height of a row of labels.
const ROW: i32 = 13;

/// Width of a character of a label, estimated on the safe side.
const CHARACTER: i32 = 6;

/// Ticks of the time axis at most.
const TICKS: u64 = 10;

/// Draws events, which must be in order. Flow events are marks without labels.
pub fn svg(events: &[Event]) -> String {
    let lanes = lanes(events);
    let axis = Axis::new(events);
    let height = HEAD + LANE * lanes.len() as i32 + FOOT;
    let mut out = String::new();
    let area = SVGBackend::with_string(&mut out, (WIDTH, height as u32));
    let area = area.into_drawing_area();
    // Writing into a string does not fail.
    let drawn = area
        .fill(&WHITE)
        .and_then(|()| axis.draw(&area, height))
        .and_then(|()| lanes.iter().enumerate().try_for_each(|(i, l)| l.draw(&area, i)))
        .and_then(|()| legend(&area, height))
        .and_then(|()| area.present());
    drop(area);
    drawn.expect("a string takes any drawing");
    out
}

/// The drawing area of this module.
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// The result of a drawing step.
type Drawn<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// The time axis.
#[derive(Debug)]
struct Axis {
    /// Time of the first event in milliseconds since the Unix epoch.
    start: u64,
    /// From the first to the last event, in milliseconds; at least one.
    span: u64,
}

impl Axis {
    /// An axis that covers all events.
    fn new(events: &[Event]) -> Self {
        let start = events.first().map_or(0, |event| event.stamp.wall_ms);
        let end = events.last().map_or(0, |event| event.stamp.wall_ms);
        Self { start, span: (end - start).max(1) }
    }

    /// The place of a time.
    fn place(&self, wall_ms: u64) -> i32 {
        let width = (RIGHT - LEFT) as u128;
        let after = u128::from(wall_ms.saturating_sub(self.start));
        LEFT + (after * width / u128::from(self.span)) as i32
    }

    /// Milliseconds between ticks: 1, 2 or 5 times a power of ten.
    fn step(&self) -> u64 {
        let steps =
            (0..).flat_map(|power| [1, 2, 5].map(|digit| digit * 10_u64.pow(power)));
        let mut steps = steps.take(54);
        steps.find(|step| self.span / step <= TICKS).unwrap_or(self.span)
    }

    /// Draws ticks with seconds since the first event.
    fn draw<'a>(&self, area: &Area<'a>, height: i32) -> Drawn<'a> {
        let step = self.step();
        for tick in 0..=self.span / step {
            let x = self.place(self.start + tick * step);
            let line = [(x, HEAD - 6), (x, height - FOOT)];
            area.draw(&PathElement::new(line, BLACK.mix(0.12)))?;
            let seconds = (tick * step) as f64 / 1_000.0;
            let style = style(14, &BLACK, HPos::Center);
            area.draw(&Text::new(format!("{seconds} s"), (x, HEAD - 16), style))?;
        }
        Ok(())
    }
}

/// What is drawn of one process.
#[derive(Debug)]
struct Lane {
    /// The process.
    process: String,
    /// Its failure domain.
    domain: String,
    /// Its events from left to right.
    marks: Vec<Mark>,
}

/// What is drawn of one event.
#[derive(Debug)]
struct Mark {
    /// Place on the time axis.
    x: i32,
    /// Its colour.
    group: Group,
    /// Its text and the row of the text; none if it has no room.
    label: Option<(String, usize)>,
}

impl Lane {
    /// Draws the lane at its place from the top.
    fn draw<'a>(&self, area: &Area<'a>, place: usize) -> Drawn<'a> {
        let top = HEAD + LANE * place as i32;
        let base = top + LANE - 12;
        let line = [(LEFT, base), (RIGHT, base)];
        area.draw(&PathElement::new(line, BLACK.mix(0.5)))?;
        let name = style(16, &BLACK, HPos::Left);
        area.draw(&Text::new(self.process.clone(), (10, base - 12), name))?;
        let grey = Group::Flow.colour();
        let domain = style(14, &grey, HPos::Left);
        area.draw(&Text::new(self.domain.clone(), (10, base + 2), domain))?;
        self.marks.iter().try_for_each(|mark| mark.draw(area, base))
    }
}

impl Mark {
    /// Draws the mark and its label above the base line.
    fn draw<'a>(&self, area: &Area<'a>, base: i32) -> Drawn<'a> {
        let colour = self.group.colour();
        area.draw(&Circle::new((self.x, base), 3, colour.filled()))?;
        let Some((text, row)) = &self.label else { return Ok(()) };
        let y = base - 10 - ROW * *row as i32;
        area.draw(&PathElement::new([(self.x, base), (self.x, y)], colour.mix(0.35)))?;
        let style = style(13, &colour, HPos::Left);
        area.draw(&Text::new(text.clone(), (self.x + 2, y), style))
    }
}

/// Kinds of one colour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Group {
    /// Process starts and stops, drains.
    Process,
    /// Configuration and keys.
    Config,
    /// Failure domains.
    Domain,
    /// Members as others see them.
    Member,
    /// Warmth of a backend server.
    Backend,
    /// Store and relay.
    Store,
    /// Flows.
    Flow,
}

impl Group {
    /// All groups with their names, in the order of the legend.
    const ALL: [(Self, &'static str); 7] = [
        (Self::Process, "process and drain"),
        (Self::Config, "configuration and keys"),
        (Self::Domain, "failure domain"),
        (Self::Member, "member"),
        (Self::Backend, "backend server"),
        (Self::Store, "store and relay"),
        (Self::Flow, "flow (sampled)"),
    ];

    /// The group of a kind.
    fn of(label: Label) -> Self {
        match label {
            Label::ProcessStarted
            | Label::ProcessStopping
            | Label::ProcessStopped
            | Label::DrainStarted
            | Label::DrainFinished => Self::Process,
            Label::ConfigInForce | Label::ConfigRejected | Label::KeysRotated => {
                Self::Config
            }
            Label::DomainOut | Label::DomainBack => Self::Domain,
            Label::MemberJoined
            | Label::MemberLeaving
            | Label::MemberSilent
            | Label::MemberHeard
            | Label::MemberGone => Self::Member,
            Label::BackendCold | Label::BackendWarm => Self::Backend,
            Label::RelayGained
            | Label::RelayLost
            | Label::StoreAway
            | Label::StoreBack => Self::Store,
            Label::FlowOpened | Label::FlowClosed | Label::FlowRefused => Self::Flow,
        }
    }

    /// A colour that is told apart from the others also with colour blindness (palette of
    /// Okabe and Ito, 2008).
    fn colour(self) -> RGBColor {
        match self {
            Self::Process => RGBColor(0, 0, 0),
            Self::Config => RGBColor(0, 114, 178),
            Self::Domain => RGBColor(213, 94, 0),
            Self::Member => RGBColor(0, 158, 115),
            Self::Backend => RGBColor(204, 121, 167),
            Self::Store => RGBColor(230, 159, 0),
            Self::Flow => RGBColor(120, 120, 120),
        }
    }
}

/// One lane for each process, sorted by failure domain and name.
fn lanes(events: &[Event]) -> Vec<Lane> {
    let axis = Axis::new(events);
    let mut names: Vec<_> = events.iter().map(|e| (&e.domain, &e.process)).collect();
    names.sort();
    names.dedup();
    let lane = |(domain, process): (&_, &_)| {
        let own = events.iter().filter(|e| (&e.domain, &e.process) == (domain, process));
        Lane {
            process: String::from(&**process),
            domain: String::from(&**domain),
            marks: marks(&axis, own),
        }
    };
    names.into_iter().map(lane).collect()
}

/// Places the events of a lane; a label goes into the lowest row that is free there.
fn marks<'a>(axis: &Axis, events: impl Iterator<Item = &'a Event>) -> Vec<Mark> {
    let mut ends = [0; ROWS];
    let mark = |event: &Event| {
        let x = axis.place(event.stamp.wall_ms);
        let group = Group::of(event.kind.label());
        let text = label(event);
        let row = ends.iter().position(|end| *end <= x && group != Group::Flow);
        if let Some(row) = row {
            ends[row] = x + CHARACTER * (text.chars().count() as i32 + 1);
        }
        Mark { x, group, label: row.map(|row| (text, row)) }
    };
    events.map(mark).collect()
}

/// The kind, with what tells it apart from others of the kind.
fn label(event: &Event) -> String {
    let kind = event.kind.label();
    match (event.kind.member(), event.revision) {
        (Some(member), _) => format!("{kind} {member}"),
        (None, Some(revision)) => format!("{kind} {revision}"),
        (None, None) => kind.to_string(),
    }
}

/// Draws the legend.
fn legend<'a>(area: &Area<'a>, height: i32) -> Drawn<'a> {
    let mut x = 14;
    for (group, name) in Group::ALL {
        let y = height - FOOT / 2;
        area.draw(&Circle::new((x, y), 4, group.colour().filled()))?;
        area.draw(&Text::new(name, (x + 8, y), style(14, &BLACK, HPos::Left)))?;
        x += 30 + CHARACTER * name.len() as i32;
    }
    Ok(())
}

/// A text style whose anchor is vertically centred.
fn style(size: i32, colour: &RGBColor, align: HPos) -> TextStyle<'_> {
    let style = TextStyle::from(("sans-serif", size).into_font()).color(colour);
    style.pos(Pos::new(align, VPos::Center))
}
