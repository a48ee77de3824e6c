//! The figures of a report.

use plotters::coord::Shift;
use plotters::coord::types::{RangedCoordf64, RangedCoordu32};
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

use crate::report::{Row, Series};

/// Size of a figure in pixels.
const SIZE: (u32, u32) = (960, 320);

/// A drawn figure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Figure {
    /// The drawing.
    pub svg: String,
    /// What its lines are.
    pub lines: Vec<Line>,
}

/// A line of a figure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// What it shows.
    pub name: String,
    /// Its colour as in CSS.
    pub colour: String,
}

/// Draws open flows, one line per backend server.
pub fn flows(series: &Series) -> Figure {
    let curve = |(place, server): (usize, &lentilreach::Name)| {
        let value = move |row: &Row| row.open.get(place).copied().unwrap_or(0);
        Curve::new(server, Palette99::pick(place).to_rgba(), series, value)
    };
    draw(series, &series.servers.iter().enumerate().map(curve).collect::<Vec<_>>())
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
    draw(series, &curves)
}

/// One line as points.
#[derive(Debug)]
struct Curve {
    /// What it shows.
    name: String,
    /// Its colour.
    colour: RGBAColor,
    /// Second and value.
    points: Vec<(u32, f64)>,
}

impl Curve {
    /// Takes one value of each row.
    fn new(
        name: &str,
        colour: RGBAColor,
        series: &Series,
        value: impl Fn(&Row) -> u32,
    ) -> Self {
        let points = series.rows.iter().map(|row| (row.second, f64::from(value(row))));
        Self { name: name.into(), colour, points: points.collect() }
    }

    /// The line for a legend.
    fn line(&self) -> Line {
        let RGBAColor(red, green, blue, _) = self.colour;
        let colour = format!("#{red:02x}{green:02x}{blue:02x}");
        Line { name: self.name.clone(), colour }
    }
}

/// Draws curves over the seconds of a series, with its changes marked.
fn draw(series: &Series, curves: &[Curve]) -> Figure {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let drawn = fill(&area, series, curves).and_then(|()| area.present());
    drop(area);
    drawn.expect("a string takes any drawing");
    Figure { svg, lines: curves.iter().map(Curve::line).collect() }
}

/// The drawing area of this module.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The result of a drawing step.
type Drawn<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// A chart of this module: seconds and values.
type Chart<'a, 'b> =
    ChartContext<'b, SVGBackend<'a>, Cartesian2d<RangedCoordu32, RangedCoordf64>>;

/// Draws axes, curves and marks.
fn fill<'a>(area: &Area<'a>, series: &Series, curves: &[Curve]) -> Drawn<'a> {
    let values = curves.iter().flat_map(|curve| &curve.points).map(|(_, value)| *value);
    let top = values.fold(0.0, f64::max).max(1.0) * 1.08;
    let last = series.rows.iter().map(|row| row.second);
    let last = last.chain(series.changes.iter().map(|(at, _)| *at)).max();
    let seconds = 0..last.unwrap_or(0).max(1);
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .margin_top(24)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d(seconds, 0.0..top)?;
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
    marks(&mut chart, series, top)
}

/// Draws a numbered vertical line for each change.
fn marks<'a>(chart: &mut Chart<'a, '_>, series: &Series, top: f64) -> Drawn<'a> {
    let style = TextStyle::from(("sans-serif", 14).into_font());
    let style = style.pos(Pos::new(HPos::Center, VPos::Bottom));
    let lines = series
        .changes
        .iter()
        .map(|(at, _)| PathElement::new([(*at, 0.0), (*at, top)], BLACK.mix(0.45)));
    chart.draw_series(lines)?;
    let numbers = series.changes.iter().enumerate().map(|(place, (at, _))| {
        Text::new((place + 1).to_string(), (*at, top), style.clone())
    });
    chart.draw_series(numbers)?;
    Ok(())
}
