//! Tests that the documentation matches the code that it describes.

use figrill_state::{event::Code, features, limits, settings::schema};

fn read(path: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    std::fs::read_to_string(format!("{root}/{path}"))
        .expect("the page can be read")
}

#[test]
fn the_event_catalogue_lists_every_event() {
    let page = read("docs/EVENTS.md");
    let mut last_number = 0;
    for code in Code::ALL {
        assert!(
            code.number() > last_number,
            "{} is out of order",
            code.name()
        );
        last_number = code.number();
        let row = format!(
            "| E{} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.level().as_str().to_lowercase(),
            code.help()
        );
        assert!(page.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
    let rows = page.lines().filter(|l| l.starts_with("| E")).count();
    assert_eq!(rows, Code::ALL.len());
}

#[test]
fn the_operators_page_has_the_settings_reference() {
    let page = read("docs/OPERATING.md");
    for row in schema::reference().lines() {
        assert!(page.contains(row), "docs/OPERATING.md lacks: {row}");
    }
}

#[test]
fn the_operators_page_lists_every_limit() {
    let page = read("docs/OPERATING.md");
    for (name, help) in limits::help() {
        let row = format!("| `{name}` | limits | {help} |");
        assert!(page.contains(&row), "docs/OPERATING.md lacks: {row}");
    }
}

#[test]
fn the_operators_page_lists_every_feature() {
    let page = read("docs/OPERATING.md");
    for (name, help) in features::help() {
        let row = format!("| `{name}` | features | {help} |");
        assert!(page.contains(&row), "docs/OPERATING.md lacks: {row}");
    }
}
