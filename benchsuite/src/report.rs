//! Result tables, printed as Markdown for people or JSON for scripts.

use serde_json::{Map, Value};

/// A table with named columns and rows of JSON values.
#[derive(Debug)]
pub struct Table {
    /// The heading printed above the Markdown table.
    pub title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

impl Table {
    /// Returns a table without rows.
    pub fn new(title: &str, columns: &[&'static str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row, which must have one value per column.
    pub fn push_row(&mut self, values: impl IntoIterator<Item = Value>) {
        self.rows.push(values.into_iter().collect());
    }

    /// Prints the table to standard output as Markdown or, if `json` is
    /// set, as one JSON object per row.
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
            let cells: Vec<String> = row.iter().map(format_cell).collect();
            println!("| {} |", cells.join(" | "));
        }
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(n) => match n.as_f64() {
            Some(x) if n.is_f64() => format!("{x:.3}"),
            _ => n.to_string(),
        },
        other => other.to_string(),
    }
}
