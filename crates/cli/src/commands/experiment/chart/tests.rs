use super::*;

#[test]
fn a_plot_contains_all_curves_and_limits() {
    let curves = [
        Curve {
            name: "as set".to_owned(),
            times: vec![3.0, 5.0, 8.0],
            planted: 4,
        },
        Curve {
            name: "none".to_owned(),
            times: vec![],
            planted: 0,
        },
    ];
    let svg = draw_detections_over_time(&curves, &[5, 15]);
    assert!(
        svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"),
        "{}",
        &svg[..80.min(svg.len())]
    );
    assert!(svg.contains("as set: 3 of 4") && svg.contains("fixed limit 15 s"));
    assert!(svg.matches("<polyline").count() >= 4);
}
