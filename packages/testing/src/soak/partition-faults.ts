/**
 * Partitions of boxes from all servers: of some boxes, of an availability zone, or of all but one, several times and
 * overlapping. Callers, the store and the other boxes still reach them.
 *
 * Draws from a separate random source, so that the other faults of a seed stay the same.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { cutOpenConnections, newConnectionCut, type PartitionKind, partitionKinds } from "../standins/partition.js";
import type { BoxProcess } from "./box-process.js";
import { pickRandom } from "./fault-tools.js";
import type { ObservedPartition } from "./observations.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 130_363;
/** Duration of a partition and the maximum random addition, in milliseconds. */
const minDuration = 3000;
const maxAddedDuration = 3000;
/** Time between the beginnings of two partitions and the maximum random addition: shorter than they last. */
const minPause = 1500;
const maxAddedPause = 3500;

/** Injects partitions until the time `end` of the run; resolves with them once all are over. */
export async function injectPartitions(
    environment: SoakEnvironment,
    end: number,
): Promise<readonly ObservedPartition[]> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const cuts = createBoxCuts();
    const observed: ObservedPartition[] = [];
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        ends.push(injectPartition());
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    return observed;

    async function injectPartition(): Promise<void> {
        const kind = pickRandom(partitionKinds, random);
        const boxes = pickBoxes(environment.boxes, random);
        const duration = minDuration + random() * maxAddedDuration;
        const names = boxes.map(({ name }) => name).join(",");
        environment.logEvent(`fault="${kind} partition of ${names}" for=${Math.round(duration)}`);
        const partition: ObservedPartition = {
            hosts: new Set(boxes.map(({ host }) => host)),
            kind,
            from: environment.now(),
            to: Infinity,
        };
        observed.push(partition);
        const endOpen = boxes.flatMap(({ host }) =>
            environment.servers.map(({ proxy }) => cutOpenConnections(proxy, host, kind))
        );
        const endNew = boxes.map(box => cuts.begin(box, kind));
        await pause(milliseconds(duration));
        endNew.forEach(endCut => endCut());
        endOpen.forEach(endCut => endCut());
        observed[observed.indexOf(partition)] = { ...partition, to: environment.now() };
    }
}

function pickBoxes(boxes: readonly BoxProcess[], random: RandomSource): readonly BoxProcess[] {
    const first = pickRandom(boxes, random);
    switch (pickRandom(["some", "zone", "allButOne"] as const, random)) {
        case "some":
            return boxes.filter(box => box === first || random() < 0.3);
        case "zone":
            return boxes.filter(({ zone }) => zone === first.zone);
        case "allButOne":
            return boxes.filter(box => box !== first);
    }
}

/** Which partitions cut the new connections of each box. */
interface BoxCuts {
    /** Begins a cut; returns the function that ends it. */
    readonly begin: (box: BoxProcess, kind: PartitionKind) => () => void;
}

/** Of several cuts of one box the latest counts, and the others again once it has ended. */
function createBoxCuts(): BoxCuts {
    const active = new Map<BoxProcess, symbol[]>();
    const kinds = new Map<symbol, PartitionKind>();

    return {
        begin(box, kind) {
            const cut = Symbol(box.name);
            kinds.set(cut, kind);
            active.set(box, [...active.get(box) ?? [], cut]);
            apply(box);
            return () => {
                active.set(box, (active.get(box) ?? []).filter(other => other !== cut));
                apply(box);
            };
        },
    };

    function apply(box: BoxProcess): void {
        const latest = active.get(box)?.at(-1);
        const kind = latest && kinds.get(latest);
        box.cutNewConnections(kind && newConnectionCut(kind));
    }
}
