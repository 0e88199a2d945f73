/** Which responses to a send are relayed, and how a send ended whose response isn't. */

import type { IncomingMessage } from "node:http";
import type { ServerStatement, StatementSource } from "@bramleymoor/balance/statement";
import type { SlotResult } from "@bramleymoor/balance/types";
import { distinctHeaders } from "@bramleymoor/input/heads";
import type { RouteKind } from "@bramleymoor/model/route";
import type { ExecutionState } from "@bramleymoor/protocol/errors";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import type { WireFormat } from "./wireformat.js";

/** A request that was sent. */
export interface SentRequest {
    readonly requestId: string;
    readonly kind: RouteKind;
}

/** The connection that a response arrives on. */
export interface ResponseConnection {
    /** Whether it has carried no request and no probe before. */
    readonly isNew: boolean;
    /** Closes it once the response has been read. */
    readonly closeAfterResponse: () => void;
}

/** A response that isn't relayed. */
export interface Unrelayed {
    /** How the send ended. */
    readonly result: SlotResult;
    /** What was seen that shows it, for the log. */
    readonly evidence: string;
}

/**
 * Examines the response of a backend server to a request. Servers may send a response again, late, on the same connection, and a
 * faulty one may send what is no response at all. A response is proved to be this send's if it names the request, as its
 * connection has carried no other with this id, or if its connection has carried nothing else.
 *
 * A status that promises callers that a request hasn't run isn't relayed for a non-idempotent one unless the server states just
 * that: by itself, a failure with such a status may have run.
 *
 * @param connection the connection that the request was sent on
 * @param onStatement called with what the server says of itself
 * @returns undefined if the response is to be relayed
 */
export const examineServerResponse = (
    res: IncomingMessage,
    connection: ResponseConnection,
    { requestId, kind }: SentRequest,
    wire: WireFormat,
    onStatement: (statement: ServerStatement, source: StatementSource) => void,
): Unrelayed | undefined => {
    const status = res.statusCode ?? 0;
    const echoedId = wire.requestId(res.headers);
    if (echoedId !== undefined && echoedId !== requestId) {
        return lost(`status ${status} for another request`);
    }
    if (echoedId === undefined) {
        if (!connection.isNew) {
            return lost(`status ${status} that names no request`);
        }
        // A copy of it couldn't be told from the response to the next request.
        connection.closeAfterResponse();
    }
    const reason = wire.refusal(status, res.headers);
    const statement = wire.statement(status, distinctHeaders(res.rawHeaders));
    if (reason) {
        if (reason !== "other-incarnation") {
            onStatement(statement, "refusal");
        }
        const evidence = `status ${status} that names ${echoedId === undefined ? "no" : "this"} request`;
        return { result: { kind: "refused", reason }, evidence };
    }
    if (echoedId === undefined || !wire.isFromServer(res.headers)) {
        return lost(`status ${status} without the server's marks`);
    }
    onStatement(statement, "response");
    return withoutFalsePromise(status, kind, wire);
};

/**
 * Examines the response of a peer to a request that it was sent for a caller; undefined if it is one of a server that is to be
 * relayed. A peer that doesn't know the key of a request yet, which this entry VM knows, refuses it. A peer's word proves that the request hasn't run only if it states just that; a peer of an earlier version may pass on
 * a server's own failure that promises it by its status alone.
 */
export const examinePeerResponse = (
    res: IncomingMessage,
    { requestId, kind }: SentRequest,
    wire: WireFormat,
): Unrelayed | undefined => {
    const status = res.statusCode ?? 0;
    if (wire.isFromServer(res.headers)) {
        return wire.requestId(res.headers) === requestId
            ? withoutFalsePromise(status, kind, wire)
            : lost(`status ${status} of a server, not for this request`);
    }
    const statement = res.headers[responseHeaders.ran];
    const evidence = `status ${status} of the peer itself, which states: ${String(statement ?? "nothing")}`;
    if (status === httpGatewayTimeout) {
        return { result: { kind: "timeout" }, evidence };
    }
    return (status === httpServiceUnavailable || status === httpUnauthorized) && statement === notRun
        ? { result: { kind: "refused", reason: "full" }, evidence }
        : { result: { kind: "lost" }, evidence };
};

/** Returns how a send ended whose response claims by its status alone that the request hasn't run; undefined for any other. */
const withoutFalsePromise = (status: number, kind: RouteKind, wire: WireFormat): Unrelayed | undefined =>
    kind === "non-idempotent" && wire.notRunStatuses.has(status)
        ? lost(`status ${status} without the statement that the request hasn't run`)
        : undefined;

const lost = (evidence: string): Unrelayed => ({ result: { kind: "lost" }, evidence });

const notRun: ExecutionState = "not run";
const httpUnauthorized = 401;
const httpServiceUnavailable = 503;
const httpGatewayTimeout = 504;
