//! No task's death passes silently: a panic is logged, and what depends on the task is told.

use std::future::Future;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Runs a task; should it panic, that is logged and `died` is called.
pub fn spawn_supervised<F>(
    name: String,
    task: F,
    died: impl FnOnce() + Send + 'static,
) -> JoinHandle<Option<F::Output>>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    spawn_supervised_on(&Handle::current(), name, task, died)
}

/// The same on the runtime of another thread.
pub fn spawn_supervised_on<F>(
    runtime: &Handle,
    name: String,
    task: F,
    died: impl FnOnce() + Send + 'static,
) -> JoinHandle<Option<F::Output>>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    runtime.spawn(async move {
        match tokio::spawn(task).await {
            Ok(output) => Some(output),
            Err(error) => {
                log::error!("{name} died: {error}");
                died();
                None
            }
        }
    })
}

/// Runs a task without which the dispatcher is of no use: its panic ends the process.
pub fn spawn_critical<F>(name: &str, task: F) -> JoinHandle<Option<F::Output>>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    spawn_supervised(name.to_string(), task, || std::process::exit(1))
}
