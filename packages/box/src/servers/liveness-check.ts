/**
 * Finds out by a test connection whether a server with an overdue answer is still
 * running. A server that accepts the connection is only slow.
 *
 * Owns the running checks and the latest results; the timeouts decide when a
 * request is overdue.
 */

import type { BackendServer } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { type Log, splitAddress } from "@chalkdale/runtime";
import { connect } from "node:net";

/**
 * Resolves to true if a server still accepts connections, by a check that began at `notBefore` or later if given. Never
 * rejects.
 */
export type LivenessCheck = (server: BackendServer, notBefore?: Milliseconds) => Promise<boolean>;

export interface LivenessCheckOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly localAddress: string;
    /** Time limit for opening a connection to the server. */
    readonly connectTimeout: (server: BackendServer) => Milliseconds;
    /** Called with a server that does not accept the connection. */
    readonly onUnreachable: (server: BackendServer) => void;
}

/** Milliseconds for which a result is reused, so that all requests waiting for one server share a check. */
const resultLifetime = 500;

interface Check {
    readonly result: Promise<boolean>;
    readonly startedAt: Milliseconds;
}

/** Creates the check. Concurrent checks of one server share a connection. */
export function createLivenessCheck(options: LivenessCheckOptions): LivenessCheck {
    const { clock, log } = options;
    /** Keyed by incarnation of a server: the result of an earlier one does not apply to the next. */
    const checks = new WeakMap<BackendServer, Check>();

    return (server, notBefore) => {
        const latest = checks.get(server);
        if (latest !== undefined && latest.startedAt >= (notBefore ?? clock() - resultLifetime)) {
            return latest.result;
        }
        const result = check(server);
        checks.set(server, { result, startedAt: clock() });
        return result;
    };

    async function check(server: BackendServer): Promise<boolean> {
        const accepts = await acceptsConnection(server);
        log.info("server.stalled", { server: server.id, accepts });
        if (!accepts) {
            options.onUnreachable(server);
        }
        return accepts;
    }

    function acceptsConnection(server: BackendServer): Promise<boolean> {
        const { host, port } = splitAddress(server.state.record().address);
        return new Promise(resolve => {
            const socket = connect({ host, port, localAddress: options.localAddress });
            const settle = (accepts: boolean) => {
                clearTimeout(timer);
                socket.destroy();
                resolve(accepts);
            };
            const timer = setTimeout(() => settle(false), options.connectTimeout(server));
            socket.on("error", () => settle(false));
            socket.on("connect", () => settle(true));
        });
    }
}
