//! Calls of offices on their own routes, and of the operator on accounts: reads and writes for the core's transactions.

use crate::asks::{Asked, Desk, Told, Untold};
use crate::http::Response;
use fallgap_config::{Configuration, Faults, read_configuration};
use fallgap_control_state::{Answer, Call};
use fallgap_tenants as licence;
use fallgap_tenants::{Done, KeyHash, Ledger, Maker, Step, Transaction, UnreadableLedger, Wanted, Wrote};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Until all supervisors have heard of a change, at the latest.
const SPREAD: Duration = Duration::from_millis(3000);

/// Why a call is not carried out.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum Refused {
    /// this key opens no such office
    Key,
    /// there is no configuration yet
    NoConfiguration,
    /// {0}
    Faults(Faults),
    /// {0}
    Change(licence::Refused),
    /// {0}
    Unreadable(UnreadableLedger),
    /// {0}
    Untold(Untold),
    /// nothing was changed: too much comes at a time
    Busy,
    /// it may or may not have been done: read what is there before it is asked for again
    Unknown,
}

impl From<Faults> for Refused {
    fn from(faults: Faults) -> Refused {
        Refused::Faults(faults)
    }
}
impl From<UnreadableLedger> for Refused {
    fn from(e: UnreadableLedger) -> Refused {
        Refused::Unreadable(e)
    }
}
impl From<Untold> for Refused {
    fn from(e: Untold) -> Refused {
        Refused::Untold(e)
    }
}
impl From<licence::Refused> for Refused {
    fn from(e: licence::Refused) -> Refused {
        match e {
            licence::Refused::NoOffice => Refused::Key,
            licence::Refused::Faults(faults) => Refused::Faults(faults),
            other => Refused::Change(other),
        }
    }
}

impl Refused {
    pub fn response(&self) -> Response {
        match self {
            Refused::Key => Response::text(403, self),
            Refused::Faults(_) => Response::text(400, self),
            Refused::Change(licence::Refused::Stale { edition, changed }) => {
                Response::json(409, licence::shown_stale(*edition, changed).into_bytes())
            }
            Refused::Change(licence::Refused::Often(after)) => {
                Response::text(429, self).retry_after(after.as_secs().to_string())
            }
            Refused::Change(licence::Refused::Differs { edition }) => {
                Response::json(409, format!("{{\"edition\":{edition}}}").into_bytes())
            }
            Refused::Change(_) => Response::text(409, self),
            Refused::Unreadable(_) | Refused::Unknown | Refused::Untold(Untold::Late) => {
                Response::text(500, self)
            }
            Refused::NoConfiguration | Refused::Busy | Refused::Untold(Untold::Full) => {
                Response::text(503, self).retry_after("0.2")
            }
        }
    }
}

/// What an office asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Plan,
    Put,
    Undo,
}

impl Verb {
    fn name(self) -> &'static str {
        match self {
            Verb::Plan => "plan",
            Verb::Put => "put",
            Verb::Undo => "undo",
        }
    }
}

/// Carries calls out.
pub struct Clerk<'a> {
    pub desk: &'a Desk,
    /// An answer of the control state is waited for so long.
    pub wait: Duration,
}

impl Clerk<'_> {
    /// What is kept of accounts; an empty one if there are none.
    fn ledger(&self) -> Result<Ledger, Refused> {
        match self.call(Call::AccountsGet)? {
            Answer::Config(body) => Ok(Ledger::decode(&body)?),
            Answer::Missing => Ok(Ledger::default()),
            answer => Err(unclear(&answer)),
        }
    }

    fn operator(&self) -> Result<Configuration, Refused> {
        match self.call(Call::ConfigGet)? {
            // What is held is at fault then, not this call.
            Answer::Config(body) => read_configuration(&body).map_err(|_| Refused::Unknown),
            Answer::Missing => Err(Refused::NoConfiguration),
            answer => Err(unclear(&answer)),
        }
    }

    fn call(&self, call: Call) -> Result<Answer, Refused> {
        match self.desk.ask(Asked::Call(call), self.wait)? {
            Told::Answer(answer) => Ok(answer),
            _ => Err(Refused::Unknown),
        }
    }

    /// For an office: all that it has.
    pub fn routes(&self, office: &str, key: &str) -> Result<Response, Refused> {
        let ledger = self.ledger()?;
        let (_, account, of) = opened(&ledger, office, key)?;
        let joined = licence::join(&self.operator()?, &ledger);
        Ok(Response::json(200, licence::shown_office(office, account, of, &joined).into_bytes()))
    }

    /// For the operator: all accounts.
    pub fn accounts(&self) -> Result<Response, Refused> {
        let ledger = self.ledger()?;
        let joined = licence::join(&self.operator()?, &ledger);
        Ok(Response::json(200, licence::shown_accounts(&ledger, &joined).into_bytes()))
    }

    /// An office changes its routes, or would.
    pub fn change(&self, office: &str, key: &str, verb: Verb, body: &[u8]) -> Result<Response, Refused> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let shown: String = KeyHash::of(key).to_string().chars().take(8).collect();
        let maker = Maker::of(office, verb.name(), body, at, shown);
        let wanted = match verb {
            Verb::Plan => {
                let ledger = self.ledger()?;
                opened(&ledger, office, key)?;
                let operator = self.operator()?;
                let change = licence::read_change(body, &operator)?;
                let plan = licence::plan(&ledger, &operator, &maker, &change)?;
                return Ok(Response::json(200, licence::shown_plan(&plan).into_bytes()));
            }
            Verb::Put => Wanted::Put(maker),
            Verb::Undo => Wanted::Undo(maker),
        };
        self.carry(Transaction::new(wanted, body), |ledger| {
            opened(ledger, office, key)?;
            self.operator()
        })
    }

    /// The operator hands in an account.
    pub fn order(&self, account: &str, body: &[u8]) -> Result<Response, Refused> {
        let transaction = Transaction::new(Wanted::Account(account), body);
        self.carry(transaction, |_| Ok(Configuration::default()))
    }

    /// Reads and writes for it until it has come to something.
    fn carry(
        &self, mut transaction: Transaction<'_>, operator: impl Fn(&Ledger) -> Result<Configuration, Refused>,
    ) -> Result<Response, Refused> {
        loop {
            let step = match self.step(&mut transaction, &operator) {
                // What may have been done is not refused.
                Err(_) | Ok(Step::GivenUp) if transaction.in_doubt() => return Err(Refused::Unknown),
                step => step?,
            };
            match step {
                Step::Read | Step::Write { .. } => {}
                Step::Done(done) => return Ok(self.spread(done)),
                Step::Nothing { edition } => {
                    return Ok(Response::json(
                        200,
                        format!("{{\"edition\":{edition},\"changed\":0}}").into_bytes(),
                    ));
                }
                Step::GivenUp => return Err(Refused::Busy),
            }
        }
    }

    fn step(
        &self, transaction: &mut Transaction<'_>,
        operator: impl Fn(&Ledger) -> Result<Configuration, Refused>,
    ) -> Result<Step, Refused> {
        let ledger = self.ledger()?;
        let (base, body) = match transaction.read(&ledger, &operator(&ledger)?)? {
            Step::Write { base, body } => (base, body),
            step => return Ok(step),
        };
        let wrote = match self.call(Call::AccountsPut { base, body }) {
            Ok(Answer::Revision(_)) => Wrote::Kept,
            Ok(Answer::Conflict { .. }) => Wrote::Overtaken,
            Ok(Answer::Busy) | Err(Refused::Untold(Untold::Full)) => Wrote::NotDone,
            Ok(_) => Wrote::Unclear,
            Err(late) => {
                transaction.wrote(Wrote::Unclear);
                return Err(late);
            }
        };
        Ok(transaction.wrote(wrote))
    }

    /// What is kept is brought to all supervisors; the answer says how far it has come.
    fn spread(&self, done: Done) -> Response {
        let Done { edition, revision, touched, places } = done;
        let how = match self.desk.ask(Asked::Spread(revision, places), SPREAD) {
            Ok(Told::Spread(spreading)) => format!(
                ",\"in_force\":{},\"of\":{},\"first_s\":{:.6},\"last_s\":{:.6}",
                spreading.in_force,
                spreading.of,
                spreading.first.as_secs_f64(),
                spreading.last.as_secs_f64()
            ),
            _ => ",\"in_force\":null".to_owned(),
        };
        let body = format!("{{\"edition\":{edition},\"changed\":{touched}{how}}}");
        Response::json(200, body.into_bytes())
    }
}

fn opened<'a>(
    ledger: &'a Ledger, office: &str, key: &str,
) -> Result<(&'a str, &'a licence::Account, &'a licence::Office), Refused> {
    let fits = ledger.opens(office, &KeyHash::of(key));
    ledger.office(office).filter(|_| fits).ok_or(Refused::Key)
}

/// What the control state says when it does not say what was asked.
fn unclear(answer: &Answer) -> Refused {
    match answer {
        Answer::Busy => Refused::Busy,
        _ => Refused::Unknown,
    }
}
