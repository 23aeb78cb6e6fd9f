/**
 * Faults in which another writer puts invalid entries into the store: server records with
 * one invalid part, under new names and under those of running servers, and invalid
 * objects of other kinds. The invalid records carry the address of a server that no valid
 * record lists: any request there shows that a box used such a record.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import type { ServerStandIn } from "../standins/backend-server.js";
import { pause } from "../standins/deployment.js";
import { serverObject } from "../standins/platform-objects.js";
import { type Fault, pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

type Fields = Readonly<Record<string, unknown>>;

/** Functions that make an invalid record from a valid one. */
const corruptions: readonly ((valid: Fields) => unknown)[] = [
    valid => ({ ...valid, state: "backedOff" }),
    valid => ({ ...valid, slots: "4" }),
    valid => ({ ...valid, slots: 0 }),
    valid => ({ ...valid, service: undefined }),
    valid => ({ ...valid, zone: 7 }),
    valid => ({ ...valid, cold_left: "soon" }),
    valid => ({ ...valid, born: "today" }),
    () => "\u0000\ufffd",
    () => [],
];
/** Invalid objects of other kinds. */
const invalidObjects: readonly (readonly [kind: string, name: string, spec: unknown])[] = [
    ["config", "odd", { version: 7 }],
    ["rollouts", "odd", []],
    ["evacuations", "moon", "\u0000"],
];
/** Fraction of the faults that overwrite the record of a running server, which writes its own again soon. */
const overwriteFraction = 0.4;
/** Maximum time in milliseconds until a server writes its overwritten record again. */
const maxRewriteDelay = 1500;

/** Creates the fault that writes invalid entries. It resolves once a record that it overwrote is written again. */
export function createInvalidStoreEntry(environment: SoakEnvironment, random: RandomSource): Fault {
    const { logEvent, servers, store } = environment;
    let unlistedServer: Promise<ServerStandIn> | undefined;
    let recordCount = 0;

    return async function writeInvalidEntry() {
        const { backend, service, zone } = pickRandom(
            servers.filter(({ gone, isExcludedFromFaults }) => !gone && !isExcludedFromFaults),
            random,
        );
        unlistedServer ??= environment.startUnlistedServer();
        const validRecord = serverObject((await unlistedServer).address(), { service, zone }) as Fields;
        const invalidRecord = pickRandom(corruptions, random)(validRecord);
        const [kind, objectName, spec] = pickRandom(invalidObjects, random);
        store.put(kind, objectName, spec);
        if (random() >= overwriteFraction) {
            logEvent("fault=\"entry of another writer\"");
            store.put("servers", `i-odd-${recordCount++}`, invalidRecord);
            return;
        }
        logEvent(`fault="entry of another writer in place of ${backend.id}"`);
        store.put("servers", backend.id, invalidRecord);
        await pause(milliseconds(random() * maxRewriteDelay));
        const server = servers.find(candidate => candidate.backend.id === backend.id);
        if (server !== undefined && !server.gone) {
            environment.writeRecord(server, "ready");
        }
    };
}
