//! What an operator asks at the prompt.

use crate::{NO_ANSWER, NOT_IN_ORDER, WRONG_CALL};
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Why there is no good answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum Failed {
    /// {0}: cannot be read: {1}
    File(PathBuf, std::io::Error),
    /// {0}: {1}
    Faults(PathBuf, fallgap_config::Faults),
    /// {0} gives no answer: {1}
    Silent(SocketAddrV4, Box<ureq::Error>),
    /// {0} answers {1}: {2}
    Refused(SocketAddrV4, u16, String),
    /// {0} is cut off from the core or has too much to do: nothing was changed
    CutOff(SocketAddrV4),
    /// {0} cannot tell what became of it: it may have been done; ask again, as twice does no harm
    Unsure(SocketAddrV4),
    /// {0} answers what is not understood: another build?
    Odd(SocketAddrV4),
    /// no address was given
    Nowhere,
    /// {0}
    NotInOrder(String),
}

impl Failed {
    fn code(&self) -> u8 {
        match self {
            Failed::File(..) | Failed::Nowhere => WRONG_CALL,
            Failed::Silent(..) | Failed::CutOff(_) | Failed::Unsure(_) | Failed::Odd(_) => NO_ANSWER,
            Failed::Faults(..) | Failed::Refused(..) | Failed::NotInOrder(_) => NOT_IN_ORDER,
        }
    }
}

/// Prints what came of it; the exit code tells whether it is in order.
pub fn done(result: Result<String, Failed>) -> ExitCode {
    match result {
        Ok(text) => {
            print(&text);
            ExitCode::SUCCESS
        }
        // It was asked for, and found: it goes where answers go.
        Err(Failed::NotInOrder(text)) => {
            print(&text);
            ExitCode::from(NOT_IN_ORDER)
        }
        Err(failed) => {
            eprintln!("gateway: {failed}");
            ExitCode::from(failed.code())
        }
    }
}

/// Whoever reads may have gone, as `head` does.
fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

pub fn read(file: &Path) -> Result<Vec<u8>, Failed> {
    std::fs::read(file).map_err(|e| Failed::File(file.to_owned(), e))
}

pub fn check_settings(file: &Path) -> Result<String, Failed> {
    let settings = fallgap_config::read_settings(&read(file)?)
        .map_err(|faults| Failed::Faults(file.to_owned(), faults))?;
    Ok(format!("{}: settings of {}, in order", file.display(), settings.node))
}

pub fn check_configuration(file: &Path) -> Result<String, Failed> {
    let read = fallgap_config::read_configuration(&read(file)?);
    let configuration = read.map_err(|faults| Failed::Faults(file.to_owned(), faults))?;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    let edition = configuration.edition;
    Ok(format!("{}: edition {edition}, {routes} routes, {services} services, in order", file.display()))
}

/// Calls are answered within a second, or not at all.
pub fn agent() -> ureq::Agent {
    let limits = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5)));
    limits.http_status_as_error(false).build().new_agent()
}

pub fn said(
    at: SocketAddrV4, answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<String, Failed> {
    let silent = |e| Failed::Silent(at, Box::new(e));
    let mut answer = answer.map_err(silent)?;
    let code = answer.status().as_u16();
    let body = answer.body_mut().with_config().limit(32 << 20).read_to_string().map_err(silent)?;
    match code {
        200 => Ok(body),
        503 => Err(Failed::CutOff(at)),
        500 => Err(Failed::Unsure(at)),
        code => Err(Failed::Refused(at, code, body.trim().to_owned())),
    }
}

pub fn get(at: SocketAddrV4, path: &str) -> Result<String, Failed> {
    said(at, agent().get(format!("http://{at}{path}")).call())
}

/// Between two rounds of calls without a clear answer: an edition that is kept is in force everywhere soon.
const PAUSES: [Duration; 6] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1600),
];

/// Hands a configuration in, at the first address that takes or refuses it. What has no clear answer is sent again.
pub fn put(at: &[SocketAddrV4], file: &Path) -> Result<String, Failed> {
    let body = read(file)?;
    let faults = |faults| Failed::Faults(file.to_owned(), faults);
    let edition = fallgap_config::read_configuration(&body).map_err(faults)?.edition;
    let mut last = Failed::Nowhere;
    for pause in PAUSES {
        std::thread::sleep(pause);
        match put_once(at, &body, last) {
            Ok(()) => return Ok(format!("edition {edition} is in force everywhere, or a newer one is")),
            Err(failed @ Failed::Unsure(_)) => last = failed,
            Err(failed) => return Err(failed),
        }
    }
    Err(last)
}

/// Asks one address after the other. What may have been done stays so, whoever refuses after it.
fn put_once(at: &[SocketAddrV4], body: &[u8], before: Failed) -> Result<(), Failed> {
    let mut last = before;
    for at in at {
        let call = agent().post(format!("http://{at}/-/config/put")).content_type("application/json");
        match said(*at, call.send(body)) {
            Ok(_) => return Ok(()),
            Err(refused @ Failed::Refused(..)) => return Err(refused),
            Err(_) if matches!(last, Failed::Unsure(_)) => {}
            Err(failed) => last = failed,
        }
    }
    Err(last)
}
