use super::*;

#[test]
fn each_event_in_each_state() {
    use Standing::*;
    let ms = Duration::from_millis;
    let until = ms(10_100);
    let terms =
        Terms { confirm: ms(200), verify: ms(300), miss: ms(900), gone: ms(4100), ..Terms::default() };
    let missed = |silent| Missed { until, silent };
    let (accused, doubted, gone) = (Accused { until }, Doubted { until }, Gone { until });
    let long = Gone { until: ms(10_000) + terms.forget };
    let events = [
        Event::Sign,
        Event::Renewed,
        Event::Miss,
        Event::Silent,
        Event::Accuse,
        Event::Over,
        Event::Thaw(ms(7)),
    ];
    let now_missed = Missed { until: ms(10_200), silent: false };
    let now_accused = Accused { until: ms(10_300) };
    let now_doubted = Doubted { until: ms(13_000) };
    let later = ms(10_107);
    #[rustfmt::skip]
    let table = [
        // held          Sign     Renewed  Miss           Silent        Accuse        Over         Thaw
        (Here,          [Here,    Here,    now_missed,    Here,         now_accused,  Here,        Here]),
        (missed(false), [Here,    Here,    missed(false), missed(true), missed(true), now_doubted, Here]),
        (missed(true),  [Here,    Here,    missed(true),  missed(true), missed(true), now_doubted, Here]),
        (accused,       [Here,    Here,    accused,       accused,      accused,      now_doubted, Here]),
        (doubted,       [doubted, Here,    doubted,       doubted,      doubted,      long,        Doubted { until: later }]),
        (gone,          [gone,    Here,    gone,          gone,         gone,         Forgotten,   Gone { until: later }]),
        (Forgotten,     [Forgotten; 7]),
    ];
    for (held, row) in table {
        for (event, then) in events.iter().zip(row) {
            assert_eq!(held.next(ms(10_000), *event, &terms), then, "{held:?} {event:?}");
        }
    }
}
