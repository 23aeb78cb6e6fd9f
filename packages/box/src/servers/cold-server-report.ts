/**
 * Reports when this box takes a server for cold and when it counts as warm again, as log lines and as metrics. Compared
 * over all boxes, they show who learned of it late, and whether the boxes' shares add up to more than the server's rate.
 *
 * Owns the cold periods that were reported; relies on its owner to call `report` several times a second.
 */

import { type BackendServer, type ColdPeriod, describePosition, type ServerCatalog } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

export interface ColdServerReportOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly catalog: Pick<ServerCatalog, "all">;
    /** Milliseconds since the store confirmed the list of servers. */
    readonly serversAge: () => number;
}

/** Reports on the cold servers of one box. */
export interface ColdServerReport {
    /** Logs the cold periods that have begun or ended since the last call. */
    readonly report: () => void;
    /** Number of servers that count as cold. */
    readonly coldCount: () => number;
    /** Requests that this box has sent to servers while they counted as cold, since its start. */
    readonly requestsToCold: () => number;
}

/** Creates the report of a box that has reported nothing. */
export function createColdServerReport(options: ColdServerReportOptions): ColdServerReport {
    const { catalog, clock, log } = options;
    /** The period that was reported as begun and not as ended yet, by server. */
    const openPeriods = new Map<BackendServer, ColdPeriod>();
    let requestsOfEnded = 0;

    return {
        report() {
            const now = clock();
            for (const server of catalog.all()) {
                const period = server.state.coldPeriod();
                if (period !== undefined && !openPeriods.has(server) && now < period.until) {
                    openPeriods.set(server, period);
                    logBegin(server, period);
                }
            }
            openPeriods.forEach((opened, server) => endIfOver(server, opened));
        },
        coldCount: () => openPeriods.size,
        requestsToCold: () => {
            const open = [...openPeriods.keys()].map(({ state }) => state.coldPeriod()?.sent ?? 0);
            return open.reduce((sum, sent) => sum + sent, requestsOfEnded);
        },
    };

    function logBegin({ id, state }: BackendServer, { begunAt, source, until }: ColdPeriod): void {
        const now = clock();
        log.info("server.cold", {
            server: id,
            source,
            since: Math.round(now - begunAt),
            for: Math.round(until - now),
            revision: describePosition(state.record().revision),
            serversAge: Math.round(options.serversAge()),
            share: state.slowStartRate().toFixed(2),
        });
    }

    function endIfOver(server: BackendServer, { begunAt, source }: ColdPeriod): void {
        const now = clock();
        const period = server.state.coldPeriod();
        if (period !== undefined && period.begunAt === begunAt && now < period.until) {
            return;
        }
        openPeriods.delete(server);
        const sent = period?.begunAt === begunAt ? period.sent : 0;
        requestsOfEnded += sent;
        log.info("server.warm", { server: server.id, source, after: Math.round(now - begunAt), sent });
    }
}
