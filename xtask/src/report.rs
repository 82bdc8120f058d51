//! `cargo xtask report`: draws plots from the lines of JSON that bursts print.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use clap::Args;
use plotters::prelude::*;

use crate::error::TaskError;
use crate::figures::Figures;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (720, 420);

/// Upper limit of an axis as a multiple of the largest value.
const HEADROOM: f64 = 1.1;

/// Arguments of the task.
#[derive(Args, Clone)]
pub struct ReportArguments {
    /// Files with lines of JSON from `cargo xtask burst --json`.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Output directory of the plots.
    #[arg(long, default_value = "docs/figures")]
    pub out: PathBuf,
}

/// A plot: its file, its title and the value to plot over the number of agents.
struct Plot {
    file: &'static str,
    title: &'static str,
    value: fn(&Figures) -> Option<f64>,
}

const PLOTS: [Plot; 4] = [
    Plot {
        file: "time-near.svg",
        title: "Time to all replicas of the store's region / (size / VM link)",
        value: |f| f.near,
    },
    Plot {
        file: "time-far.svg",
        title: "Time to all far replicas / (size / share of the region link)",
        value: |f| f.far,
    },
    Plot {
        file: "bytes.svg",
        title: "Bytes from store and origin / size",
        value: |f| Some(f.origin),
    },
    Plot {
        file: "latency.svg",
        title: "p95 of the first token during the burst / before it",
        value: |f| Some(f.slowdown),
    },
];

type Series = BTreeMap<String, Vec<(f64, f64)>>;

/// Draws the plots of runs without faults.
///
/// # Errors
/// Returns an error if a file cannot be read or written, or a line does not hold the measurements
/// of a run.
pub fn run(arguments: &ReportArguments) -> Result<(), TaskError> {
    let mut lines = Vec::new();
    for file in &arguments.files {
        let text = std::fs::read_to_string(file)?;
        for line in text.lines().filter(|l| l.starts_with('{')) {
            lines.push(serde_json::from_str::<Figures>(line)?);
        }
    }
    lines.retain(|f| f.faults.is_empty());
    std::fs::create_dir_all(&arguments.out)?;
    for plot in &PLOTS {
        let path = arguments.out.join(plot.file);
        draw(&path, plot.title, &series(&lines, plot.value))
            .map_err(|e| TaskError::Draw(e.to_string().into()))?;
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "a fleet has few agents")]
fn series(lines: &[Figures], value: fn(&Figures) -> Option<f64>) -> Series {
    let mut series = Series::new();
    for line in lines {
        let Some(value) = value(line) else {
            continue;
        };
        let rate = line.link / 1_000_000;
        let name = format!("{} {} {rate} Mb/s", line.strategy, line.weighting);
        let points = series.entry(name).or_default();
        points.push((line.agents as f64, value));
    }
    for points in series.values_mut() {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    series
}

fn draw(path: &Path, title: &str, series: &Series) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let all = || series.values().flatten();
    let right = all().map(|p| p.0).fold(1.0, f64::max) * HEADROOM;
    let top = all().map(|p| p.1).fold(1.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("agents")
        .light_line_style(WHITE)
        .draw()?;
    for (index, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(3);
        chart.draw_series(line)?.label(name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
