//! Draws the timeline as an SVG with one lane per process.

use lentilreach::process::event::{Event, Label};
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

/// Width of the drawing in pixels.
const WIDTH: u32 = 1_200;

/// Left end of the time axis in pixels; process names are to its left.
const AXIS_LEFT: i32 = 170;

/// Right end of the time axis in pixels; the rest of the width is for the last labels.
const AXIS_RIGHT: i32 = 1_060;

/// Height of the header with the axis in pixels.
const HEADER_HEIGHT: i32 = 40;

/// Height of a lane in pixels.
const LANE_HEIGHT: i32 = 74;

/// Height of the footer with the legend in pixels.
const FOOTER_HEIGHT: i32 = 36;

/// Number of rows of labels in a lane.
const LABEL_ROWS: usize = 4;

/// Height of a row of labels in pixels.
const LABEL_ROW_HEIGHT: i32 = 13;

/// Upper estimate of the width of a character in a label, in pixels.
const CHARACTER_WIDTH: i32 = 6;

/// Maximum number of tick intervals on the time axis.
const MAX_TICK_INTERVALS: u64 = 10;

/// Draws events, which must be sorted by time. Flow events get marks without labels.
pub fn svg(events: &[Event]) -> String {
    let lanes = lanes(events);
    let axis = Axis::new(events);
    let height = HEADER_HEIGHT + LANE_HEIGHT * lanes.len() as i32 + FOOTER_HEIGHT;
    let mut out = String::new();
    let area = SVGBackend::with_string(&mut out, (WIDTH, height as u32));
    let area = area.into_drawing_area();
    // Writing to a string does not fail.
    let result = area
        .fill(&WHITE)
        .and_then(|()| axis.draw(&area, height))
        .and_then(|()| lanes.iter().enumerate().try_for_each(|(i, l)| l.draw(&area, i)))
        .and_then(|()| legend(&area, height))
        .and_then(|()| area.present());
    drop(area);
    result.expect("writing to a string does not fail");
    out
}

/// Drawing area of an SVG.
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Result of a drawing step.
type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// The time axis.
#[derive(Debug)]
struct Axis {
    /// Time of the first event in milliseconds since the Unix epoch.
    start_ms: u64,
    /// Time from the first to the last event in milliseconds; at least 1.
    span_ms: u64,
}

impl Axis {
    /// Creates an axis that covers all events.
    fn new(events: &[Event]) -> Self {
        let start_ms = events.first().map_or(0, |event| event.stamp.wall_ms);
        let end_ms = events.last().map_or(0, |event| event.stamp.wall_ms);
        Self { start_ms, span_ms: (end_ms - start_ms).max(1) }
    }

    /// Returns the horizontal position of a time.
    fn x_at(&self, wall_ms: u64) -> i32 {
        let width = (AXIS_RIGHT - AXIS_LEFT) as u128;
        let elapsed_ms = u128::from(wall_ms.saturating_sub(self.start_ms));
        AXIS_LEFT + (elapsed_ms * width / u128::from(self.span_ms)) as i32
    }

    /// Returns the milliseconds between ticks: 1, 2 or 5 times a power of ten.
    fn step_ms(&self) -> u64 {
        let steps =
            (0..).flat_map(|power| [1, 2, 5].map(|digit| digit * 10_u64.pow(power)));
        let mut steps = steps.take(54);
        steps
            .find(|step| self.span_ms / step <= MAX_TICK_INTERVALS)
            .unwrap_or(self.span_ms)
    }

    /// Draws the ticks, labelled with the seconds since the first event.
    fn draw<'a>(&self, area: &Area<'a>, height: i32) -> DrawResult<'a> {
        let step_ms = self.step_ms();
        for tick in 0..=self.span_ms / step_ms {
            let x = self.x_at(self.start_ms + tick * step_ms);
            let line = [(x, HEADER_HEIGHT - 6), (x, height - FOOTER_HEIGHT)];
            area.draw(&PathElement::new(line, BLACK.mix(0.12)))?;
            let seconds = (tick * step_ms) as f64 / 1_000.0;
            let style = style(14, &BLACK, HPos::Center);
            area.draw(&Text::new(
                format!("{seconds} s"),
                (x, HEADER_HEIGHT - 16),
                style,
            ))?;
        }
        Ok(())
    }
}

/// A process and its events in the drawing.
#[derive(Debug)]
struct Lane {
    /// Name of the process.
    process: String,
    /// Failure domain of the process.
    domain: String,
    /// Marks of its events, from left to right.
    marks: Vec<Mark>,
}

/// An event in the drawing.
#[derive(Debug)]
struct Mark {
    /// Horizontal position.
    x: i32,
    /// Group of the event, which sets the colour.
    group: Group,
    /// Label and its row, counted from the base line; none for flow events and if no row is
    /// free.
    label: Option<(String, usize)>,
}

impl Lane {
    /// Draws the lane; `index` counts lanes from the top.
    fn draw<'a>(&self, area: &Area<'a>, index: usize) -> DrawResult<'a> {
        let top = HEADER_HEIGHT + LANE_HEIGHT * index as i32;
        let base_y = top + LANE_HEIGHT - 12;
        let line = [(AXIS_LEFT, base_y), (AXIS_RIGHT, base_y)];
        area.draw(&PathElement::new(line, BLACK.mix(0.5)))?;
        let name = style(16, &BLACK, HPos::Left);
        area.draw(&Text::new(self.process.clone(), (10, base_y - 12), name))?;
        let grey = Group::Flow.colour();
        let domain = style(14, &grey, HPos::Left);
        area.draw(&Text::new(self.domain.clone(), (10, base_y + 2), domain))?;
        self.marks.iter().try_for_each(|mark| mark.draw(area, base_y))
    }
}

impl Mark {
    /// Draws the mark and its label above the base line.
    fn draw<'a>(&self, area: &Area<'a>, base_y: i32) -> DrawResult<'a> {
        let colour = self.group.colour();
        area.draw(&Circle::new((self.x, base_y), 3, colour.filled()))?;
        let Some((text, row)) = &self.label else { return Ok(()) };
        let y = base_y - 10 - LABEL_ROW_HEIGHT * *row as i32;
        area.draw(&PathElement::new([(self.x, base_y), (self.x, y)], colour.mix(0.35)))?;
        let style = style(13, &colour, HPos::Left);
        area.draw(&Text::new(text.clone(), (self.x + 2, y), style))
    }
}

/// A group of event kinds that share a colour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Group {
    /// Starts, stops and drains of processes.
    Process,
    /// Configuration and keys.
    Config,
    /// Failure domains.
    Domain,
    /// Members of a service as other processes see them.
    Member,
    /// Backend servers that become cold or warm.
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

    /// Returns the group of an event kind.
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

    /// Returns the colour of the group. The colours can be distinguished with colour blindness
    /// too (palette of Okabe and Ito, 2008).
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

/// Builds one lane per process, sorted by failure domain and name.
fn lanes(events: &[Event]) -> Vec<Lane> {
    let axis = Axis::new(events);
    let mut processes: Vec<_> = events.iter().map(|e| (&e.domain, &e.process)).collect();
    processes.sort();
    processes.dedup();
    let lane = |(domain, process): (&_, &_)| {
        let lane_events =
            events.iter().filter(|e| (&e.domain, &e.process) == (domain, process));
        Lane {
            process: String::from(&**process),
            domain: String::from(&**domain),
            marks: marks(&axis, lane_events),
        }
    };
    processes.into_iter().map(lane).collect()
}

/// Places the marks of a lane. A label goes into the lowest row that is free at its position.
fn marks<'a>(axis: &Axis, events: impl Iterator<Item = &'a Event>) -> Vec<Mark> {
    let mut row_ends = [0; LABEL_ROWS];
    let mark = |event: &Event| {
        let x = axis.x_at(event.stamp.wall_ms);
        let group = Group::of(event.kind.label());
        let text = label(event);
        let row = row_ends.iter().position(|end_x| *end_x <= x && group != Group::Flow);
        if let Some(row) = row {
            row_ends[row] = x + CHARACTER_WIDTH * (text.chars().count() as i32 + 1);
        }
        Mark { x, group, label: row.map(|row| (text, row)) }
    };
    events.map(mark).collect()
}

/// Returns the label of an event: its kind, followed by its member or else its revision.
fn label(event: &Event) -> String {
    let kind = event.kind.label();
    match (event.kind.member(), event.revision) {
        (Some(member), _) => format!("{kind} {member}"),
        (None, Some(revision)) => format!("{kind} {revision}"),
        (None, None) => kind.to_string(),
    }
}

/// Draws the legend.
fn legend<'a>(area: &Area<'a>, height: i32) -> DrawResult<'a> {
    let mut x = 14;
    for (group, name) in Group::ALL {
        let y = height - FOOTER_HEIGHT / 2;
        area.draw(&Circle::new((x, y), 4, group.colour().filled()))?;
        area.draw(&Text::new(name, (x + 8, y), style(14, &BLACK, HPos::Left)))?;
        x += 30 + CHARACTER_WIDTH * name.len() as i32;
    }
    Ok(())
}

/// Creates a text style with a vertically centred anchor.
fn style(size: i32, colour: &RGBColor, align: HPos) -> TextStyle<'_> {
    let style = TextStyle::from(("sans-serif", size).into_font()).color(colour);
    style.pos(Pos::new(align, VPos::Center))
}
