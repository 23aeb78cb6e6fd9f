/**
 * The protocol between processes over Connect and HTTP/2.
 */

import { type Address, boundedCall, urlOf } from "@chalkdale/runtime";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import * as wire from "./generated/chalkdale/peer/v1/peer_pb.js";
import { type PeerRecord, recordFromWire, recordToWire } from "./payload.js";
import type { PeerConnection, PeerIdentity, PeerNetwork, SubscriptionScope } from "./peer-network.js";

/** Milliseconds for a publication or a claim. */
const callTimeout = 1500;
/** A subscription without a batch for this many milliseconds is given up. */
const silenceLimit = 3000;
/** Milliseconds between pings of an idle connection. */
const pingInterval = 5000;

/** Creates the network that reaches agents by their addresses. */
export function createConnectNetwork(): PeerNetwork {
    return { connect: connectTo };
}

function connectTo(address: Address, signal: AbortSignal): PeerConnection {
    const baseUrl = urlOf(address);
    const sessionManager = new Http2SessionManager(baseUrl, { pingIntervalMs: pingInterval });
    signal.addEventListener("abort", () => sessionManager.abort(), { once: true });
    const transport = createConnectTransport({ baseUrl, httpVersion: "2", sessionManager, useBinaryFormat: true });
    const client = createClient(wire.PeerService, transport);
    return {
        subscribe: (self, scope, caller) => subscribe(client, self, scope, AbortSignal.any([signal, caller])),
        publish: ({ box, incarnation }, records, caller) =>
            boundedCall([signal, caller], callTimeout, async bounded => {
                const request = { box, incarnation, records: records.map(recordToWire) };
                const { superseded } = await client.publish(request, { signal: bounded });
                return { superseded };
            }),
        claim: (claim, caller) =>
            boundedCall([signal, caller], callTimeout, async bounded => {
                const request = { ...claim, settingsVersion: BigInt(claim.settingsVersion) };
                const { units, leaseRemaining, floorRemaining, superseded } = await client.claim(request, {
                    signal: bounded,
                });
                return { units, leaseRemaining, floorRemaining, superseded };
            }),
    };
}

async function* subscribe(
    client: Client<typeof wire.PeerService>,
    { box, incarnation }: PeerIdentity,
    scope: SubscriptionScope,
    signal: AbortSignal,
): AsyncGenerator<readonly PeerRecord[]> {
    const silence = new AbortController();
    const abortOnSilence = () => silence.abort(new Error("the agent fell silent"));
    let timer = setTimeout(abortOnSilence, silenceLimit);
    try {
        const options = { signal: AbortSignal.any([signal, silence.signal]) };
        for await (const batch of client.subscribe({ box, incarnation, ownOnly: scope === "own" }, options)) {
            clearTimeout(timer);
            timer = setTimeout(abortOnSilence, silenceLimit);
            yield batch.records.map(recordFromWire).filter(record => record !== undefined);
        }
    }
    finally {
        clearTimeout(timer);
    }
}
