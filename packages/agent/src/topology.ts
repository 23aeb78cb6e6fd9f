/**
 * Who the other boxes are and whom of them this one talks to.
 */

import {
    type BoxId,
    type Clock,
    type MemberList,
    milliseconds,
    type PeerBox,
    planSubscriptions,
    relaysOf,
    type Subscriptions,
} from "@chalkdale/core";
import { recordKeys } from "@chalkdale/peer";
import type { Address } from "@chalkdale/runtime";
import type { RecordHub } from "./record-hub.js";

/** A box that can be reached. */
export interface ReachableBox extends PeerBox {
    readonly peer: Address;
}

/** The boxes as an agent knows them. */
export interface Topology {
    /** Returns all boxes that are not leaving, this one included. */
    readonly boxes: () => readonly ReachableBox[];
    readonly subscriptions: () => Subscriptions;
    /** Returns the relays to which this box reports itself. */
    readonly reportTargets: () => readonly ReachableBox[];
    readonly lists: () => readonly MemberList[];
}

export interface TopologyOptions {
    readonly self: ReachableBox;
    readonly hub: RecordHub;
    readonly clock: Clock;
    readonly relaysPerZone: () => number;
}

/** Creates the view; it is worked out from the hub's records, anew when it is older than half a second. */
export function createTopology({ self, hub, relaysPerZone, clock }: TopologyOptions): Topology {
    const view = createRefreshed(clock, () => {
        const known = findBoxes();
        return { boxes: known, subscriptions: planSubscriptions(self, known, relaysPerZone()) };
    });

    return {
        boxes: () => view().boxes,
        subscriptions: () => view().subscriptions,
        reportTargets,
        lists,
    };

    function lists(): readonly MemberList[] {
        return hub.list(recordKeys.membersPrefix).flatMap(({ payload }) =>
            payload.kind === "members" ? [payload.list] : []
        );
    }

    function findBoxes(): readonly ReachableBox[] {
        const found = new Map<BoxId, ReachableBox>([[self.box, self]]);
        for (const list of lists()) {
            for (const { id, address, peerPort, state } of list.boxes) {
                if (state === "live" && id !== self.box) {
                    found.set(id, { box: id, zone: list.zone, peer: { address, port: peerPort } });
                }
            }
        }
        for (const presence of presences()) {
            if (presence.box === self.box) {
                continue;
            }
            if (presence.leaving) {
                found.delete(presence.box);
                continue;
            }
            const { box, zone, address, peerPort } = presence;
            found.set(box, { box, zone, peer: { address, port: peerPort } });
        }
        return [...found.values()].sort((a, b) => a.box < b.box ? -1 : 1);
    }

    /** Boxes named by relays; the newest summary of a zone comes last. */
    function presences() {
        return hub.list(recordKeys.summaryPrefix)
            .filter(record => record.age <= presenceLifetime)
            .sort((a, b) => b.age - a.age)
            .flatMap(({ payload }) => payload.kind === "summary" ? payload.summary.boxes : []);
    }

    /** The relays of the zone; where this box is the only one, a relay elsewhere, for proof of contact. */
    function reportTargets(): readonly ReachableBox[] {
        const known = view().boxes;
        const own = relaysOf(self.zone, known, relaysPerZone()).filter(box => box !== self.box);
        if (own.length > 0) {
            return known.filter(({ box }) => own.includes(box));
        }
        const elsewhere = view().subscriptions.sources;
        return known.filter(({ box }) => elsewhere.slice(0, reportsElsewhere).includes(box));
    }
}

/** Returns a function that works a value out anew when its last one is too old. */
function createRefreshed<Value>(clock: Clock, compute: () => Value): () => Value {
    let value: Value | undefined;
    let computedAt = milliseconds(-Infinity);
    return () => {
        if (value === undefined || clock() - computedAt >= refreshInterval) {
            value = compute();
            computedAt = clock();
        }
        return value;
    };
}

const refreshInterval = 500;
const presenceLifetime = 10_000;
const reportsElsewhere = 2;
