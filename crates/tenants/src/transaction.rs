//! An order as a transaction under optimistic concurrency: what is kept is read, judged, and written over just what was
//! read. Who was overtaken begins anew; who is not told what became of a write looks for it. No I/O: whoever carries it
//! out reads and writes when a step asks for it.

use crate::accounts::{Order, read_order};
use crate::changes::{Maker, Plan, Refused, Step as Change, plan, read_base, read_change, undo};
use crate::fitting::place_of;
use crate::ledger::{Account, Ledger, Place};
use crate::repeats::{Again, Carried, idempotency_key};
use fallgap_config::Configuration;

/// Others that come first are made good for so often.
const TRIES: usize = 5;
/// More places than that are told of by the areas that they lie in.
const PLACES: usize = 2000;

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Wanted<'a> {
    Put(Maker<'a>),
    Undo(Maker<'a>),
    /// The operator's, for the account of this name.
    Account(&'a str),
}

/// What an order came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    pub edition: u64,
    /// Of the ledger: whoever has it goes by the order.
    pub revision: u64,
    /// How many places it touched.
    pub touched: usize,
    pub places: Vec<Place>,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read what is kept, and what the operator has.
    Read,
    /// Write this over the revision `base`.
    Write {
        base: u64,
        body: Vec<u8>,
    },
    Done(Done),
    /// Nothing had to be changed.
    Nothing {
        edition: u64,
    },
    /// Others came first too often, or it cannot be written: nothing was done.
    GivenUp,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrote {
    Kept,
    /// Another revision is held.
    Overtaken,
    /// It was not done and never will be.
    NotDone,
    Unclear,
}

#[derive(Clone, Debug)]
pub struct Transaction<'a> {
    wanted: Wanted<'a>,
    body: &'a [u8],
    tries: usize,
    /// What is written now: over which revision, and what it comes to if it is kept.
    writing: Option<(u64, Step)>,
    /// A write over this revision may have been done, or may be yet.
    doubt: Option<u64>,
}

impl<'a> Transaction<'a> {
    pub fn new(wanted: Wanted<'a>, body: &'a [u8]) -> Transaction<'a> {
        Transaction { wanted, body, tries: 0, writing: None, doubt: None }
    }

    /// Something may have been done: no refusal is to be told.
    pub fn in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Judges it on what is kept now.
    ///
    /// # Errors
    /// [`Refused`]: all that is wrong. Only where nothing is [in doubt](Self::in_doubt) it will never be done.
    pub fn read(&mut self, ledger: &Ledger, operator: &Configuration) -> Result<Step, Refused> {
        if self.doubt.is_some_and(|base| ledger.revision > base) {
            // It is in, and is found below, or it has been overtaken for good.
            self.doubt = None;
        }
        if self.tries >= TRIES {
            return Ok(Step::GivenUp);
        }
        self.tries += 1;
        let judged = match &self.wanted {
            Wanted::Account(account) => ordered(ledger, account, self.body)?,
            Wanted::Put(maker) | Wanted::Undo(maker) => {
                if let Some(Again { edition, touched, places }) =
                    ledger.made_by(maker.office, maker.idempotency_key)
                {
                    let revision = ledger.revision;
                    return Ok(match touched {
                        0 => Step::Nothing { edition },
                        _ => Step::Done(Done { edition, revision, touched, places }),
                    });
                }
                let planned = match self.wanted {
                    Wanted::Undo(_) => undo(ledger, operator, maker, read_base(self.body)?)?,
                    _ => plan(ledger, operator, maker, &read_change(self.body, operator)?)?,
                };
                changed(planned)
            }
        };
        Ok(match judged {
            Judged::Write(next, kept) => {
                self.writing = Some((ledger.revision, kept));
                Step::Write { base: ledger.revision, body: next.encode() }
            }
            Judged::Is(step) => step,
        })
    }

    pub fn wrote(&mut self, wrote: Wrote) -> Step {
        let Some((base, kept)) = self.writing.take() else { return Step::Read };
        match wrote {
            Wrote::Kept => kept,
            Wrote::Overtaken => Step::Read,
            Wrote::NotDone => Step::GivenUp,
            Wrote::Unclear => {
                self.doubt = Some(base);
                Step::Read
            }
        }
    }
}

enum Judged {
    /// To be kept, and what it comes to then.
    Write(Ledger, Step),
    Is(Step),
}

fn changed(plan: Plan) -> Judged {
    let place = |step: &Change| match step {
        Change::Add(route) | Change::Alter(route, _) | Change::Remove(route) => place_of(route),
    };
    let places: Vec<Place> = plan.steps.iter().map(place).collect();
    let nothing = Step::Nothing { edition: plan.base };
    let Some(next) = plan.next else { return Judged::Is(nothing) };
    if places.is_empty() {
        return Judged::Write(next, nothing);
    }
    let (edition, revision) = (next.revision, next.revision);
    Judged::Write(next, Step::Done(Done { edition, revision, touched: places.len(), places }))
}

fn ordered(ledger: &Ledger, account: &str, body: &[u8]) -> Result<Judged, Refused> {
    let order = read_order(account, body, ledger)?;
    let edition = order.edition;
    let done = |revision, touched| {
        let places = ledger.accounts.get(account).map(places_of).unwrap_or_default();
        Done { edition, revision, touched, places }
    };
    match order.carried_out(ledger, account) {
        Carried::Out(next) => {
            Order::fits(&next)?;
            let touched = ledger.accounts.get(account).map_or(0, Account::routes);
            let done = done(next.revision, touched);
            Ok(Judged::Write(next, Step::Done(done)))
        }
        Carried::Again { touched } => Ok(Judged::Is(Step::Done(done(ledger.revision, touched)))),
        Carried::Overtaken { edition } => Ok(Judged::Is(Step::Nothing { edition })),
        Carried::Differs { edition } => Err(Refused::Differs { edition }),
    }
}

/// All places of an account's offices.
fn places_of(account: &Account) -> Vec<Place> {
    if account.routes() > PLACES {
        let areas = account.grant.areas.iter();
        return areas.map(|area| (area.depot.as_str().into(), area.prefix.as_str().into())).collect();
    }
    account.offices.values().flat_map(|office| office.routes.iter().map(place_of)).collect()
}

impl<'a> Maker<'a> {
    /// Of an order with this body.
    pub fn of(office: &'a str, verb: &str, body: &[u8], at: u64, key: String) -> Maker<'a> {
        Maker { office, at, idempotency_key: idempotency_key(verb, body), key }
    }
}
