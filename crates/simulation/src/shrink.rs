//! Makes a failing schedule short: steps are left out, in ever smaller lots, as long as the same check fails
//! (delta debugging, Zeller and Hildebrandt 2002, section 3).

use crate::breach::{Breach, Check};
use crate::schedule::{Schedule, Step};
use crate::voyage::sail;

/// A short schedule that fails the same check, after at most so many runs.
pub fn shrink(failing: &Schedule, breach: Breach, most: usize) -> (Schedule, Breach) {
    let mut shrinking = Shrinking { check: breach.check(), best: failing.clone(), breach, left: most };
    shrinking.steps();
    shrinking.rest();
    shrinking.steps();
    (shrinking.best, shrinking.breach)
}

struct Shrinking {
    check: Check,
    best: Schedule,
    breach: Breach,
    left: usize,
}

impl Shrinking {
    /// Takes it if it fails as well.
    fn fails(&mut self, schedule: Schedule) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        match sail(&schedule) {
            Err(breach) if breach.check() == self.check => {
                (self.best, self.breach) = (schedule, breach);
                true
            }
            _ => false,
        }
    }

    fn steps(&mut self) {
        let mut lot = self.best.steps.len().div_ceil(2);
        while lot > 0 && self.left > 0 {
            let mut at = 0;
            let mut any = false;
            while at < self.best.steps.len() && self.left > 0 {
                let kept = |place: &usize| *place < at || *place >= at + lot;
                let steps = self.best.steps.iter().enumerate();
                let steps: Vec<Step> =
                    steps.filter(|(place, _)| kept(place)).map(|(_, step)| *step).collect();
                if self.fails(Schedule { steps, ..self.best.clone() }) {
                    any = true;
                } else {
                    at += lot;
                }
            }
            lot = if lot == 1 && any { 1 } else { lot / 2 };
        }
    }

    /// Fewer machines, and plain terms.
    fn rest(&mut self) {
        self.fails(Schedule { hasty: false, ..self.best.clone() });
        self.fails(Schedule { plain: 0, ..self.best.clone() });
        while self.best.disks > 3 && self.fails(Schedule { disks: self.best.disks - 1, ..self.best.clone() })
        {
        }
    }
}
