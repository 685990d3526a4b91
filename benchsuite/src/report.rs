//! Tables of results, for people and for scripts.

use serde_json::{Map, Value};

/// A table: columns, and rows of values.
#[derive(Debug)]
pub struct Table {
    /// What it shows.
    pub title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

impl Table {
    /// An empty table.
    pub fn new(title: &str, columns: &[&'static str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row with one value a column.
    pub fn row(&mut self, values: impl IntoIterator<Item = Value>) {
        self.rows.push(values.into_iter().collect());
    }

    /// Prints it as Markdown, or as one JSON object a row.
    pub fn print(&self, json: bool) {
        if json {
            for row in &self.rows {
                let names = self.columns.iter().map(|c| (*c).to_owned());
                let object: Map<String, Value> =
                    names.zip(row.iter().cloned()).collect();
                println!("{}", Value::Object(object));
            }
            return;
        }
        println!("{}\n", self.title);
        println!("| {} |", self.columns.join(" | "));
        println!("|{}", " --- |".repeat(self.columns.len()));
        for row in &self.rows {
            let cells: Vec<String> = row.iter().map(cell).collect();
            println!("| {} |", cells.join(" | "));
        }
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(n) => match n.as_f64() {
            Some(x) if n.is_f64() => format!("{x:.3}"),
            _ => n.to_string(),
        },
        other => other.to_string(),
    }
}
