/**
 * Tells the statuses that end a request from all others that Node's parser accepts: it takes any three digits.
 *
 * An answer with another status is none, wherever it arrives: from a server, through another box, or to a health check.
 * Owns nothing.
 */

const minFinalStatus = 200;
const maxFinalStatus = 599;

/** True for a status that ends a request (2xx to 5xx). */
export function isFinalStatus(status: number): boolean {
    return status >= minFinalStatus && status <= maxFinalStatus;
}

/** Describes an answer whose status is not final. */
export function describeOddStatus(status: number): string {
    return `status ${status} ends no request`;
}
