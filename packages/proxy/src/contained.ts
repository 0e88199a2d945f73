/** Keeps what a listener throws from ending the process. */

/**
 * Returns a listener that hands on what `listener` throws: nobody catches that, and Node ends the process.
 *
 * @param onError ends what the listener belongs to
 */
export const contained =
    <A extends readonly unknown[]>(
        listener: (...args: A) => void,
        onError: (err: unknown) => void,
    ): ((...args: A) => void) =>
    (...args) => {
        try {
            listener(...args);
        } catch (err) {
            onError(err);
        }
    };
