/** Messages in which an entry VM asks the holder of a shard for tokens, and is answered. */

import * as z from "zod";

/** Largest number of tokens in one message. */
export const maxTokensPerMessage = 10_000;
/** Longest time that a message states, in milliseconds. */
export const maxStatedMs = 600_000;

const count = z.number().int().min(0);

/** Schema of a question. */
export const quotaAskSchema = z
    .object({
        /** Identifies one run of the asking entry VM. */
        from: z.string().min(1).max(100),
        /** Number of the question; rises with each question of the run. */
        n: count,
        account: z.string().min(1).max(200),
        shard: count.max(7),
        /** Tokens wanted; 0 to only return some. */
        wanted: count.max(maxTokensPerMessage),
        /** Tokens of the shard that weren't used. */
        returned: count.max(maxTokensPerMessage),
        /** Time since the first of the returned tokens was asked for, in milliseconds. */
        returnedAgeMs: z.number().min(0).max(maxStatedMs),
        /** Whether the member ranked first doesn't answer, so that the member ranked second is asked for its reserve. */
        isFirstSilent: z.boolean(),
        /** Largest number of members that the sender knows of. */
        members: count.max(100_000),
        /** Time since that number was last reached, in milliseconds. */
        membersAgeMs: z.number().min(0).max(maxStatedMs),
    })
    .readonly();

/** A question of one entry VM to another. */
export type QuotaAsk = z.infer<typeof quotaAskSchema>;

/** Schema of an answer. */
export const quotaReplySchema = z
    .object({
        /** Number of the question. */
        n: count,
        tokens: count.max(maxTokensPerMessage),
        /** Time until the shard has another token, in milliseconds; absent if the answering entry VM doesn't hold it. */
        nextMs: z.number().min(0).max(maxStatedMs).optional(),
    })
    .readonly();

/** The answer to a question. */
export type QuotaReply = z.infer<typeof quotaReplySchema>;
