/** Waiting that can be ended early. */

/** Resolves after `ms` milliseconds, or at once when the signal aborts. */
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
