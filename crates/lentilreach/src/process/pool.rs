//! A pool of worker threads that share one executor.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::thread;

use smol::{Executor, Task};

/// Worker threads that run tasks until the pool is dropped.
///
/// Idle workers sleep in the executor. Clones share the same threads.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The executor with its queue of ready tasks.
    executor: Arc<Executor<'static>>,
    /// Closed when the last clone is dropped, which stops the workers.
    _stop: async_channel::Sender<()>,
}

impl Pool {
    /// Starts `threads` workers named `worker-N`.
    ///
    /// # Errors
    /// If the system cannot create a thread.
    pub fn new(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        for index in 0..threads.max(1) {
            let executor = executor.clone();
            let stopped = stopped.clone();
            thread::Builder::new().name(format!("worker-{index}")).spawn(move || {
                // An error means that the channel is closed, which is the stop signal.
                let _ = async_io::block_on(executor.run(stopped.recv()));
            })?;
        }
        Ok(Self { executor, _stop: stop })
    }

    /// Runs a task on the pool. Dropping the returned handle cancels it.
    pub fn spawn<F>(&self, future: F) -> Task<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.executor.spawn(future)
    }
}
