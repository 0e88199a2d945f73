/** An abortable delay. */

/** Resolves after `ms` milliseconds, or immediately when the signal is aborted. */
export const delay = async (ms: number, signal?: AbortSignal): Promise<void> => {
    if (signal?.aborted) {
        return;
    }
    await new Promise<void>(resolve => {
        const done = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", done);
            resolve();
        };
        const timer = setTimeout(done, ms);
        signal?.addEventListener("abort", done);
    });
};
