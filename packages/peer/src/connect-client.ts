/**
 * The protocol between processes over Connect and HTTP/2.
 */

import { type Address, urlOf } from "@chalkdale/runtime";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import * as wire from "./generated/chalkdale/peer/v1/peer_pb.js";
import { type PeerRecord, recordFromWire, recordToWire } from "./payload.js";
import type { PeerConnection, PeerNetwork } from "./peer-network.js";

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
        subscribe: (self, caller) => subscribe(client, self, AbortSignal.any([signal, caller])),
        async publish({ box, incarnation }, records, caller) {
            const request = { box, incarnation, records: records.map(recordToWire) };
            const options = { signal: AbortSignal.any([signal, caller]), timeoutMs: callTimeout };
            const { superseded } = await client.publish(request, options);
            return { superseded };
        },
        async claim(claim, caller) {
            const request = { ...claim, settingsVersion: BigInt(claim.settingsVersion) };
            const options = { signal: AbortSignal.any([signal, caller]), timeoutMs: callTimeout };
            const { units, leaseRemaining, floorRemaining, superseded } = await client.claim(request, options);
            return { units, leaseRemaining, floorRemaining, superseded };
        },
    };
}

async function* subscribe(
    client: Client<typeof wire.PeerService>,
    { box, incarnation }: { readonly box: string; readonly incarnation: string; },
    signal: AbortSignal,
): AsyncGenerator<readonly PeerRecord[]> {
    const silence = new AbortController();
    const abortOnSilence = () => silence.abort(new Error("the agent fell silent"));
    let timer = setTimeout(abortOnSilence, silenceLimit);
    try {
        const options = { signal: AbortSignal.any([signal, silence.signal]) };
        for await (const batch of client.subscribe({ box, incarnation }, options)) {
            clearTimeout(timer);
            timer = setTimeout(abortOnSilence, silenceLimit);
            yield batch.records.map(recordFromWire).filter(record => record !== undefined);
        }
    }
    finally {
        clearTimeout(timer);
    }
}
