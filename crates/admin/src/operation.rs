//! The state of an operation that is carried out once, in sentences.

use crate::told::Operation;

/// What became of it, and which disks have granted it to whom.
pub fn operation_text(operation: &Operation) -> String {
    let mut lines = Vec::new();
    for seen in &operation.seen {
        if let Some(begun) = &seen.begun {
            lines.push(format!("begun at {}: {begun}", seen.node));
        }
    }
    for seen in &operation.seen {
        if let Some(node) = seen.granted_to {
            lines.push(format!("granted to {node} by the disk of {}", seen.node));
        }
    }
    if lines.is_empty() {
        lines.push(
            "nobody knows of it: it was not begun within the window, or by nodes that are gone".to_owned(),
        );
    }
    let known = operation.answered + operation.silent.len() as u64;
    lines.push(format!("from {} of {known} nodes", operation.answered));
    lines.join("\n")
}
