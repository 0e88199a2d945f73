/** Sets the socket option SO_LINGER, for which Node has no call. */

import { createRequire } from "node:module";
import type Koffi from "koffi";

/** Thrown when a connection can't be made to end by a reset. */
export class LingerError extends Error {
    constructor(reason: string, options?: ErrorOptions) {
        super(reason, options);
        this.name = "LingerError";
    }
}

/**
 * Sets whether closing a socket resets its connection at once and discards what hasn't been received.
 *
 * @throws LingerError if the system call fails
 */
export type SetLinger = (fd: number, resets: boolean) => void;

/**
 * Loads the system call.
 *
 * @throws LingerError if it isn't available on this machine
 */
export const loadSetLinger = (): SetLinger => {
    const { platform } = process;
    if (platform !== "linux") {
        throw new LingerError(`the socket option isn't known for ${platform}`);
    }
    try {
        return bindSetLinger();
    } catch (err) {
        throw new LingerError(`the library for system calls can't be loaded: ${String(err)}`, { cause: err });
    }
};

const bindSetLinger = (): SetLinger => {
    const koffi = createRequire(import.meta.url)("koffi") as typeof Koffi;
    const setsockopt = koffi
        // koffi's name for the process itself, whose C library is used, whichever it is.
        .load(null) // eslint-disable-line no-restricted-syntax
        .func("int setsockopt(int fd, int level, int name, const void *value, uint32_t length)") as (
        ...args: readonly unknown[]
    ) => number;
    const value = Buffer.alloc(2 * intBytes);
    const view = new Int32Array(value.buffer, value.byteOffset, 2);
    return (fd, resets) => {
        view.set([resets ? 1 : 0, 0]);
        if (setsockopt(fd, solSocket, soLinger, value, value.length) !== 0) {
            throw new LingerError(`setsockopt failed with errno ${koffi.errno()}`);
        }
    };
};

/** Linux, on x86-64 and arm64 alike. */
const solSocket = 1;
const soLinger = 13;
/** Size of a C int; the option's value has two: whether it is on, and a time of 0 seconds. */
const intBytes = 4;
