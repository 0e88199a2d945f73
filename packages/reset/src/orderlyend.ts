/** Tells an orderly end of a connection from a reset. */

import type { Socket } from "node:net";

/**
 * Resolves to whether a connection has ended in order, once Node has reported its end; the socket must allow half-open
 * connections. Node reports an end for a reset, too, if it hadn't read all that arrived before. A write fails then, and one
 * without bytes does no harm otherwise.
 */
export const hasEndedInOrder = (socket: Socket): Promise<boolean> =>
    new Promise(resolve => socket.write("", err => resolve(!err)));
