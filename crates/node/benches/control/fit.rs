//! Straight lines through measured points.

/// Fits `y = a + b x` by least squares and says it in one line, with the residual standard error.
pub(crate) fn line(what: &str, points: &[(f64, f64)], unit: &str) -> String {
    let n = points.len() as f64;
    let (mx, my) = (mean(points, |p| p.0), mean(points, |p| p.1));
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let slope = sxy / sxx;
    let base = my - slope * mx;
    let squares: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    let error = (squares / (n - 2.0).max(1.0)).sqrt();
    let shown: Vec<String> = points.iter().map(|p| format!("{}:{:.1}", p.0, p.1)).collect();
    format!("{what}: {base:.2} + {slope:.4} x {unit}, error {error:.2} [{}]", shown.join(" "))
}

fn mean(points: &[(f64, f64)], of: impl Fn(&(f64, f64)) -> f64) -> f64 {
    points.iter().map(of).sum::<f64>() / points.len() as f64
}

/// The middle one of some figures: a machine with other work on it makes single ones far too large.
pub(crate) fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or_default()
}
