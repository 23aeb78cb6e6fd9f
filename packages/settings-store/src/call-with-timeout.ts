/**
 * Bounds of a single call.
 *
 * `AbortSignal.any` on a signal that lives as long as the program keeps
 * something of every call on Node 20, so calls link to their owner by hand
 * and unlink when they end.
 */

/**
 * Runs a task under a signal that aborts with any of the owners or after so
 * many milliseconds. Whatever the task returns or throws is passed on.
 */
export async function callWithTimeout<Value>(
    owners: readonly AbortSignal[],
    timeout: number,
    task: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = setTimeout(abort, timeout);
    owners.forEach(owner => owner.addEventListener("abort", abort, { once: true }));
    if (owners.some(owner => owner.aborted)) {
        abort();
    }
    try {
        return await task(controller.signal);
    }
    finally {
        clearTimeout(timer);
        owners.forEach(owner => owner.removeEventListener("abort", abort));
    }
}
