/**
 * Which entry boxes may be named to callers, from the platform's list and
 * from what the zones' relays say.
 */

import { type Milliseconds, milliseconds, type ZoneId } from "../kernel/ids.js";
import type { MemberList } from "../state/members.js";
import type { BoxPresence, ZoneSummary } from "../state/traffic.js";
import type { NamedBox } from "./lookup.js";

/** A zone's summary up to this age, in milliseconds, goes before the list. */
const summaryTrust = 5000;

/** The boxes of all zones. */
export interface Presence {
    readonly applyMembers: (list: MemberList) => void;
    readonly applySummary: (summary: ZoneSummary, age: number, at: Milliseconds) => void;
    /** Returns the boxes that may be named, this one included unless it is leaving. */
    readonly named: (at: Milliseconds, self: BoxPresence) => readonly NamedBox[];
}

/** Creates the view of a box that knows of none. */
export function createPresence(): Presence {
    const lists = new Map<ZoneId, MemberList>();
    const summaries = new Map<ZoneId, { summary: ZoneSummary; madeAt: Milliseconds; }>();

    return {
        applyMembers(list) {
            lists.set(list.zone, list);
        },
        applySummary(summary, age, at) {
            const madeAt = milliseconds(at - age);
            const known = summaries.get(summary.zone);
            if (known === undefined || known.madeAt <= madeAt) {
                summaries.set(summary.zone, { summary, madeAt });
            }
        },
        named(at, self) {
            const zones = new Set([...lists.keys(), ...summaries.keys()]);
            const others = [...zones].flatMap(zone => inZone(zone, at)).filter(named => named.box !== self.box);
            return self.leaving || !self.ready ? others : [...others, nameOf(self)];
        },
    };

    function inZone(zone: ZoneId, at: Milliseconds): NamedBox[] {
        const leavingByList = new Set(
            lists.get(zone)?.boxes.filter(box => box.state === "leaving").map(box => box.id),
        );
        const heard = summaries.get(zone);
        if (heard !== undefined && at - heard.madeAt <= summaryTrust) {
            return heard.summary.boxes
                .filter(presence => presence.ready && !presence.leaving && !leavingByList.has(presence.box))
                .map(nameOf);
        }
        return listed(zone);
    }

    function listed(zone: ZoneId): NamedBox[] {
        const list = lists.get(zone);
        return (list?.boxes ?? [])
            .filter(box => box.state === "live")
            .map(({ id, address, port }) => ({ box: id, region: list!.region, zone, address, port }));
    }
}

function nameOf({ box, region, zone, address, port }: BoxPresence): NamedBox {
    return { box, region, zone, address, port };
}
