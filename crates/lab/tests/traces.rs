//! Recordings as they are: bad rows, doubled ones, out of order, clocks set back; scaled with their bursts kept.

use fallgap_lab::trace::fields::Fields;
use fallgap_lab::trace::order::Ordered;
use fallgap_lab::trace::read::{Form, rows};
use fallgap_lab::trace::scale::Scaled;
use fallgap_lab::trace::{Met, Row};
use std::io::Cursor;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn read(text: &str, form: Form, fields: &str, strict: bool) -> (Vec<Row>, Met, Option<u64>) {
    let rows = rows(Cursor::new(text.to_owned()), form, fields.parse().unwrap());
    let mut ordered = Ordered::new(rows, strict);
    let all: Vec<Row> = ordered.by_ref().collect();
    (all, ordered.met, ordered.stopped.map(|bad| bad.line))
}

fn times(rows: &[Row]) -> Vec<u128> {
    rows.iter().map(|row| row.at.as_millis()).collect()
}

#[test]
fn both_forms_say_the_same() {
    let csv = "when,op,object,took\n1700000000.25,lookup,17,2.5\n1700000000.5,box-move,x-9,4\n";
    let json = "{\"when\":1700000000.25,\"op\":\"lookup\",\"object\":17,\"took\":2.5}\n\n\
        {\"when\":\"1700000000.5\",\"op\":\"box-move\",\"object\":\"x-9\",\"took\":4}\n";
    let fields = "at=when:s,kind=op,key=object,work=took:ms";
    let (rows, _, _) = read(csv, Form::Csv, fields, true);
    assert_eq!(read(json, Form::JsonLines, fields, true).0, rows);
    assert_eq!(times(&rows), [0, 250]);
    assert_eq!((rows[0].kind.as_str(), rows[0].key, rows[0].work), ("lookup", 17, MS * 5 / 2));
}

/// Guards against bad rows that end an import, or pass unnoticed.
#[test]
fn bad_rows_are_named_and_counted() {
    let long = "9".repeat(70_000);
    let text = format!(
        "{{\"t\":1}}\n{{\"t\":-2}}\n[1]\n{{\"x\":1}}\n{{\"t\":\"{long}\"}}\n{{\"t\":5}}\n{{\"t\":1e400}}\n"
    );
    let (rows, met, _) = read(&text, Form::JsonLines, "at=t:s", false);
    assert_eq!((times(&rows), met.bad, met.rows), (vec![0, 4000], 5, 2));
    let lines: Vec<u64> = met.first_bad.iter().map(|bad| bad.line).collect();
    assert_eq!(lines, [2, 3, 4, 5, 7]);
    let (rows, _, stopped) = read(&text, Form::JsonLines, "at=t:s", true);
    assert_eq!((times(&rows), stopped), (vec![0], Some(2)));
    let (rows, met, _) = read("t,k\n1,a\nx,b\n2\n3,c\n", Form::Csv, "at=t:s,kind=k", false);
    assert_eq!((rows.len(), met.bad, met.first_bad[0].line), (2, 2, 3));
}

/// Guards against rows out of place, said twice, or dated by a clock that was set back.
#[test]
fn rows_are_put_in_order() {
    let (rows, met, _) = read("t,i\n10,a\n30,b\n20,c\n20,c\n40,d\n", Form::Csv, "at=t:ms,id=i", true);
    assert_eq!((times(&rows), met.moved, met.doubled), (vec![0, 10, 20, 30], 2, 1));
    // One late row is late; many in a row are a clock that was set back.
    let text = "t\n10\n11\n12\n3\n13\n14\n15\n4\n5\n6\n7\n";
    let (rows, met, _) = read(text, Form::Csv, "at=t:s", true);
    assert_eq!((met.steps_back, met.stepped), (1, Duration::from_secs(11)));
    assert_eq!(times(&rows), [0, 7000, 8000, 9000, 10_000, 11_000, 12_000, 12_000, 13_000, 14_000, 15_000]);
    assert_eq!(met.longest_gap, Duration::from_secs(7));
    // Further out of place than is held: it stands where it can.
    let text: String =
        "t\n".to_owned() + &(1000..8000).map(|t| format!("{t}\n")).collect::<String>() + "500\n9000\n";
    let (rows, met, _) = read(&text, Form::Csv, "at=t:ms", true);
    assert!(met.late == 1 && rows.windows(2).all(|w| w[0].at <= w[1].at));
}

/// Guards against a burst that is flattened, or lost, when a trace is scaled.
#[test]
fn bursts_keep_their_shape() {
    // Ten times the mean for a tenth of a second, twice a second.
    let of = |ms: u64| {
        let burst = ms % 500 < 50;
        (0..if burst { 20 } else { u64::from(ms.is_multiple_of(2)) }).map(move |i| (ms, i))
    };
    let text: String = "t\n".to_owned()
        + &(0..4000).flat_map(of).map(|(ms, i)| format!("{}\n", ms * 1000 + i * 40)).collect::<String>();
    let plain = || Ordered::new(rows(Cursor::new(text.clone()), Form::Csv, "at=t:us".parse().unwrap()), true);
    let all: Vec<Row> = plain().collect();
    let in_burst = |rows: &[Row], speed: f64| {
        let inside = |row: &&Row| row.at.mul_f64(speed).as_millis() % 500 < 51;
        rows.iter().filter(inside).count() as f64 / rows.len() as f64
    };
    let share = in_burst(&all, 1.0);
    for (speed, rate) in [(2.0, 1.0), (1.0, 3.0), (4.0, 0.5), (1.0, 2.5)] {
        let scaled: Vec<Row> = Scaled::new(plain(), speed, rate, 9).collect();
        let count = scaled.len() as f64 / all.len() as f64;
        assert!((count / rate - 1.0).abs() < 0.03, "{count} times for {rate}");
        assert!((in_burst(&scaled, speed) - share).abs() < 0.03, "{speed} {rate}");
        assert!(scaled.windows(2).all(|w| w[0].at <= w[1].at));
        let end = scaled.last().unwrap().at.mul_f64(speed);
        assert!((end.as_secs_f64() - 4.0).abs() < 0.01);
    }
}

/// Guards against an export that does not replay.
#[test]
fn what_was_sent_reads_back() {
    use fallgap_lab::arrivals::{Kind, Op, Schedule, Spacing, Stream, Work};
    use fallgap_lab::trace::{export::Export, scale};
    let kind = Kind {
        name: "lookup".into(),
        repeats: fallgap::Repeats::Retryable,
        timeout: MS * 900,
        work: Work::Exponential(MS),
        keys: 9,
        tenants: 3,
    };
    let stream =
        Stream { shape: "300".parse().unwrap(), spacing: Spacing::Poisson, zone: 1, kinds: vec![(0, 1.0)] };
    let ops: Vec<Op> = Schedule::new(vec![kind.clone()], &[stream], MS * 2000, 4).collect();
    let mut text = Vec::new();
    let mut export = Export::start(&mut text).unwrap();
    ops.iter().for_each(|op| export.op(op, std::slice::from_ref(&kind)).unwrap());
    export.end().unwrap();
    let rows = rows(Cursor::new(text), Form::Csv, Fields::default());
    let back: Vec<Op> = scale::ops(Ordered::new(rows, true), vec![kind]).collect();
    let first = ops[0].at;
    let moved: Vec<Op> = ops.into_iter().map(|op| Op { at: op.at - first, ..op }).collect();
    assert_eq!(back, moved);
}
