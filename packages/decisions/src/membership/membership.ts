/**
 * Which boxes run, by gossip of heartbeat counters (van Renesse, Minsky and
 * Hayden, "A gossip-style failure detection service", 1998).
 *
 * Each box counts up its own heartbeat and passes on the highest counters that
 * it knows. A box whose counter stood still for too long counts as failed. No
 * clocks are compared.
 *
 * Owns the record of this box and the latest of all others; relies on whoever
 * sends and receives the gossip.
 */

import {
    type AvailabilityZoneId,
    type BoxId,
    hashText,
    type IncarnationId,
    type Milliseconds,
    milliseconds,
    type RegionId,
} from "@chalkdale/kernel";

/** What boxes say about one box. */
export interface MemberRecord {
    readonly box: BoxId;
    /** A later start of the box has a greater incarnation. */
    readonly incarnation: IncarnationId;
    readonly heartbeat: number;
    readonly leaving: boolean;
    /** False until the box can serve callers. */
    readonly ready: boolean;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    /** Where other boxes reach it. */
    readonly peerAddress: string;
    /** Where callers reach it. */
    readonly callerAddress: string;
    /** What it can carry, as a number of processor cores. */
    readonly capacity: number;
    /** What it carries now, in the same unit. */
    readonly load: number;
}

/** What changes about a box while it runs. */
interface MemberState {
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly load: number;
}

/** Members and how fresh each is. */
export interface Membership {
    /** Counts up the own heartbeat and returns the own record. */
    readonly beat: () => MemberRecord;
    readonly setOwnState: (state: MemberState) => void;
    /** Takes what another box told. Returns boxes that were not known before. */
    readonly merge: (records: readonly MemberRecord[], at: Milliseconds) => readonly MemberRecord[];
    /** Boxes that run, this one included. */
    readonly alive: (at: Milliseconds) => readonly MemberRecord[];
    /** Boxes to which callers may be sent: alive, ready and not leaving. */
    readonly inService: (at: Milliseconds) => readonly MemberRecord[];
    /** Boxes heard of within the memory, to which gossip may go; this one excluded. */
    readonly reachable: (at: Milliseconds) => readonly MemberRecord[];
    /** The most recently changed records, for a message of bounded size. */
    readonly freshest: (count: number, at: Milliseconds) => readonly MemberRecord[];
}

export interface MembershipOptions {
    readonly self: MemberRecord;
    /** A box whose heartbeat stood still this long counts as failed. */
    readonly failAfter: Milliseconds;
    /** A failed box is asked again for this long, in case it was cut off. */
    readonly forgetAfter: Milliseconds;
}

interface Entry {
    record: MemberRecord;
    changedAt: Milliseconds;
}

/** Creates a membership that knows this box only. */
export function createMembership(options: MembershipOptions): Membership {
    const others = new Map<BoxId, Entry>();
    let own = options.self;

    return {
        beat() {
            own = { ...own, heartbeat: own.heartbeat + 1 };
            return own;
        },
        setOwnState(state) {
            own = { ...own, ...state };
        },
        merge(records, at) {
            return records.filter(record => mergeOne(record, at));
        },
        alive: at => [own, ...recordsOf(entry => isAlive(entry, at))],
        inService(at) {
            const records = [own, ...recordsOf(entry => isAlive(entry, at))];
            return records.filter(record => record.ready && !record.leaving);
        },
        reachable: at => recordsOf(entry => at - entry.changedAt < options.forgetAfter),
        freshest(count, at) {
            const entries = [...others.values()].filter(entry => isAlive(entry, at));
            entries.sort((a, b) => b.changedAt - a.changedAt);
            return [own, ...entries.slice(0, count - 1).map(entry => entry.record)];
        },
    };

    function mergeOne(record: MemberRecord, at: Milliseconds): boolean {
        if (record.box === own.box) {
            return false;
        }
        const known = others.get(record.box);
        if (known === undefined) {
            others.set(record.box, { record, changedAt: at });
            return true;
        }
        if (isNewer(record, known.record)) {
            others.set(record.box, { record, changedAt: at });
        }
        return false;
    }

    function isAlive(entry: Entry, at: Milliseconds): boolean {
        return at - entry.changedAt < options.failAfter;
    }

    function recordsOf(accept: (entry: Entry) => boolean): MemberRecord[] {
        return [...others.values()].filter(accept).map(entry => entry.record);
    }
}

function isNewer(record: MemberRecord, known: MemberRecord): boolean {
    if (record.incarnation !== known.incarnation) {
        return record.incarnation > known.incarnation;
    }
    return record.heartbeat > known.heartbeat;
}

/**
 * Orders boxes by what they can carry, the strongest first; boxes of equal capacity stand in an order of their own that is
 * the same on every box. Whatever all boxes must agree on without asking goes by it.
 */
export function strongestFirst(a: MemberRecord, b: MemberRecord): number {
    return b.capacity - a.capacity || hashText(a.box) - hashText(b.box);
}

/** Time between two rounds of gossip: 13 of them fit into the time after which the directory must no longer name a lost box. */
export const gossipInterval = milliseconds(300);
/**
 * Rounds without a new heartbeat after which a box counts as failed: 5 that may be lost, and twice the 4 rounds in which
 * gossip reaches 16 boxes. 3.9 s; the directory may name a lost box for 6 to 7 s. At the 80 boxes of the grown sites the same
 * reckoning gives 19 rounds; with 13 a hunt there found no rule broken (e4c090b8). Beyond 80 boxes it is not measured.
 */
const failAfterRounds = 13;
/** Time without a new heartbeat after which a box counts as failed. */
export const failAfter = milliseconds(gossipInterval * failAfterRounds);
/** Time for which gossip still goes to a failed box, in case it was cut off. Not measured. */
export const forgetAfter = milliseconds(120_000);
