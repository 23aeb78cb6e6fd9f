/**
 * Runs one call with a timeout and abort signals.
 *
 * `AbortSignal.any` is not used: on Node 20, a signal that lives as long as the
 * program retains memory for each signal derived from it. Listeners are added by
 * hand instead, and removed when the call ends.
 */

/**
 * Runs a task with a signal that aborts when any of the given signals aborts or after
 * `timeout` milliseconds. Returns what the task returns and throws what it throws;
 * a task that ignores its signal is not interrupted.
 */
export async function callWithTimeout<Value>(
    outerSignals: readonly AbortSignal[],
    timeout: number,
    task: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = setTimeout(abort, timeout);
    outerSignals.forEach(outerSignal => outerSignal.addEventListener("abort", abort, { once: true }));
    if (outerSignals.some(outerSignal => outerSignal.aborted)) {
        abort();
    }
    try {
        return await task(controller.signal);
    }
    finally {
        clearTimeout(timer);
        outerSignals.forEach(outerSignal => outerSignal.removeEventListener("abort", abort));
    }
}
