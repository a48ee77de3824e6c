//! Draws the figures of a report as SVG.

use plotters::coord::Shift;
use plotters::coord::types::{RangedCoordf64, RangedCoordu32};
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

use crate::report::{Row, Series};
use crate::rush;

/// Size of a figure in pixels.
const SIZE: (u32, u32) = (960, 320);

/// A drawn figure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Figure {
    /// The figure as SVG.
    pub svg: String,
    /// The lines, for a legend.
    pub legend: Vec<LegendEntry>,
}

/// A legend entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LegendEntry {
    /// The label.
    pub name: String,
    /// The colour in CSS syntax.
    pub colour: String,
}

/// Draws open flows, one line per backend server.
pub fn flows(series: &Series) -> Figure {
    let curve = |(index, server): (usize, &lentilreach::Name)| {
        let value = move |row: &Row| row.open.get(index).copied().unwrap_or(0);
        Curve::new(server, Palette99::pick(index).to_rgba(), series, value)
    };
    draw(
        &series.changes,
        &series.servers.iter().enumerate().map(curve).collect::<Vec<_>>(),
    )
}

/// Draws answered, refused and unknown requests per second.
pub fn requests(series: &Series) -> Figure {
    let curve = |name, colour: RGBColor, value: fn(&Row) -> u32| {
        Curve::new(name, colour.to_rgba(), series, value)
    };
    let curves = [
        curve("answered", RGBColor(0, 114, 178), |row| row.answered),
        curve("refused", RGBColor(230, 159, 0), |row| row.refused),
        curve("unknown", RGBColor(213, 94, 0), |row| row.unknown),
    ];
    draw(&series.changes, &curves)
}

/// Draws the requests of a rush by the second in which they were made: in time, late, and
/// not answered. A mark shows the end of the outage.
pub fn rush(seconds: &[rush::Second]) -> Figure {
    let sum = |counts: [u32; 2]| f64::from(counts.iter().sum::<u32>());
    draw_rush(
        seconds,
        &[
            ("in time", RGBColor(0, 114, 178), &|second| sum(second.in_time)),
            ("late", RGBColor(230, 159, 0), &|second| sum(second.late)),
            ("not answered", RGBColor(213, 94, 0), &|second| sum(second.failed)),
        ],
    )
}

/// Draws the mean time until an answer, in milliseconds, by the second in which the requests
/// of a rush were made: a line for the urgent ones and one for the others.
pub fn rush_waits(seconds: &[rush::Second]) -> Figure {
    draw_rush(
        seconds,
        &[
            ("less urgent", RGBColor(230, 159, 0), &|second| second.mean_ms_of(0)),
            ("more urgent", RGBColor(0, 114, 178), &|second| second.mean_ms_of(1)),
        ],
    )
}

/// The name, the colour and the values of a line of a rush.
type RushLine<'a> = (&'a str, RGBColor, &'a dyn Fn(&rush::Second) -> f64);

/// Draws lines over the seconds of a rush.
fn draw_rush(seconds: &[rush::Second], lines: &[RushLine<'_>]) -> Figure {
    let first = seconds.first().map_or(0, |second| second.second);
    let at = |second: &rush::Second| (second.second - first) as u32;
    let curve = |(name, colour, value): &RushLine<'_>| Curve {
        name: (*name).into(),
        colour: colour.to_rgba(),
        points: seconds.iter().map(|second| (at(second), value(second))).collect(),
    };
    let curves: Vec<_> = lines.iter().map(curve).collect();
    let end_of_outage = u32::try_from(-first).unwrap_or_default();
    draw(&[(end_of_outage, "end of the outage".to_owned())], &curves)
}

/// A line of a figure.
#[derive(Debug)]
struct Curve {
    /// The label.
    name: String,
    /// The colour.
    colour: RGBAColor,
    /// Points: second and value.
    points: Vec<(u32, f64)>,
}

impl Curve {
    /// Creates a curve with one value from each row.
    fn new(
        name: &str,
        colour: RGBAColor,
        series: &Series,
        value: impl Fn(&Row) -> u32,
    ) -> Self {
        let points = series.rows.iter().map(|row| (row.second, f64::from(value(row))));
        Self { name: name.into(), colour, points: points.collect() }
    }

    /// The legend entry of the curve.
    fn legend_entry(&self) -> LegendEntry {
        let RGBAColor(red, green, blue, _) = self.colour;
        let colour = format!("#{red:02x}{green:02x}{blue:02x}");
        LegendEntry { name: self.name.clone(), colour }
    }
}

/// Draws curves over time and marks changes: second and description.
fn draw(changes: &[(u32, String)], curves: &[Curve]) -> Figure {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let drawn = draw_chart(&area, changes, curves).and_then(|()| area.present());
    drop(area);
    drawn.expect("drawing to a string cannot fail");
    Figure { svg, legend: curves.iter().map(Curve::legend_entry).collect() }
}

/// The drawing area.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Result of a drawing step.
type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// A chart of values over seconds.
type Chart<'a, 'b> =
    ChartContext<'b, SVGBackend<'a>, Cartesian2d<RangedCoordu32, RangedCoordf64>>;

/// Draws axes, curves and change marks.
fn draw_chart<'a>(
    area: &Area<'a>,
    changes: &[(u32, String)],
    curves: &[Curve],
) -> DrawResult<'a> {
    let values = curves.iter().flat_map(|curve| &curve.points).map(|(_, value)| *value);
    let max_value = values.fold(0.0, f64::max).max(1.0) * 1.08;
    let last = curves.iter().flat_map(|curve| &curve.points).map(|(second, _)| *second);
    let last = last.chain(changes.iter().map(|(at, _)| *at)).max();
    let seconds = 0..last.unwrap_or(0).max(1);
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .margin_top(24)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d(seconds, 0.0..max_value)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("seconds")
        .y_label_formatter(&|value| format!("{value:.0}"))
        .draw()?;
    for curve in curves {
        let style = curve.colour.stroke_width(2);
        chart.draw_series(LineSeries::new(curve.points.iter().copied(), style))?;
    }
    draw_change_marks(&mut chart, changes, max_value)
}

/// Draws a numbered vertical line for each change.
fn draw_change_marks<'a>(
    chart: &mut Chart<'a, '_>,
    changes: &[(u32, String)],
    max_value: f64,
) -> DrawResult<'a> {
    let style = TextStyle::from(("sans-serif", 14).into_font());
    let style = style.pos(Pos::new(HPos::Center, VPos::Bottom));
    let lines = changes
        .iter()
        .map(|(at, _)| PathElement::new([(*at, 0.0), (*at, max_value)], BLACK.mix(0.45)));
    chart.draw_series(lines)?;
    let numbers = changes.iter().enumerate().map(|(index, (at, _))| {
        Text::new((index + 1).to_string(), (*at, max_value), style.clone())
    });
    chart.draw_series(numbers)?;
    Ok(())
}
