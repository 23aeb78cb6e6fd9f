/**
 * Keeps look-up answers for their lifetime; of several askers at once one asks.
 */

import { type LookupAnswer, Ok, type Result } from "@chalkdale/core";
import type { CallerError } from "./caller.js";

/** Answers by service. */
export interface LookupCache {
    readonly get: (service: string, signal?: AbortSignal) => Promise<Result<LookupAnswer, CallerError>>;
    /** Returns the latest answer, outlived or not. */
    readonly latest: (service: string) => LookupAnswer | undefined;
    /** Makes the next {@link get} ask anew. */
    readonly drop: (service: string) => void;
}

export interface LookupCacheOptions {
    readonly ask: (
        service: string,
        ticket: boolean,
        signal?: AbortSignal,
    ) => Promise<Result<LookupAnswer, CallerError>>;
    readonly clock: () => number;
}

interface Entry {
    readonly answer: LookupAnswer;
    freshUntil: number;
}

/** Creates an empty cache. */
export function createLookupCache({ ask, clock }: LookupCacheOptions): LookupCache {
    const entries = new Map<string, Entry>();
    const asking = new Map<string, Promise<Result<LookupAnswer, CallerError>>>();

    return {
        get(service) {
            const entry = entries.get(service);
            if (entry !== undefined && clock() < entry.freshUntil) {
                return Promise.resolve(Ok(entry.answer));
            }
            const running = asking.get(service) ?? refresh(service);
            asking.set(service, running);
            return running;
        },
        latest: service => entries.get(service)?.answer,
        drop(service) {
            const entry = entries.get(service);
            if (entry !== undefined) {
                entry.freshUntil = -Infinity;
            }
        },
    };

    /** The lifetime counts from before the question, since the answer may have been long under way. */
    async function refresh(service: string): Promise<Result<LookupAnswer, CallerError>> {
        const askedAt = clock();
        try {
            const answer = await ask(service, false);
            if (answer.ok) {
                entries.set(service, { answer: answer.val, freshUntil: askedAt + answer.val.lifetime });
            }
            return answer;
        }
        finally {
            asking.delete(service);
        }
    }
}
