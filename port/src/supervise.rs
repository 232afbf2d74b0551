//! Supervised tasks: a panic is logged and passed to a callback, so that what depends on the task can recover.

use std::future::Future;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Spawns a task; if it panics, logs the panic and calls `on_panic`.
pub fn spawn_supervised<F>(
    name: String,
    task: F,
    on_panic: impl FnOnce() + Send + 'static,
) -> JoinHandle<Option<F::Output>>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    spawn_supervised_on(&Handle::current(), name, task, on_panic)
}

/// Like [`spawn_supervised`], on the runtime of another thread.
pub fn spawn_supervised_on<F>(
    runtime: &Handle,
    name: String,
    task: F,
    on_panic: impl FnOnce() + Send + 'static,
) -> JoinHandle<Option<F::Output>>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    runtime.spawn(async move {
        match tokio::spawn(task).await {
            Ok(output) => Some(output),
            Err(error) => {
                log::error!("{name} failed: {error}");
                on_panic();
                None
            }
        }
    })
}

/// Spawns a task that the dispatcher needs in order to run: a panic ends the process with exit code 1.
pub fn spawn_critical<F>(name: &str, task: F) -> JoinHandle<Option<F::Output>>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    spawn_supervised(name.to_string(), task, || std::process::exit(1))
}
