//! Joins all parts and runs them until a signal comes or one of them ends.

use crate::kept::counters::Counters;
use crate::kept::desk::Desk;
use crate::kept::joined::Joined;
use crate::kept::links::Board;
use crate::kept::membership::Membership;
use crate::kept::names::Names;
use crate::life::clock::Clock;
use crate::life::configuration::{self, Told};
use crate::life::limits::Limits;
use crate::life::signals::{self, Signals};
use crate::life::{acting, fits, reload};
use crate::spoken::datagrams::{self, Post};
use crate::spoken::{client, discovery, listener, news, services};
use actix_rt::net::TcpListener;
use fallgap::Supervisor;
use fallgap_deployment as deployment;
use fallgap_operator::Installation;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Reads what there is to go by, and serves.
pub fn start(operator: Option<PathBuf>) -> ExitCode {
    let read = configuration::read().map_err(|missing| vec![format!("cannot start: {missing}")]);
    let read = read.and_then(|told| Ok((told, configuration::installed(operator.as_deref())?)));
    let fits = |(told, _): &(Told, _)| fits::check(told);
    let read = read.and_then(|read| match fits(&read) {
        Ok(tight) => {
            tight.iter().for_each(|line| tracing::warn!("tight: {line}"));
            Ok(read)
        }
        Err(why) => Err(vec![format!("cannot serve: {why}")]),
    });
    let (told, installation) = match read {
        Ok(read) => read,
        Err(faults) => {
            faults.iter().for_each(|fault| tracing::error!("{fault}"));
            return ExitCode::from(2);
        }
    };
    let limits = Limits::within(told.memory_mb, told.sockets);
    actix_rt::System::new().block_on(run(told, installation, operator, limits))
}

/// Serves until it is told to end. A part that ends by itself ends the whole: half a supervisor would hold
/// its proxies and give them nothing.
async fn run(
    mut told: Told, installation: Installation, operator: Option<PathBuf>, limits: Limits,
) -> ExitCode {
    end_on_panic();
    fastrand::seed(told.seed);
    let hangups = signals::hangups();
    let mut signal = actix_rt::spawn(Signals::listen().ended());
    let clock = Clock::start();
    let settings = &told.settings;
    let supervisor = Supervisor::start(
        clock.now(),
        told.seed,
        deployment::op_types(settings),
        deployment::habits(settings),
        deployment::channel(settings),
        deployment::cold_terms(settings),
        deployment::reporting(settings),
        deployment::aims(settings),
        deployment::peers(settings),
    );
    let names = Names {
        zones: deployment::zones(settings),
        op_types: deployment::op_names(settings),
        load_fields: deployment::load_fields(settings),
        sized: deployment::sized(settings),
        proxies: deployment::proxies(settings),
    };
    let desk = Rc::new(Desk {
        supervisor: RefCell::new(supervisor),
        membership: Membership::start(installation),
        joined: RefCell::new(Joined::default()),
        names,
        links: Board::new(told.to.clone(), client::client(&limits)),
        counters: Counters::default(),
        limits,
        clock,
        since: Cell::new(None),
        news: Notify::new(),
    });
    if let (Some(known), Some(source)) = (told.known.take(), desk.membership.discovery()) {
        let claims = discovery::claims(&desk, known.rows);
        desk.sources(|sources, now| sources.remembered(now, source, claims));
    }
    // Supervisors decide well enough alone: without a socket for notes this one still serves.
    let notes = deployment::peers(settings).notes_allowed;
    let post = match told.peer_listen.filter(|_| notes) {
        Some(at) => Post::open(at, deployment::number(settings))
            .await
            .inspect_err(|e| tracing::error!("no notes: cannot listen to peers at {at}: {e}"))
            .ok()
            .map(Rc::new),
        None => None,
    };
    let (list_stands, news_stand) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (calls, picked) = mpsc::channel(1);
    let list_first = desk.membership.discovery().is_some();
    let spare = Rc::new(Notify::new());
    let (by_list, by_dns) = if list_first { (&list_stands, &spare) } else { (&spare, &list_stands) };
    let list = actix_rt::spawn(discovery::watch(desk.clone(), by_list.clone()));
    let services = actix_rt::spawn(services::follow(desk.clone(), by_dns.clone()));
    let look = actix_rt::spawn(services::look(desk.clone()));
    let news = actix_rt::spawn(news::follow(desk.clone(), news_stand.clone()));
    let act = actix_rt::spawn(acting::act(desk.clone(), deployment::pause(settings), calls, post.clone()));
    let carry = actix_rt::spawn(acting::carry(desk.clone(), picked));
    let hear = actix_rt::spawn(datagrams::hear(desk.clone(), post));
    // In use from the first pong on: not before there is something to go by, if that comes soon.
    let both = async { tokio::join!(list_stands.notified(), news_stand.notified()) };
    tokio::select! {
        came = &mut signal => return ended(&desk, came.ok()),
        stand = timeout(limits.start, both) => {
            if stand.is_err() {
                tracing::warn!("starting without list or news");
            }
        }
    }
    let listener = match TcpListener::bind(told.listen).await {
        Ok(listener) => listener,
        Err(e) => return failed(&format!("cannot listen at {}: {e}", told.listen)),
    };
    let at = listener.local_addr().unwrap_or(told.listen);
    tracing::info!("{} serves at {at}", told.name);
    let reload = actix_rt::spawn(reload::follow(desk.clone(), hangups, told, operator));
    let listen = actix_rt::spawn(listener::serve(desk.clone(), listener));
    let came = tokio::select! {
        came = &mut signal => came.ok(),
        _ = list => None,
        _ = services => None,
        _ = look => None,
        _ = news => None,
        _ = act => None,
        _ = carry => None,
        _ = hear => None,
        _ = listen => None,
        _ = reload => None,
    };
    ended(&desk, came)
}

/// Prints the counters and tells whether it was time to end.
fn ended(desk: &Desk, signal: Option<&str>) -> ExitCode {
    tracing::info!("counts: {}", desk.counters.line());
    match signal {
        Some(signal) => {
            tracing::info!("ends on {signal}");
            ExitCode::SUCCESS
        }
        None => failed("a part has ended"),
    }
}

fn failed(why: &str) -> ExitCode {
    tracing::error!("{why}");
    ExitCode::FAILURE
}

fn end_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        tracing::error!("ends by a defect: {panic}");
        std::process::exit(70);
    }));
}
