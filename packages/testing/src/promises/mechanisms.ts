/**
 * The promises, and for each the lines of compiled code that keep it, with
 * what they are replaced by to take the mechanism out.
 */

/** The promises by their tags. */
export const promiseTexts: Readonly<Record<string, string>> = {
    P1: "a shift of traffic between places never exceeds its cap",
    P2: "no region is pushed past its capacity by a steering decision",
    P3: "every caller receives the whole answer to its own request",
    P4: "a request refused as not run did not run",
    P5: "what must not be repeated runs at most once",
    P6: "a leaving backend server gets no new work after 3 s",
    P7: "a planned stop cuts no request in flight",
    P8: "an accepted configuration is in force everywhere within 3 s and never reverts",
};

/** A mechanism and how it is taken out. */
export interface Mechanism {
    readonly promise: string;
    readonly name: string;
    readonly file: string;
    readonly find: string;
    readonly replace: string;
    /** Test files that should miss it. */
    readonly specs: readonly string[];
}

const decide = (name: string) => `packages/core/dist/src/decide/${name}.js`;
const coreTest = (name: string) => `packages/core/dist/test/${name}.test.js`;
const sessionTest = (name: string) => `packages/testing/dist/test/${name}.test.js`;
const entryTest = (name: string) => `packages/entry/dist/test/${name}.test.js`;

/** All mechanisms. */
export const mechanisms: readonly Mechanism[] = [
    {
        promise: "P1",
        name: "the bound on a zone's gain",
        file: decide("shift"),
        find: "gains[zone] = Math.min(wanted, allowance * factor);",
        replace: "gains[zone] = wanted;",
        specs: [coreTest("shift"), sessionTest("promise-shift")],
    },
    {
        promise: "P1",
        name: "the bound on a region's gain",
        file: decide("shift"),
        find: "if (regionGain > allowance) {",
        replace: "if (false) {",
        specs: [coreTest("shift")],
    },
    {
        promise: "P1",
        name: "the bound on one step after a pause",
        file: decide("shift"),
        find: "Math.min(step.at - last, maximumStep)",
        replace: "(step.at - last)",
        specs: [coreTest("shift")],
    },
    {
        promise: "P1",
        name: "the start from what peers do, or was last written down",
        file: decide("traffic-plan"),
        find: "const mean = meanOfPeers(peers);",
        replace: "return homeShares(service, origin); const mean = undefined;",
        specs: [sessionTest("promise-shift")],
    },
    {
        promise: "P1",
        name: "the bounded error of the spread",
        file: decide("spread"),
        find: "credits[chosen] -= 1;",
        replace: "",
        specs: [coreTest("shift")],
    },
    {
        promise: "P2",
        name: "the bucket",
        file: decide("bucket"),
        find: "if (tokens >= cost) {",
        replace: "if (true) {",
        specs: [coreTest("capacity"), sessionTest("promise-capacity")],
    },
    {
        promise: "P2",
        name: "the pool's bound on a grant",
        file: decide("capacity-lease"),
        find: "Math.min(fair, pool - heldByOthers)",
        replace: "fair",
        specs: [coreTest("capacity")],
    },
    {
        promise: "P2",
        name: "the caution while a renewal is under way",
        file: decide("capacity-lease"),
        find: "return { units: smallerUnits(held.units, proposed.units), until: held.until };",
        replace: "return held;",
        specs: [coreTest("capacity")],
    },
    {
        promise: "P2",
        name: "the margin before a grant counts as expired",
        file: decide("capacity-lease"),
        find: "at - entry.since > entry.duration * (1 + expiryMargin)",
        replace: "at - entry.since > entry.duration * 0.5",
        specs: [coreTest("capacity")],
    },
    {
        promise: "P2",
        name: "the end of the floor without contact",
        file: decide("region-capacity"),
        find: "at >= rights.floorFrom && at < rights.floorUntil",
        replace: "true",
        specs: [sessionTest("promise-capacity")],
    },
    {
        promise: "P2",
        name: "the end of a lease at its time",
        file: decide("region-capacity"),
        find: "at < rights.leased.until ?",
        replace: "true ?",
        specs: [sessionTest("promise-capacity")],
    },
    {
        promise: "P2",
        name: "the limit of a link",
        file: decide("active-request"),
        find: "if (link.err) {",
        replace: "if (false) {",
        specs: [sessionTest("promise-capacity")],
    },
    {
        promise: "P3",
        name: "the break of a caller's connection",
        file: "packages/entry/dist/src/forward.js",
        find: "response.destroy();\n            }\n            resolve(attempt);",
        replace: "response.end();\n            }\n            resolve(attempt);",
        specs: [entryTest("forwarding")],
    },
    {
        promise: "P3",
        name: "the refusal of answers without a known end",
        file: "packages/entry/dist/src/forward.js",
        find: "if (!hasKnownEnd(code, job.request.method, headers)) {",
        replace: "if (false) {",
        specs: [entryTest("forwarding")],
    },
    {
        promise: "P4",
        name: "the word unknown for what broke off",
        file: "packages/core/dist/src/errors/errors.js",
        find: "serverBrokeOff: answer(502, \"unknown\"",
        replace: "serverBrokeOff: answer(502, \"not-run\"",
        specs: [entryTest("forwarding"), sessionTest("promise-work")],
    },
    {
        promise: "P4",
        name: "the ticket's answer before other refusals",
        file: decide("router"),
        find: "if (known.err) {",
        replace: "if (false) {",
        specs: [sessionTest("promise-work")],
    },
    {
        promise: "P5",
        name: "the memory of spent tickets",
        file: decide("tickets"),
        find: "if (state !== undefined) {",
        replace: "if (false) {",
        specs: [coreTest("tickets"), sessionTest("promise-work")],
    },
    {
        promise: "P5",
        name: "the incarnation in a ticket",
        file: decide("tickets"),
        find: "if (facts.incarnation !== options.incarnation) {",
        replace: "if (false) {",
        specs: [coreTest("tickets")],
    },
    {
        promise: "P5",
        name: "the ban on a second sending",
        file: "packages/entry/dist/src/forward.js",
        find: "!job.atMostOnce && safeMethods.has(",
        replace: "true || safeMethods.has(",
        specs: [entryTest("forwarding")],
    },
    {
        promise: "P6",
        name: "the list's word",
        file: decide("server-pool"),
        find: "server.member.state === \"leaving\" ||",
        replace: "",
        specs: [coreTest("server-pool"), sessionTest("promise-work")],
    },
    {
        promise: "P6",
        name: "the server's own word",
        file: decide("server-pool"),
        find: "|| server.leavingAt !== never",
        replace: "",
        specs: [coreTest("server-pool"), sessionTest("promise-work")],
    },
    {
        promise: "P6",
        name: "the limit on old evidence",
        file: decide("server-pool"),
        find: "if (at - server.evidenceAt > evidenceLimit) {",
        replace: "if (false) {",
        specs: [coreTest("server-pool")],
    },
    {
        promise: "P6",
        name: "the doubt about a probe that failed",
        file: decide("server-pool"),
        find: "else if (probe.ready && takenAt > server.leavingAt) {",
        replace: "else if (takenAt > server.leavingAt) {",
        specs: [sessionTest("promise-work")],
    },
    {
        promise: "P7",
        name: "the wait for requests in flight",
        file: "packages/entry/dist/src/planned-stop.js",
        find: "router.inFlight() > 0 ||",
        replace: "",
        specs: [entryTest("planned-stop")],
    },
    {
        promise: "P7",
        name: "the wait for callers' answers",
        file: "packages/entry/dist/src/planned-stop.js",
        find: "|| clock() - startedAt < grace",
        replace: "",
        specs: [entryTest("planned-stop")],
    },
    {
        promise: "P8",
        name: "the order of sequences",
        file: "packages/core/dist/src/state/records.js",
        find: "if (held !== undefined && held.copy.sequence >= copy.sequence) {",
        replace: "if (false) {",
        specs: [coreTest("records")],
    },
    {
        promise: "P8",
        name: "the watch on the platform",
        file: "packages/agent/dist/src/platform-feed.js",
        find: "watching.step();",
        replace: "",
        specs: [sessionTest("promise-configuration")],
    },
    {
        promise: "P8",
        name: "the settings heard from peers",
        file: "packages/agent/dist/src/record-hub.js",
        find: "|| isOfPlatform(key);",
        replace: ";",
        specs: [sessionTest("promise-configuration")],
    },
    {
        promise: "P8",
        name: "the check of settings that arrive",
        file: "packages/agent/dist/src/settings-reader.js",
        find: "if (read === undefined) {",
        replace: "if (false) {",
        specs: [sessionTest("promise-configuration")],
    },
    {
        promise: "P8",
        name: "the clash of edits",
        file: "packages/settings/dist/src/edits.js",
        find: "if (clashes.length > 0) {",
        replace: "if (false) {",
        specs: ["packages/settings/dist/test/edits.test.js"],
    },
];
