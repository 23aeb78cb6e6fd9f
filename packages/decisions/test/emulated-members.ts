import { availabilityZoneId, milliseconds, regionId } from "@chalkdale/kernel";
import {
    createMembership,
    createProbing,
    gossipInterval,
    type MemberRecord,
    type Membership,
    type MemberStatus,
    type Probing,
} from "../src/index.js";
import { createMember } from "./member.js";

/** One message, with the content that boxes send. */
interface Message {
    readonly arrivesAt: number;
    readonly to: string;
    readonly from: MemberRecord;
    readonly news: readonly MemberStatus[];
    readonly ages: ReturnType<Membership["regionAges"]>;
    /** True for a probe, which the receiver answers. */
    readonly asks: boolean;
}

interface EmulatedMember {
    readonly membership: Membership;
    readonly probing: Probing;
    readonly startsRoundAt: number;
    isRunning: boolean;
}

export interface EmulatedMembersOptions {
    readonly count: number;
    readonly random: () => number;
    /** Fraction of the messages that are lost. */
    readonly loss: number;
}

const regions = ["north", "east", "south"];
/** One box in seven has a great capacity, and only these are advertised to callers. */
const advertisedEvery = 7;
const advertisedCapacity = 1.35;
const otherCapacity = 0.27;
/** Milliseconds that a message takes within a region and between two. */
const delayWithinRegion = 1;
const delayBetweenRegions = 35;
/** Maximum number of members in one message, as boxes have it. */
const maxUpdates = 40;

/**
 * Creates the memberships of boxes of three regions that gossip on an emulated clock. All of them know each other at
 * first.
 */
export function createEmulatedMembers({ count, loss, random }: EmulatedMembersOptions) {
    const records = Array.from({ length: count }, (_, index) =>
        createMember(`box-${index}`, {
            region: regionId(regions[index % regions.length]),
            zone: availabilityZoneId(`zone-${index % 9}`),
            capacity: index % advertisedEvery === 0 ? advertisedCapacity : otherCapacity,
        }));
    const advertised = new Set(records.filter(({ capacity }) => capacity === advertisedCapacity).map(({ box }) => box));
    const boxes = new Map<string, EmulatedMember>(records.map(record => {
        const membership = createMembership(record);
        records.forEach(other => membership.onHeard(other, milliseconds(0)));
        const startsRoundAt = random() * gossipInterval;
        const probing = createProbing({ membership, random, isAdvertised: box => advertised.has(box) });
        return [record.box, { membership, probing, startsRoundAt, isRunning: true }];
    }));
    let messages: Message[] = [];
    let now = 0;
    let sent = 0;

    return {
        runningCount: () => running().length,
        messagesSent: () => sent,
        stop(index: number) {
            boxes.get(records[index].box)!.isRunning = false;
        },
        start(index: number) {
            boxes.get(records[index].box)!.isRunning = true;
        },
        /** Runs one gossip round of all boxes. */
        runRound() {
            const end = now + gossipInterval;
            const starts = [...boxes.values()].map(box => ({ at: now + box.startsRoundAt, box }));
            starts.sort((a, b) => a.at - b.at);
            for (const { at, box } of starts) {
                deliverUntil(at);
                if (box.isRunning) {
                    beginRound(box, at);
                }
            }
            deliverUntil(end);
            now = end;
        },
        /** Number of pairs of running boxes in which one regards the other as failed. */
        falselyFailed: () => running().reduce((sum, box) => sum + running().length - countRunningAlive(box), 0),
        /** Number of pairs of a running and a stopped box in which the one regards the other as alive. */
        falselyAlive: () => running().reduce((sum, box) => sum + stoppedAlive(box).length, 0),
        /** The same for stopped boxes that are advertised to callers of the running box's region. */
        falselyAdvertised: () =>
            running().reduce((sum, box) => {
                const { region } = box.membership.ownRecord();
                return sum
                    + stoppedAlive(box).filter(member =>
                        member.region === region && member.capacity === advertisedCapacity
                    ).length;
            }, 0),
    };

    function running(): readonly EmulatedMember[] {
        return [...boxes.values()].filter(box => box.isRunning);
    }

    function aliveOf(box: EmulatedMember): readonly MemberRecord[] {
        return box.membership.alive(milliseconds(now));
    }

    function stoppedAlive(box: EmulatedMember): readonly MemberRecord[] {
        return aliveOf(box).filter(member => !boxes.get(member.box)!.isRunning);
    }

    function countRunningAlive(box: EmulatedMember): number {
        return aliveOf(box).filter(member => boxes.get(member.box)!.isRunning).length;
    }

    function beginRound({ membership, probing }: EmulatedMember, at: number): void {
        membership.incrementHeartbeat();
        probing.nextRound(milliseconds(at)).forEach(member => send(membership, member, at, true));
        if (membership.consumeOwnSuspicion()) {
            const others = membership.recentMembers(milliseconds(at));
            for (let index = 0; index < 4; index++) {
                send(membership, others[Math.floor(random() * others.length)], at, false);
            }
        }
    }

    function send(membership: Membership, to: MemberRecord, at: number, isProbe: boolean): void {
        const from = membership.ownRecord();
        const news = membership.nextUpdates(maxUpdates, milliseconds(at));
        const ages = membership.regionAges(milliseconds(at));
        sent += 1;
        if (random() >= loss) {
            const arrivesAt = at + (to.region === from.region ? delayWithinRegion : delayBetweenRegions);
            messages.push({ arrivesAt, to: to.box, from, news, ages, asks: isProbe });
        }
    }

    function deliverUntil(end: number): void {
        for (;;) {
            const due = messages.filter(message => message.arrivesAt <= end);
            if (due.length === 0) {
                return;
            }
            messages = messages.filter(message => message.arrivesAt > end);
            due.sort((a, b) => a.arrivesAt - b.arrivesAt).forEach(deliver);
        }
    }

    function deliver({ ages, arrivesAt, asks: isProbe, from, news, to }: Message): void {
        const box = boxes.get(to)!;
        if (!box.isRunning) {
            return;
        }
        const at = milliseconds(arrivesAt);
        box.membership.onHeard(from, at);
        box.membership.merge(news, at);
        box.membership.mergeRegionAges(ages, at);
        if (isProbe) {
            send(box.membership, from, arrivesAt, false);
        }
    }
}
