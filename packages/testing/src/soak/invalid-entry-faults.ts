/**
 * Entries of another writer in the store: records of servers that are broken in one
 * place, in new names and in those of servers that run, and broken objects of the
 * other kinds. The broken records name a server of their own, so that a request which
 * follows one shows.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import type { ServerStandIn } from "../standins/backend-server.js";
import { pause } from "../standins/deployment.js";
import { serverObject } from "../standins/platform-objects.js";
import { type Fault, pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

type Fields = Readonly<Record<string, unknown>>;

/** Ways in which a sound record of a server is broken. */
const breakings: readonly ((sound: Fields) => unknown)[] = [
    sound => ({ ...sound, state: "backedOff" }),
    sound => ({ ...sound, slots: "4" }),
    sound => ({ ...sound, slots: 0 }),
    sound => ({ ...sound, service: undefined }),
    sound => ({ ...sound, zone: 7 }),
    sound => ({ ...sound, cold_left: "soon" }),
    sound => ({ ...sound, born: "today" }),
    () => "\u0000\ufffd",
    () => [],
];
/** Objects of other kinds that make no sense. */
const oddObjects: readonly (readonly [kind: string, name: string, spec: unknown])[] = [
    ["config", "odd", { version: 7 }],
    ["rollouts", "odd", []],
    ["evacuations", "moon", "\u0000"],
];
/** Part of the faults that strike the record of a server which runs; it writes its own again soon. */
const runningShare = 0.4;
/** Milliseconds until a server whose record was overwritten has written again, at most. */
const longestHeartbeat = 1500;

/** Another writer writes an entry; resolves once what it overwrote is restored. */
export function createInvalidStoreEntry(world: SoakEnvironment, random: RandomSource): Fault {
    const { logEvent: say, servers, store } = world;
    let trap: Promise<ServerStandIn> | undefined;
    let written = 0;

    return async function writeEntry() {
        const { backend, service, zone } = pickRandom(
            servers.filter(({ gone, isExcludedFromFaults: isScripted }) => !gone && !isScripted),
            random,
        );
        trap ??= world.startUnlistedServer();
        const sound = serverObject((await trap).address(), { service, zone }) as Fields;
        const broken = pickRandom(breakings, random)(sound);
        const [kind, oddName, spec] = pickRandom(oddObjects, random);
        store.put(kind, oddName, spec);
        if (random() >= runningShare) {
            say("fault=\"entry of another writer\"");
            store.put("servers", `i-odd-${written++}`, broken);
            return;
        }
        say(`fault="entry of another writer in place of ${backend.id}"`);
        store.put("servers", backend.id, broken);
        await pause(milliseconds(random() * longestHeartbeat));
        const server = servers.find(candidate => candidate.backend.id === backend.id);
        if (server !== undefined && !server.gone) {
            world.writeRecord(server, "ready");
        }
    };
}
