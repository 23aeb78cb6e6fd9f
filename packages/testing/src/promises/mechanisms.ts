/**
 * What chalkdale promises, and for each promise the lines of compiled code that
 * keep it, with what they are replaced by to take the mechanism out.
 *
 * Tests name the promises that they prove by tag, such as `[P3]`.
 */

/** The tag of a promise. P1 to P8 are the users' brief; the others follow from what boxes and callers agree on. */
export type PromiseTag = `P${number}`;

/** The promises by their tags. */
export const promiseTexts: Readonly<Record<PromiseTag, string>> = {
    P1: "a shift of traffic between places never exceeds its cap",
    P2: "no region is pushed past its capacity by a steering decision",
    P3: "every caller receives the whole answer to its own request",
    P4: "a request refused as not run did not run",
    P5: "what must not be repeated runs at most once",
    P6: "a backend server that is leaving gets no new work",
    P7: "no request is lost to a planned stop or to a server that fails requests",
    P8: "an accepted configuration is in force everywhere within seconds and never reverts",
    P9: "a server runs only what a caller sent, unchanged",
    P10: "a proper request is never denied as wrong",
    P11: "retries stay within their budget, and servers are told the time that is left",
    P12: "work ends when its caller has left",
    P13: "a request has its final answer by its route's limit",
    P14: "a cold server gets no more than its rate from all boxes together",
    P15: "a route with homes is served there only",
    P16: "a closed availability zone gets nothing",
    P17: "boxes serve again after all of them were lost",
    P18: "a request runs at the service of its route only",
    P19: "callers are told only boxes that run",
    P20: "a route's parts get their weights' shares",
};

/** A mechanism and how it is taken out. */
export interface Mechanism {
    readonly promise: PromiseTag;
    readonly name: string;
    readonly file: string;
    readonly find: string;
    readonly replace: string;
    /** Test files that should miss it. */
    readonly specs: readonly string[];
}

const decision = (name: string) => `packages/decisions/dist/src/${name}.js`;
const box = (name: string) => `packages/box/dist/src/${name}.js`;
const decisionTest = (name: string) => `packages/decisions/dist/test/${name}.test.js`;
const boxTest = (name: string) => `packages/box/dist/test/${name}.test.js`;
const wholeTest = (name: string) => `packages/testing/dist/test/${name}.test.js`;

/** All mechanisms, for each promise one or more. */
export const mechanisms: readonly Mechanism[] = [
    {
        promise: "P1",
        name: "the place of a key by hashing",
        file: decision("choose/compared-servers"),
        find: "rendezvousScore(request.keyHash, server.idHash,",
        replace: "rendezvousScore(request.keyHash, servers.indexOf(server),",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P2",
        name: "the wait at servers that are full",
        file: decision("choose/server-choice"),
        find: "Math.max(0, server.state.load(at) + 1 - slots)",
        replace: "0",
        specs: [wholeTest("emulator")],
    },
    {
        promise: "P2",
        name: "the refusal of what can't be answered in time",
        file: decision("choose/server-choice"),
        find: "best.least > request.timeLeft",
        replace: "false",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P3",
        name: "the check of the answer's request id",
        file: box("servers/exchange"),
        find: "options.requestId !== undefined && answeredId !== options.requestId",
        replace: "false",
        specs: [boxTest("exchange")],
    },
    {
        promise: "P3",
        name: "the missing length of an answer without one",
        file: box("requests/caller-answers"),
        find: "if (answer.framed) {",
        replace: "if (true) {",
        specs: [wholeTest("box-servers")],
    },
    {
        promise: "P4",
        name: "the status that promises nothing for a request that may have run",
        file: decision("give-up/refusals"),
        find: "brokenOff: { status: 502",
        replace: "brokenOff: { status: 503",
        specs: [wholeTest("box-servers")],
    },
    {
        promise: "P4",
        name: "the refusal without a promise once an attempt broke off",
        file: decision("give-up/refusals"),
        find: "refusals[refusal].status === statusNotRun ? \"brokenOff\" : refusal",
        replace: "refusal",
        specs: [wholeTest("box-servers")],
    },
    {
        promise: "P5",
        name: "the end of a request that may not run twice once it broke",
        file: decision("retry/retry-decision"),
        find: "if (end.kind === \"broken\" && !inputs.isIdempotent) {",
        replace: "if (false) {",
        specs: [wholeTest("box-servers")],
    },
    {
        promise: "P6",
        name: "draining servers",
        file: decision("servers/server-state"),
        find: "if (record.draining) {",
        replace: "if (false) {",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P6",
        name: "servers whose record is gone",
        file: decision("servers/server-state"),
        find: "if (unlisted) {",
        replace: "if (false) {",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P7",
        name: "the wait for answers that are still leaving",
        file: box("callers/caller-connections"),
        find: "if (requests === 0) {\n                    socket.end();",
        replace: "if (true) {\n                    socket.destroy();",
        specs: [boxTest("caller-connections")],
    },
    {
        promise: "P7",
        name: "new work while callers still hold the address",
        file: box("planned-stop"),
        find: "await sleep(schedule.takeWorkFor, never);",
        replace: "",
        specs: [wholeTest("box-requests")],
    },
    {
        promise: "P7",
        name: "the servers that are left out while they fail requests",
        file: decision("servers/outlier-detection"),
        find: "severity: now => currentShare(now) / outlierShare",
        replace: "severity: () => 0",
        specs: [decisionTest("server-choice"), wholeTest("box-servers")],
    },
    {
        promise: "P8",
        name: "the refusal of older versions",
        file: box("state/shared-state"),
        find: "next.version <= configuration.version",
        replace: "false",
        specs: [wholeTest("box-requests")],
    },
    {
        promise: "P8",
        name: "the refusal of older snapshots",
        file: decision("shared-state/replica"),
        find: "if (revision !== undefined && snapshot.revision <= revision) {",
        replace: "if (false) {",
        specs: [decisionTest("replica")],
    },
    {
        promise: "P8",
        name: "what other boxes know",
        file: box("state/snapshot-catch-up"),
        find: "if (told.complete >= 0 && readAt < (status.readAt ?? Infinity)) {",
        replace: "if (false) {",
        specs: [wholeTest("box-state")],
    },
    {
        promise: "P8",
        name: "the boxes that follow the store when their relay can't",
        file: decision("shared-state/relay-role"),
        find: "return milliseconds(changeBound * (patiencePart + rankPart * Math.min(rank, highestRank)));",
        replace: "return milliseconds(1e9);",
        specs: [wholeTest("box-state")],
    },
    {
        promise: "P8",
        name: "the changes that a relay passes on, and the copies that it tells of",
        file: box("peers/peer-link"),
        find: "if (data.length > largestDatagram) {",
        replace: "if (true) {",
        specs: [wholeTest("box-state")],
    },
    {
        promise: "P9",
        name: "the path as the caller sent it",
        file: box("requests/attempt"),
        find: "path: request.path,",
        replace: "path: \"/other/\",",
        specs: [wholeTest("box-requests")],
    },
    {
        promise: "P10",
        name: "503 as long as no configuration is known",
        file: decision("admit/admission"),
        find: "return { kind: \"refused\", refusal: \"notReady\" };",
        replace: "return { kind: \"refused\", refusal: \"noRoute\" };",
        specs: [wholeTest("box-state")],
    },
    {
        promise: "P11",
        name: "the bound on attempts",
        file: decision("retry/retry-decision"),
        find: "if (inputs.sent >= inputs.maxAttempts) {",
        replace: "if (false) {",
        specs: [wholeTest("box-servers")],
    },
    {
        promise: "P11",
        name: "the share of retries",
        file: decision("retry/retry-budget"),
        find: "if (retries.total(at) + 1 > earned + granted) {",
        replace: "if (false) {",
        specs: [decisionTest("retry-budget")],
    },
    {
        promise: "P11",
        name: "the deadline handed on",
        file: box("requests/attempt"),
        find: "String(Math.max(1, Math.floor(request.timeLeft())))",
        replace: "\"999999\"",
        specs: [wholeTest("box-requests")],
    },
    {
        promise: "P12",
        name: "the end of the work when the caller leaves",
        file: box("requests/request-handler"),
        find: "response.on(\"close\", () => controller.abort());",
        replace: "",
        specs: [wholeTest("box-requests")],
    },
    {
        promise: "P13",
        name: "the timer at the route's limit",
        file: box("requests/request-handler"),
        find: "Math.max(0, active.endsAt - startedAt)",
        replace: "100_000",
        specs: [wholeTest("box-requests")],
    },
    {
        promise: "P14",
        name: "the rate of a cold server",
        file: decision("servers/server-state"),
        find: "isCold(now) && !slowStart.allows(now)",
        replace: "false",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P14",
        name: "the few boxes that may send to a cold server",
        file: decision("servers/slow-start"),
        find: "return better < senders ?",
        replace: "return true ?",
        specs: [decisionTest("slow-start")],
    },
    {
        promise: "P15",
        name: "the homes of a route",
        file: decision("choose/server-choice"),
        find: "(homes.length === 0 || homes.includes(region))",
        replace: "true",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P16",
        name: "zones that admit nothing",
        file: decision("choose/server-choice"),
        find: "&& options.admitsZone(zone)",
        replace: "",
        specs: [decisionTest("server-choice")],
    },
    {
        promise: "P17",
        name: "the start from another box's copies",
        file: decision("shared-state/copy-refresh"),
        find: "if (!inputs.hasCopy) {\n        return milliseconds(0);",
        replace: "if (!inputs.hasCopy) {\n        return milliseconds(1e9);",
        specs: [wholeTest("box-state")],
    },
    {
        promise: "P18",
        name: "the name of the server that may run a request",
        file: box("requests/attempt"),
        find: "protocol.headers.expectedServer,",
        replace: "\"x-nobody\",",
        specs: [wholeTest("box-servers")],
    },
    {
        promise: "P19",
        name: "boxes whose heartbeat stands still",
        file: decision("membership/membership"),
        find: "return at - entry.changedAt < options.failAfter;",
        replace: "return true;",
        specs: [decisionTest("membership")],
    },
    {
        promise: "P8",
        name: "the clash of two operators' edits of the settings tree",
        file: "packages/settings/dist/src/edits.js",
        find: "if (clashes.length > 0) {",
        replace: "if (false) {",
        specs: ["packages/settings/dist/test/edits.test.js"],
    },
    {
        promise: "P9",
        name: "the refusal of bodies that are too large",
        file: box("requests/request-handler"),
        find: "if (body.kind === \"tooLarge\") {",
        replace: "if (false) {",
        specs: [wholeTest("box-callers")],
    },
    {
        promise: "P20",
        name: "the weights of a split",
        file: decision("admit/weighted-split"),
        find: "credit[index] += destination.weight;",
        replace: "credit[index] += 1;",
        specs: [decisionTest("weighted-split")],
    },
];
