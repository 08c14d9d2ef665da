//! Draws the pauses and loads of a report as SVG.

use std::error::Error as StdError;

use indexmap::IndexMap;
use plotters::prelude::*;

use crate::{Error, Result};

/// Width and height in pixels.
const SIZE_PIXELS: (u32, u32) = (1_000, 800);

pub(super) struct Plot<'a> {
    pub(super) pause_histogram: &'a IndexMap<u64, usize>,
    pub(super) mean_loads: &'a IndexMap<u64, IndexMap<String, f64>>,
    pub(super) pause_ms: f64,
}

impl Plot<'_> {
    pub(super) fn write(&self, path: &str) -> Result<()> {
        self.draw(path).map_err(|e| Error::Plot(path.to_owned(), e.to_string()))
    }

    fn draw(&self, path: &str) -> std::result::Result<(), Box<dyn StdError>> {
        let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let (above, below) = area.split_vertically(SIZE_PIXELS.1 / 2);
        self.draw_pause_histogram(&above)?;
        self.draw_mean_loads(&below)?;
        area.present()?;
        Ok(())
    }

    fn draw_pause_histogram<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, plotters::coord::Shift>,
    ) -> std::result::Result<(), Box<dyn StdError>>
    where
        B::ErrorType: 'static,
    {
        let max = self.pause_histogram.values().copied().max().unwrap_or(1);
        let last = self.pause_histogram.keys().copied().max().unwrap_or(0) + super::BIN_MS;
        let mut chart = ChartBuilder::on(area)
            .caption("complete streams by their longest pause", ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d(0_u64..last, 0_usize..max + 1)?;
        chart.configure_mesh().x_desc("ms").y_desc("streams").draw()?;
        chart.draw_series(self.pause_histogram.iter().map(|(from, count)| {
            let late = *from as f64 >= self.pause_ms;
            let color = if late { RED.filled() } else { BLUE.filled() };
            Rectangle::new([(*from, 0), (from + super::BIN_MS, *count)], color)
        }))?;
        Ok(())
    }

    fn draw_mean_loads<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, plotters::coord::Shift>,
    ) -> std::result::Result<(), Box<dyn StdError>>
    where
        B::ErrorType: 'static,
    {
        let all = || self.mean_loads.values().flat_map(|engines| engines.values());
        let max = all().copied().fold(1.0, f64::max);
        let end =
            self.mean_loads.keys().copied().max().unwrap_or(0) as f64 * super::LOAD_WINDOW_S + 1.0;
        let mut chart = ChartBuilder::on(area)
            .caption("requests at each engine", ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..max)?;
        chart.configure_mesh().x_desc("s").y_desc("requests").draw()?;
        let mut engines: IndexMap<&str, Vec<(f64, f64)>> = IndexMap::new();
        for (window, loads) in self.mean_loads {
            for (engine, load) in loads {
                let at = *window as f64 * super::LOAD_WINDOW_S;
                engines.entry(engine).or_default().push((at, *load));
            }
        }
        for (number, points) in engines.into_values().enumerate() {
            chart.draw_series(LineSeries::new(points, &Palette99::pick(number)))?;
        }
        Ok(())
    }
}
