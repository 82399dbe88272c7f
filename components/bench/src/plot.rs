//! Goodput by tier over offered load as an SVG.

use displaydoc::Display;
use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, DrawingArea, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
        PathElement, SVGBackend, WHITE,
    },
    style::Color,
};
use thiserror::Error;

use crate::{Policy, Scenario, plan::Row, policy, workload::Workload};

/// the plot can't be drawn: {0}
#[derive(Debug, Display, Error)]
pub struct Error(String);

/// Size of one chart in pixels.
const CHART: (u32, u32) = (420, 320);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws one chart for each workload and tier.
pub fn svg(workloads: &[Workload], rows: &[Row]) -> Result<String, Error> {
    let tiers = workloads.iter().map(|workload| workload.tiers.len()).max().unwrap_or(1);
    let size = (CHART.0 * tiers as u32, CHART.1 * workloads.len() as u32);
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE).map_err(failed)?;
        let areas = root.split_evenly((workloads.len(), tiers));
        for (workload, areas) in workloads.iter().zip(areas.chunks(tiers)) {
            for (rank, area) in areas.iter().enumerate().take(workload.tiers.len()) {
                chart(area, workload, rank, rows)?;
            }
        }
        root.present().map_err(failed)?;
    }
    Ok(text)
}

fn chart(area: &Area<'_>, workload: &Workload, rank: usize, rows: &[Row]) -> Result<(), Error> {
    let caption = format!("{}: {}", workload.name, workload.tiers[rank].name);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(40)
        .build_cartesian_2d(0.4..2.1, 0.0..105.0)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc("offered load / capacity")
        .y_desc("in time, %")
        .draw()
        .map_err(failed)?;
    for (index, policy) in policy::ALL.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = points(workload, rank, policy, rows);
        if points.is_empty() {
            continue;
        }
        let series = LineSeries::new(points, color.stroke_width(2));
        chart
            .draw_series(series)
            .map_err(failed)?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.7)).draw().map_err(failed)
}

fn points(workload: &Workload, rank: usize, policy: Policy, rows: &[Row]) -> Vec<(f64, f64)> {
    let steady = rows.iter().filter(|row| {
        row.workload == workload.name && row.policy == policy && row.scenario == Scenario::Steady
    });
    let point = |row: &Row| {
        let goodput = crate::report::percent(&row.tally.tiers[rank]);
        (f64::from(row.load) / 100.0, goodput)
    };
    steady.map(point).collect()
}

fn failed(error: impl std::error::Error) -> Error {
    Error(error.to_string())
}
