//! What a store did to its folder, told to a checker that plays losses of power between any two steps. Without the
//! feature `faults` nobody listens, and nothing of this is in what is built.

/// One thing done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A name was made, changed or removed, or a file was written to. It need not last.
    Changed,
    /// What this file holds lasts.
    FileSynced(&'static str),
    /// The names in the folder last.
    FolderSynced,
}

#[cfg(feature = "faults")]
mod seam {
    use super::Step;
    use std::cell::RefCell;

    type Listener = Box<dyn FnMut(Step)>;

    thread_local! {
        static LISTENER: RefCell<Option<Listener>> = const { RefCell::new(None) };
    }

    /// Who is told of the steps of all stores on this thread from here on.
    pub fn listen(listener: Option<Listener>) {
        LISTENER.set(listener);
    }

    pub(in crate::store) fn did(step: Step) {
        // Taken out meanwhile, so that a listener may end the process that it plays by a panic.
        if let Some(mut listener) = LISTENER.take() {
            listener(step);
            LISTENER.set(Some(listener));
        }
    }
}

#[cfg(feature = "faults")]
pub use seam::*;

#[cfg(not(feature = "faults"))]
pub(in crate::store) const fn did(_: Step) {}
