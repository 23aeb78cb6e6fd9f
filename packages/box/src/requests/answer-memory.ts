/**
 * The memory that the answers to one request take, from their first byte until the last of them has left for the
 * caller.
 *
 * Owns the accounts of all attempts of the request, which end together: an answer that isn't passed on may still be
 * the request's latest one. Relies on its owner to close it.
 */

import type { BodyAccount, BodyMemory } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";

/** The memory of the answers to one request. */
export interface AnswerMemory {
    /** Opens the account of an answer that begins to arrive. */
    readonly open: () => AnswerAccount;
    /** The answer leaves; `onStalled` is called if its caller doesn't read while others wait for memory. */
    readonly startSending: (onStalled: () => void) => void;
    /** Bytes of the answer that have left the process. */
    readonly recordSent: (bytes: number) => void;
    /** Releases the memory. Further calls have no effect. */
    readonly close: () => void;
}

/** The account of one answer; see `BodyAccount`. */
export interface AnswerAccount extends Pick<BodyAccount, "mayRead" | "markComplete"> {
    readonly recordReceived: (received: number, held: number) => void;
    /** False if too many bodies wait already. */
    readonly mayWait: () => boolean;
    readonly close: () => void;
    /** Sets what is called when the answer may be read again, and when it has stalled. */
    readonly listen: (onResume: () => void, onStalled: () => void) => void;
}

/** Creates the memory of the answers to one request; none has arrived. */
export function createAnswerMemory(clock: Clock, memory: BodyMemory): AnswerMemory {
    const accounts: BodyAccount[] = [];

    return {
        open() {
            const account = memory.open("answer", clock());
            accounts.push(account);
            return {
                mayRead: account.mayRead,
                mayWait: memory.mayWait,
                markComplete: account.markComplete,
                recordReceived: (received, held) => account.recordReceived(received, held, clock()),
                close: () => account.close(clock()),
                listen(onResume, onStalled) {
                    account.onResume = onResume;
                    account.onStalled = onStalled;
                },
            };
        },
        startSending(onStalled) {
            accounts.forEach(account => {
                account.onStalled = onStalled;
                account.recordSent(0, clock());
            });
        },
        recordSent: bytes => accounts.forEach(account => account.recordSent(bytes, clock())),
        close: () => accounts.forEach(account => account.close(clock())),
    };
}
