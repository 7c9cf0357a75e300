//! Hosts [`Director`]s on the simulator's wire: decodes batches into calls and encodes what they order.
//! No decision is taken here; instances share nothing.

mod wire;

use fallgap::Director;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Orders, WireError};

type Instances = BTreeMap<String, Director<Orders>>;

fn main() -> ExitCode {
    let mut instances = Instances::new();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) if line.iter().all(u8::is_ascii_whitespace) => continue,
            Ok(_) => {}
            Err(e) => return complain(number, &format!("cannot read: {e}")),
        }
        let reply = match answer(&mut instances, &line, number) {
            Ok(reply) => reply,
            Err(e) => return complain(number, &e.0),
        };
        if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
            return complain(number, "cannot write the reply");
        }
    }
    ExitCode::SUCCESS
}

fn complain(line: u64, what: &str) -> ExitCode {
    eprintln!("fallgap-wirehost: line {line}: {what}");
    ExitCode::FAILURE
}

fn answer(instances: &mut Instances, line: &[u8], number: u64) -> Result<Value, WireError> {
    let batch: Value = serde_json::from_slice(line).map_err(|e| WireError(format!("not JSON: {e}")))?;
    let now = wire::clock(&batch)?;
    let events = batch.get("input").and_then(Value::as_array);
    let events = events.ok_or_else(|| WireError("no array \"input\"".into()))?;
    let mut touched: Vec<String> = Vec::new();
    let mut orders: Vec<Value> = Vec::new();
    for event in events {
        let name = wire::text(event, "i")?;
        let told = wire::tell(instances, name, event, now, &mut orders)
            .map_err(|e| WireError(format!("event {:?} for {name}: {}", wire::kind(event), e.0)))?;
        if let Some(skipped) = told {
            eprintln!("fallgap-wirehost: line {number}: {skipped}");
        }
        if !touched.iter().any(|t| t == name) {
            touched.push(name.to_owned());
        }
    }
    for name in touched {
        if let Some(director) = instances.get_mut(&name) {
            director.news_in(now);
            director.host.drain_into(&mut orders);
        }
    }
    Ok(serde_json::json!({ "do": orders }))
}
