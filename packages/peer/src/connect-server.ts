/**
 * Serves the protocol between processes over Connect and HTTP/2.
 */

import type { Address } from "@chalkdale/runtime";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import * as wire from "./generated/chalkdale/peer/v1/peer_pb.js";
import { recordFromWire, recordToWire } from "./payload.js";
import type { PeerHandlers } from "./peer-network.js";

/** Bytes of one message. */
const largestMessage = 4 * 1024 * 1024;
/** Connections from other processes. */
const mostSessions = 1024;

/** Listens at an address until the signal aborts. Resolves when it listens. */
export async function servePeers(address: Address, handlers: PeerHandlers, signal: AbortSignal): Promise<void> {
    const routes = (router: ConnectRouter) => router.service(wire.PeerService, serviceOf(handlers));
    const server = createServer(connectNodeAdapter({ routes, readMaxBytes: largestMessage }));
    closeWithSignal(server, signal);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.address, resolve);
    });
}

function serviceOf(handlers: PeerHandlers) {
    return {
        async *subscribe(request: wire.SubscribeRequest, context: { readonly signal: AbortSignal; }) {
            const { box, incarnation, ownOnly } = request;
            const scope = ownOnly ? "own" : "all";
            for await (const records of handlers.subscribe({ box, incarnation }, scope, context.signal)) {
                yield { records: records.map(recordToWire) };
            }
        },
        publish({ box, incarnation, records }: wire.PublishRequest) {
            const known = records.map(recordFromWire).filter(record => record !== undefined);
            return handlers.publish({ box, incarnation }, known);
        },
        claim(request: wire.ClaimRequest) {
            const { box, incarnation, wanted, pools, leaseTime, isolationTime } = request;
            const settingsVersion = Number(request.settingsVersion);
            return handlers.claim({ box, incarnation, wanted, settingsVersion, pools, leaseTime, isolationTime });
        },
    };
}

function closeWithSignal(server: Http2Server, signal: AbortSignal): void {
    const sessions = new Set<ServerHttp2Session>();
    server.on("session", session => {
        if (sessions.size >= mostSessions) {
            session.destroy();
            return;
        }
        sessions.add(session);
        session.on("close", () => sessions.delete(session));
        session.on("error", () => session.destroy());
    });
    signal.addEventListener("abort", () => {
        sessions.forEach(session => session.destroy());
        server.close();
    }, { once: true });
}
