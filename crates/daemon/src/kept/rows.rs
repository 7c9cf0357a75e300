//! Rows of a list of servers, as discovery and the configuration's `known` tell them.

use serde::Deserialize;
use serde_json::Value;

#[derive(Debug, Deserialize)]
pub struct List {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    #[serde(rename = "servers")]
    pub rows: Vec<Row>,
}

#[derive(Debug, Deserialize)]
pub struct Row {
    pub id: String,
    /// Where it listens; one that is no address tells nothing.
    #[serde(default)]
    pub addr: Option<String>,
    #[serde(default)]
    pub zone: String,
    pub state: String,
    pub weight: Option<f64>,
    pub started_ms: Option<f64>,
}

pub fn list_of(value: &Value) -> Result<List, serde_json::Error> {
    List::deserialize(value)
}
