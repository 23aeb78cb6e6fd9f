/**
 * The requests that a box serves now, which can be found by their fingerprints, and
 * those of them that wait for another request with the same fingerprint.
 *
 * Owns the set of these requests. A fingerprint is computed when it is first needed.
 */

import type { RequestFingerprint } from "@chalkdale/kernel";
import type { ActiveRequest } from "../requests/active-request.js";
import { fingerprintOf, fingerprintOfHead, headOfFingerprint } from "../requests/request-fingerprint.js";

/** A request while it is served. */
export interface RequestInProgress {
    readonly active: ActiveRequest;
    /** Aborts its attempts. */
    readonly controller: AbortController;
    readonly fingerprint: () => RequestFingerprint;
    /** True if the fingerprint's part for the head is that of this request. Does not read the body. */
    readonly matchesHeadOf: (fingerprint: RequestFingerprint) => boolean;
    /** True once its fingerprint is held: it must not be sent to servers, and its attempts are aborted. */
    isStopped: boolean;
    /** Number of attempts that run, or of which it is not known yet whether the server terminated. */
    pendingAttempts: number;
}

/** The requests that one box serves now. */
export interface RequestsInProgress {
    readonly begin: (active: ActiveRequest, body: Buffer, controller: AbortController) => RequestInProgress;
    readonly end: (request: RequestInProgress) => void;
    readonly withFingerprint: (fingerprint: RequestFingerprint) => readonly RequestInProgress[];
    /** Resolves when `wakeWaiting` is called, or the signal aborts. */
    readonly nextChange: (signal: AbortSignal) => Promise<void>;
    /** Wakes the requests that wait; each checks whether it may be sent now. */
    readonly wakeWaiting: () => void;
}

/** Creates an empty set of requests. */
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
            wakeWaiting();
        },
        withFingerprint: fingerprint =>
            [...requests].filter(request =>
                request.matchesHeadOf(fingerprint) && request.fingerprint() === fingerprint
            ),
        nextChange: signal =>
            new Promise(resolve => {
                const resume = () => {
                    waiting.delete(resume);
                    signal.removeEventListener("abort", resume);
                    resolve();
                };
                waiting.add(resume);
                signal.addEventListener("abort", resume, { once: true });
            }),
        wakeWaiting,
    };

    function wakeWaiting(): void {
        [...waiting].forEach(resume => resume());
    }
}

function createRequest(active: ActiveRequest, body: Buffer, controller: AbortController): RequestInProgress {
    let head: string | undefined;
    let fullFingerprint: RequestFingerprint | undefined;

    return {
        active,
        controller,
        fingerprint: () => fullFingerprint ??= fingerprintOf(active, body),
        matchesHeadOf: fingerprint => headOfFingerprint(fingerprint) === (head ??= fingerprintOfHead(active)),
        isStopped: false,
        pendingAttempts: 0,
    };
}
