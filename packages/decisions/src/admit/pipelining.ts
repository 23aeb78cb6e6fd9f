/**
 * Which requests of one connection may be in progress together when its caller
 * sends the next one before the last one has its answer, and what stops the
 * reading.
 *
 * Answers return in order, and whoever gets an answer that ends the connection
 * sends the requests behind it again, whatever their kind. So what must not run
 * twice is begun only once everything before it is answered, and nothing is begun
 * behind it: a read behind a write sees the write. A connection that is to end
 * begins nothing more, so that its last answer can end it.
 */

/** What one connection has in progress, and the next request. */
export interface PipelineState {
    /** Requests that were begun and whose answers have not left. */
    readonly inProgress: number;
    /** All of them, and the next request, may run more than once. */
    readonly isIdempotent: boolean;
    /** Bytes of answers that are ready and wait for the ones before them. */
    readonly bufferedBytes: number;
    /** The connection ends with the last answer of what is in progress. */
    readonly isClosing: boolean;
}

/** Requests of one connection in progress at once: as many as a browser opens connections, or few more. */
const mostInProgress = 8;
/** Bytes of ready answers behind a slower one at which no more work for that caller is begun: three downloads. */
const mostWaitingBytes = 256 * 1024;
/**
 * Requests of one connection that are read and not answered, at which its socket is not read: more than are in progress,
 * since callers give up what is not read within a second.
 */
const mostRead = 32;

/** True if the next request of a connection may be begun; the first always may. */
export function mayStartNext(
    { inProgress, isClosing: isEnding, isIdempotent, bufferedBytes: waitingBytes }: PipelineState,
): boolean {
    const hasRoom = inProgress < mostInProgress && waitingBytes < mostWaitingBytes;
    return inProgress === 0 || hasRoom && isIdempotent && !isEnding;
}

/** True if a connection with so many requests that are not answered is not read for now. */
export function shouldPauseReading(unanswered: number): boolean {
    return unanswered >= mostRead;
}
