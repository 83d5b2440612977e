//! Contains panics, so that whoever waits for a task learns of its end.
//!
//! A panic ends only the task in which it occurs, and nothing else notices. The owner of a request or item therefore runs it with
//! [`catch`], and tasks without which the process cannot work run with [`essential`].

use std::{any::Any, future::Future, panic::AssertUnwindSafe, sync::OnceLock};

use futures::FutureExt as _;
use thiserror::Error;

/// The result of running code that may panic.
pub type Result<T> = std::result::Result<T, Panic>;

/// A panic that was caught.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("panic: {message}")]
pub struct Panic {
    /// The message of the panic.
    pub message: String,
}

type Handler = Box<dyn Fn(&'static str, &Panic) + Send + Sync>;

static HANDLER: OnceLock<Handler> = OnceLock::new();

/// Sets the function that is called with the name and the panic of an essential task; it is to end the process cleanly. Only
/// the first call in a process has an effect.
pub fn on_essential_panic(handler: impl Fn(&'static str, &Panic) + Send + Sync + 'static) {
    // A second handler is ignored, as documented.
    let _ = HANDLER.set(Box::new(handler));
}

/// Runs a future to its end.
///
/// # Errors
///
/// Returns the panic if the future panics. What the future has borrowed mutably may then be incomplete.
pub fn catch<T>(run: impl Future<Output = T>) -> impl Future<Output = Result<T>> {
    // As an `async` function, this would hold `run` twice: as its argument and while it waits.
    AssertUnwindSafe(run).catch_unwind().map(|it| it.map_err(|payload| Panic::new(&*payload)))
}

/// Runs a task without which the process cannot work.
///
/// # Panics
///
/// Panics if the task panics and [`on_essential_panic`] was not called.
pub fn essential(name: &'static str, run: impl Future<Output = ()>) -> impl Future<Output = ()> {
    catch(run).map(move |it| it.unwrap_or_else(|panic| report(name, &panic)))
}

/// Runs the function of a thread without which the process cannot work.
///
/// # Panics
///
/// Panics if the function panics and [`on_essential_panic`] was not called.
pub fn essential_thread(name: &'static str, run: impl FnOnce()) {
    if let Err(payload) = std::panic::catch_unwind(AssertUnwindSafe(run)) {
        report(name, &Panic::new(&*payload));
    }
}

fn report(name: &'static str, panic: &Panic) {
    match HANDLER.get() {
        Some(handler) => handler(name, panic),
        None => panic!("the task {name} ended with a {panic}"),
    }
}

impl Panic {
    fn new(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().map(|it| (*it).to_owned());
        let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Self { message: text.unwrap_or_else(|| "no message".to_owned()) }
    }
}
