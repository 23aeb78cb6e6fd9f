/**
 * Finds out whether a server that has gone silent still lives, by a test
 * connection. A server that accepts it is only slow.
 *
 * Owns the checks that run and the latest results; when a request counts as
 * overdue is decided by the time limits.
 */

import type { BackendServer } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { type Log, splitAddress } from "@chalkdale/runtime";
import { connect } from "node:net";

/** Answers whether a server still accepts connections, by a check that began at `notBefore` or later if it is given. Never rejects. */
export type LivenessCheck = (server: BackendServer, notBefore?: Milliseconds) => Promise<boolean>;

export interface LivenessCheckOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly localAddress: string;
    /** Time in which a connection must come up. */
    readonly connectTimeout: (server: BackendServer) => Milliseconds;
    /** Called with a server that accepts none. */
    readonly onUnreachable: (server: BackendServer) => void;
}

/** Milliseconds for which a result is used again: all requests that wait for one server share a check. */
const resultLifetime = 500;

interface Check {
    readonly result: Promise<boolean>;
    readonly startedAt: Milliseconds;
}

/** Creates the check. Checks of one server at one time are one. */
export function createLivenessCheck(options: LivenessCheckOptions): LivenessCheck {
    const { clock, log } = options;
    /** By life of a server: what was found of an earlier one says nothing of the next. */
    const checks = new WeakMap<BackendServer, Check>();

    return (server, notBefore) => {
        const known = checks.get(server);
        if (known !== undefined && known.startedAt >= (notBefore ?? clock() - resultLifetime)) {
            return known.result;
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
