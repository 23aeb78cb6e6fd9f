/**
 * How callers and backend servers spell what the gateway means. The deployment
 * supplies it; the gateway itself knows no header by name.
 */

import type { Milliseconds, ServerId } from "@chalkdale/kernel";
import type { CallerPlace, LoadReport } from "@chalkdale/steering";

/** Header names, in lower case. */
export interface HeaderNames {
    readonly requestId: string;
    /** Milliseconds that the sender will wait. */
    readonly deadline: string;
    readonly affinityKey: string;
    /** The one server that may run the request. */
    readonly expectedServer: string;
    /** Proof that an answer is the server's own. */
    readonly serverStamp: string;
    /** The request did not run. */
    readonly notRun: string;
    readonly serverId: string;
}

/** Header names as they are written, and how values and paths are read. */
export interface CallerProtocol {
    readonly headers: HeaderNames;
    readonly readinessPath: string;
    readonly lookupPath: string;
    /** Reads where a caller of the directory is from the query. */
    readonly readCallerPlace: (query: URLSearchParams) => CallerPlace;
    readonly writeLookup: (addresses: readonly string[], lifetime: Milliseconds) => string;
    /** Reads the load that a server tells, if it does. */
    readonly readLoad: (headers: NodeJS.Dict<string | string[]>) => LoadReport | undefined;
    /** Reads how much longer a server says that it is cold. */
    readonly readColdFor: (headers: NodeJS.Dict<string | string[]>) => Milliseconds | undefined;
    readonly readServerId: (headers: NodeJS.Dict<string | string[]>) => ServerId | undefined;
}
