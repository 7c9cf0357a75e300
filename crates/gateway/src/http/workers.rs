//! Threads that carry calls out, one call at a time each.

use super::caller::Caller;
use super::message::{Request, Response};
use super::server::{ConnectionKey, Service};
use mio::Waker;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Receiver, Sender, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A call on its way to a worker.
pub struct Job {
    pub connection: ConnectionKey,
    pub service: Service,
    pub request: Request,
    pub caller: Caller,
    pub came: Instant,
}

/// A call that was carried out.
pub struct Done {
    pub connection: ConnectionKey,
    pub response: Response,
}

/// The workers' end that jobs are handed in at.
pub struct Workers {
    jobs: SyncSender<Job>,
}

impl Workers {
    /// Starts `count` threads. What is done goes to `done`, and `waker` is woken.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(
        count: usize, waiting: usize, patience: Duration, done: &Sender<Done>, waker: &Arc<Waker>,
    ) -> std::io::Result<Workers> {
        let (jobs, taken) = sync_channel(waiting);
        let taken = Arc::new(Mutex::new(taken));
        for _ in 0..count {
            let (taken, done, waker) = (Arc::clone(&taken), done.clone(), Arc::clone(waker));
            let work = move || work(&taken, patience, &done, &waker);
            thread::Builder::new().name("call".into()).spawn(work)?;
        }
        Ok(Workers { jobs })
    }

    /// Hands a job in. `false`: too many wait, and it is not carried out.
    pub fn take(&self, job: Job) -> bool {
        match self.jobs.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

/// What the service answers. A defect in it ends this call, not the worker.
fn carried_out(job: &Job) -> Response {
    let call = || (job.service)(&job.request, &job.caller);
    catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| Response::empty(500))
}

/// Carries calls out until nobody can hand one in any more.
fn work(taken: &Mutex<Receiver<Job>>, patience: Duration, done: &Sender<Done>, waker: &Waker) {
    loop {
        let next = taken.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = next else { return };
        if !job.caller.begin() {
            continue;
        }
        let response = match job.came.elapsed() > patience {
            true => Response::busy(),
            false => carried_out(&job),
        };
        if done.send(Done { connection: job.connection, response }).is_err() {
            return;
        }
        // The next event wakes it as well.
        let _ = waker.wake();
    }
}
