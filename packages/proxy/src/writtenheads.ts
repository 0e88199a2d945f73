/** Writes heads that are passed on. Node's parser accepts fields that its writer throws on, or changes. */

import type { ServerResponse } from "node:http";
import { isBodiless } from "@bramleymoor/input/heads";

/**
 * Writes the head of a response that is passed on.
 *
 * @param headers names and values alternating
 */
export const writeResponseHead = (to: ServerResponse, status: number, headers: readonly string[]): void => {
    const split = splitHeaders(headers);
    const isInChunks =
        split.length.length === 0 &&
        to.useChunkedEncodingByDefault &&
        to.req.method !== "HEAD" &&
        !isBodiless(status);
    to.writeHead(status, writableHeaders(split, isInChunks));
};

/**
 * Returns the headers of a request that is passed on, with its framing, as Node's writer accepts them.
 *
 * @param headers names and values alternating
 */
export const writableRequestHeaders = (headers: readonly string[]): string[] => {
    const split = splitHeaders(headers);
    return writableHeaders(split, split.hasTransferEncoding);
};

/** Headers, of which two are apart; names and values alternating. */
interface SplitHeaders {
    readonly others: readonly string[];
    /** `Content-Length`. */
    readonly length: readonly string[];
    /** `Trailer`. */
    readonly trailer: readonly string[];
    readonly hasTransferEncoding: boolean;
}

const splitHeaders = (headers: readonly string[]): SplitHeaders => {
    const others: string[] = [];
    const length: string[] = [];
    const trailer: string[] = [];
    let hasTransferEncoding = false;
    for (let i = 0; i + 1 < headers.length; i += 2) {
        const name = headers[i] ?? "";
        let list = others;
        if (isNamed(name, "content-length")) {
            list = length;
        } else if (isNamed(name, "trailer")) {
            list = trailer;
        } else if (isNamed(name, "transfer-encoding")) {
            hasTransferEncoding = true;
        }
        list.push(name, headers[i + 1] ?? "");
    }
    return { others, length, trailer, hasTransferEncoding };
};

/**
 * Returns headers as Node's writer accepts them and leaves them unchanged:
 * - without `Trailer` on a message that isn't in chunks, as such a message has no trailers;
 * - with `Content-Length` last, as Node decodes a `Content-Disposition` behind it, whose bytes may be none that it can write then.
 */
const writableHeaders = ({ others, length, trailer }: SplitHeaders, isInChunks: boolean): string[] => [
    ...others,
    ...(isInChunks ? trailer : []),
    ...length,
];

const isNamed = (name: string, lowerCaseName: string): boolean =>
    name.length === lowerCaseName.length && name.toLowerCase() === lowerCaseName;
