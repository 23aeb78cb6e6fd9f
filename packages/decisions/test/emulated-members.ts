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

/** One message, as the product's boxes send it. */
interface Message {
    readonly arrivesAt: number;
    readonly to: string;
    readonly from: MemberRecord;
    readonly news: readonly MemberStatus[];
    readonly ages: ReturnType<Membership["regionAges"]>;
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
    /** Part of the messages that are lost. */
    readonly loss: number;
}

const regions = ["north", "east", "south"];
/** One box in seven is strong, and callers are named these only. */
const strongEvery = 7;
const strong = 1.35;
const weak = 0.27;
/** Milliseconds of a way within a region and between two. */
const nearWay = 1;
const farWay = 35;
/** Members in one message, as in the product. */
const mostNews = 40;

/** Boxes of three regions that tell each other who runs, on an emulated clock. All of them know each other at first. */
export function createEmulatedMembers({ count, loss, random }: EmulatedMembersOptions) {
    const records = Array.from({ length: count }, (_, index) =>
        createMember(`box-${index}`, {
            region: regionId(regions[index % regions.length]),
            zone: availabilityZoneId(`zone-${index % 9}`),
            capacity: index % strongEvery === 0 ? strong : weak,
        }));
    const advertised = new Set(records.filter(({ capacity }) => capacity === strong).map(({ box }) => box));
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
        /** Lets one round pass. */
        runRound() {
            const end = now + gossipInterval;
            const begins = [...boxes.values()].map(box => ({ at: now + box.startsRoundAt, box }));
            begins.sort((a, b) => a.at - b.at);
            for (const { at, box } of begins) {
                deliverUntil(at);
                if (box.isRunning) {
                    beginRound(box, at);
                }
            }
            deliverUntil(end);
            now = end;
        },
        /** Of all pairs of running boxes, how many where one takes the other as failed. */
        falselyFailed: () => running().reduce((sum, box) => sum + running().length - countRunningAlive(box), 0),
        /** Of all pairs of a running and a stopped box, how many where the one takes the other as running. */
        falselyAlive: () => running().reduce((sum, box) => sum + stoppedAlive(box).length, 0),
        /** The same for stopped boxes that callers of the running box's region are named. */
        falselyNamed: () =>
            running().reduce((sum, box) => {
                const { region } = box.membership.ownRecord();
                return sum
                    + stoppedAlive(box).filter(member => member.region === region && member.capacity === strong).length;
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

    function send(membership: Membership, to: MemberRecord, at: number, asks: boolean): void {
        const from = membership.ownRecord();
        const news = membership.nextUpdates(mostNews, milliseconds(at));
        const ages = membership.regionAges(milliseconds(at));
        sent += 1;
        if (random() >= loss) {
            const arrivesAt = at + (to.region === from.region ? nearWay : farWay);
            messages.push({ arrivesAt, to: to.box, from, news, ages, asks });
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

    function deliver({ ages, arrivesAt, asks, from, news, to }: Message): void {
        const box = boxes.get(to)!;
        if (!box.isRunning) {
            return;
        }
        const at = milliseconds(arrivesAt);
        box.membership.onHeard(from, at);
        box.membership.merge(news, at);
        box.membership.mergeRegionAges(ages, at);
        if (asks) {
            send(box.membership, from, arrivesAt, false);
        }
    }
}
