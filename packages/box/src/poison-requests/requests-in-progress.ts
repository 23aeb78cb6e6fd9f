/**
 * The requests that a box serves now, found by their fingerprints, and those of
 * them that wait for one of their kind.
 *
 * Owns which requests these are; works a fingerprint out when it is first asked for.
 */

import type { RequestFingerprint } from "@chalkdale/kernel";
import type { ActiveRequest } from "../requests/active-request.js";
import { fingerprintOf, fingerprintOfHead, headOfFingerprint } from "../requests/request-fingerprint.js";

/** A request while it is served. */
export interface RequestInProgress {
    readonly active: ActiveRequest;
    /** Ends its attempts. */
    readonly controller: AbortController;
    readonly fingerprint: () => RequestFingerprint;
    /** True if a fingerprint begins as that of this request. Costs no look at the body. */
    readonly matchesHeadOf: (fingerprint: RequestFingerprint) => boolean;
    /** Its servers end: it must leave them. */
    isStopped: boolean;
    /** Attempts that run, or of whose servers it isn't known yet what became of them. */
    pendingAttempts: number;
}

/** The requests of one box. */
export interface RequestsInProgress {
    readonly begin: (active: ActiveRequest, body: Buffer, controller: AbortController) => RequestInProgress;
    readonly end: (request: RequestInProgress) => void;
    readonly withFingerprint: (fingerprint: RequestFingerprint) => readonly RequestInProgress[];
    /** Resolves when `wake` is called, or the signal aborts. */
    readonly nextChange: (signal: AbortSignal) => Promise<void>;
    /** Requests that wait may go on, as far as they find. */
    readonly wakeWaiting: () => void;
}

/** Creates the requests of a box that serves none. */
export function createRequestsInProgress(): RequestsInProgress {
    const requests = new Set<RequestInProgress>();
    const waiting = new Set<() => void>();

    return {
        begin(active, body, controller) {
            const request = createRequest(active, body, controller);
            requests.add(request);
            return request;
        },
        end(request) {
            requests.delete(request);
            wake();
        },
        withFingerprint: fingerprint =>
            [...requests].filter(request =>
                request.matchesHeadOf(fingerprint) && request.fingerprint() === fingerprint
            ),
        nextChange: signal =>
            new Promise(resolve => {
                const goOn = () => {
                    waiting.delete(goOn);
                    signal.removeEventListener("abort", goOn);
                    resolve();
                };
                waiting.add(goOn);
                signal.addEventListener("abort", goOn, { once: true });
            }),
        wakeWaiting: wake,
    };

    function wake(): void {
        [...waiting].forEach(goOn => goOn());
    }
}

function createRequest(active: ActiveRequest, body: Buffer, controller: AbortController): RequestInProgress {
    let head: string | undefined;
    let whole: RequestFingerprint | undefined;

    return {
        active,
        controller,
        fingerprint: () => whole ??= fingerprintOf(active, body),
        matchesHeadOf: fingerprint => headOfFingerprint(fingerprint) === (head ??= fingerprintOfHead(active)),
        isStopped: false,
        pendingAttempts: 0,
    };
}
