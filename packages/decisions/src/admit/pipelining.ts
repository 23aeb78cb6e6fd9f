/**
 * Decides which pipelined requests of one connection may be in progress at the same time, and when reading from the
 * connection pauses.
 *
 * Answers return in order, and a caller that gets an answer that closes the connection resends all requests behind it,
 * idempotent or not. A non-idempotent request is therefore started only once everything before it is answered, and
 * nothing is started behind it: a read behind a write sees the write. On a connection that is closing, no more requests
 * are started, so that its last answer can close it.
 *
 * Owns no state.
 */

/** The requests in progress on one connection, and the next one. */
export interface PipelineState {
    /** Number of requests that were started and whose answers have not been sent. */
    readonly inProgress: number;
    /** True if all of them and the next request are idempotent. */
    readonly isIdempotent: boolean;
    /** Bytes of ready answers that wait for slower ones before them. */
    readonly bufferedBytes: number;
    /** True if the connection closes with the last answer of the requests in progress. */
    readonly isClosing: boolean;
}

/** Requests of one connection in progress at once: slightly more than the connections that a browser opens. */
const maxInProgress = 8;
/** Bytes of buffered answers from which no more requests of the connection are started: three downloads. */
const maxBufferedBytes = 256 * 1024;
/**
 * Unanswered requests of one connection from which its socket is not read. It exceeds `maxInProgress`, since callers
 * give up requests that are not read within a second.
 */
const maxUnanswered = 32;

/** Unanswered requests of one connection from which it is not read even to find its end. */
const maxReadAhead = 256;

/** True if the next request of a connection may be started; always true if none is in progress. */
export function mayStartNext(
    { inProgress, isClosing, isIdempotent, bufferedBytes }: PipelineState,
): boolean {
    const isBelowLimits = inProgress < maxInProgress && bufferedBytes < maxBufferedBytes;
    return inProgress === 0 || isBelowLimits && isIdempotent && !isClosing;
}

/** True if reading from a connection with that many unanswered requests should pause. */
export function shouldPauseReading(unanswered: number): boolean {
    return unanswered >= maxUnanswered;
}

/** True if reading from a connection with that many unanswered requests may resume to find its end behind them. */
export function mayReadAhead(unanswered: number): boolean {
    return unanswered < maxReadAhead;
}
