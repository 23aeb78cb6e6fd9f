/**
 * The network between the processes of a session, in memory, with cuts.
 */

import type {
    PeerConnection,
    PeerHandlers,
    PeerIdentity,
    PeerNetwork,
    PeerRecord,
    SubscriptionScope,
} from "@chalkdale/peer";
import type { Address } from "@chalkdale/runtime";

/** A network whose links can be cut. */
export interface FakeNetwork {
    /** Returns the network as one box sees it; its name is asked at every call. */
    readonly of: (box: () => string) => PeerNetwork;
    /** Gives the box at an address another name. */
    readonly rename: (address: Address, box: string) => void;
    /** Makes an agent reachable at an address. */
    readonly attach: (box: string, address: Address, handlers: PeerHandlers) => void;
    readonly detach: (address: Address) => void;
    /** Says whether one box reaches another; asked at every call. */
    reaches: (from: string, to: string) => boolean;
}

interface Attached {
    readonly box: string;
    readonly handlers: PeerHandlers;
}

/** Creates a network on which everyone reaches everyone. */
export function createFakeNetwork(): FakeNetwork {
    const attached = new Map<string, Attached>();
    const network: FakeNetwork = {
        of: box => ({ connect: address => connect(box, address) }),
        attach(box, address, handlers) {
            attached.set(keyOf(address), { box, handlers });
        },
        rename(address, box) {
            const target = attached.get(keyOf(address));
            if (target !== undefined) {
                attached.set(keyOf(address), { ...target, box });
            }
        },
        detach(address) {
            attached.delete(keyOf(address));
        },
        reaches: () => true,
    };
    return network;

    function reach(from: string, address: Address): PeerHandlers {
        const target = attached.get(keyOf(address));
        if (target === undefined || !network.reaches(from, target.box)) {
            throw new Error("unreachable");
        }
        return target.handlers;
    }

    function connect(from: () => string, address: Address): PeerConnection {
        return {
            subscribe: (self, scope, signal) => subscribe(from, address, self, scope, signal),
            publish: async (self, records) => reach(from(), address).publish(self, structuredClone(records)),
            claim: async claim => reach(from(), address).claim(structuredClone(claim)),
        };
    }

    async function* subscribe(
        from: () => string,
        address: Address,
        self: PeerIdentity,
        scope: SubscriptionScope,
        signal: AbortSignal,
    ): AsyncGenerator<readonly PeerRecord[]> {
        for await (const records of reach(from(), address).subscribe(self, scope, signal)) {
            reach(from(), address);
            yield structuredClone(records);
        }
    }
}

function keyOf({ address, port }: Address): string {
    return `${address}:${port}`;
}
