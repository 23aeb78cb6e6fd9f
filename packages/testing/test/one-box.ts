/**
 * One box with two servers of one service and one of another, over real
 * sockets: what the tests of requests and of servers begin from.
 */

import type { ServerRun, ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, type ClientRequest, sendRequest } from "../src/standins/client.js";
import {
    startTestDeployment,
    type TestBox,
    type TestBoxOptions,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";
import type { RuleOptions } from "../src/standins/platform-objects.js";
import type { ServerBehaviour } from "../src/standins/server-answers.js";

/** Routes of the box; each test may configure others. */
export const rules: readonly RuleOptions[] = [
    { name: "lookup", path: "/lookup/", kind: "safe" },
    { name: "save", path: "/save/", kind: "unsafe" },
    { name: "photos", path: "/photos/", kind: "upload" },
    { name: "pack", path: "/pack/", kind: "download", service: "packs" },
    { name: "patient", path: "/patient/", kind: "safe", timeout: "60s" },
    { name: "patient-save", path: "/patient-save/", kind: "unsafe", timeout: "60s" },
    { name: "brief", path: "/brief/", kind: "safe", timeout: "150ms" },
];

/** The box and what it reaches. */
export interface OneBox {
    readonly deployment: TestDeployment;
    readonly box: TestBox;
    /** In the box's availability zone. */
    readonly first: ServerStandIn;
    /** In another region. */
    readonly second: ServerStandIn;
    /** Sends one request, with an id of its own and one affinity key for all. */
    readonly ask: (path: string, options?: Partial<ClientRequest>) => Promise<ClientAnswer>;
    /** Makes both servers misbehave for so many requests together. */
    readonly misbehave: (behaviour: ServerBehaviour, times?: number) => void;
    /** Runs at both servers. */
    readonly runs: () => readonly ServerRun[];
}

/** Starts it; the box is ready when this resolves. `deployment.close` ends all of it. */
export async function startOneBox(options: TestBoxOptions = {}): Promise<OneBox> {
    const deployment = await startTestDeployment();
    const first = await deployment.addServer({ id: "i-1" });
    const second = await deployment.addServer({ id: "i-2", zone: "south-a" });
    await deployment.addServer({ id: "i-3", service: "packs" });
    deployment.configure(2, rules);
    const box = deployment.startBox(options);
    let requestCount = 0;
    await waitUntil(() => box.running.isReady(), "the box is ready");

    return {
        deployment,
        box,
        first,
        second,
        ask(path, options = {}) {
            requestCount += 1;
            const requestId = `r-${requestCount}`;
            const own = { address: box.callerAddress, host: testHost, path, requestId, affinityKey: "k-1" };
            return sendRequest({ ...own, ...options });
        },
        misbehave(behaviour, times = Infinity) {
            let left = times;
            for (const server of [first, second]) {
                server.setBehaviour(() => {
                    left -= 1;
                    return left >= 0 ? behaviour : { kind: "serve" };
                });
            }
        },
        runs: () => [...first.runs, ...second.runs],
    };
}
