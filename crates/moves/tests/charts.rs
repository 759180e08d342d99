//! Compares the pages in `docs/charts` with renderings of the charts that the code interprets. A
//! chart that is changed without its page makes the documentation wrong.

use std::path::{Path, PathBuf};

use cyclamen_charts::{Chart, MEMBER_CHART, SERVER_CHART};
use cyclamen_moves::MOVE_CHART;

/// Environment variable that makes the test write the pages instead of comparing them.
const WRITE_VARIABLE: &str = "CYCLAMEN_WRITE_CHARTS";

fn page(chart: &Chart, source: &str) -> String {
    format!(
        "# State chart: {}\n\nRendered from `{source}`; the code interprets that file.\n\n\
         ```mermaid\n{}```\n",
        chart.name,
        chart.mermaid(),
    )
}

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/charts").join(format!("{name}.md"))
}

#[test]
fn charts_match_rendered_pages() {
    let charts = [
        (MOVE_CHART, "crates/moves/charts/move.yaml"),
        (SERVER_CHART, "crates/charts/charts/server.yaml"),
        (MEMBER_CHART, "crates/charts/charts/member.yaml"),
    ];
    for (yaml, source) in charts {
        let chart = Chart::load(yaml).expect("a built-in chart is valid");
        let rendered = page(&chart, source);
        let path = path(&chart.name);
        if std::env::var_os(WRITE_VARIABLE).is_some() {
            std::fs::write(&path, &rendered).expect("docs/charts can be written");
        }
        let held = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(held, rendered, "{source} was changed: run the test with {WRITE_VARIABLE}=1");
    }
}
