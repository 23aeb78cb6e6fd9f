/**
 * The rules of the users' platform, and for each the lines of compiled code
 * that keep it, with what they are replaced by to take the mechanism out.
 */

import type { Mechanism } from "./mechanisms.js";

const steering = (name: string) => `packages/steering/dist/src/${name}.js`;
const gateway = (name: string) => `packages/gateway/dist/src/${name}.js`;
const steeringTest = (name: string) => `packages/steering/dist/test/${name}.test.js`;
const gatewayTest = (name: string) => `packages/gateway/dist/test/${name}.test.js`;
const boxTest = (name: string) => `packages/testing/dist/test/box-${name}.test.js`;

/** All mechanisms, a rule each or more. */
export const ruleMechanisms: readonly Mechanism[] = [
    {
        promise: "MIXED",
        name: "the check of the answer's request id",
        file: gateway("exchange"),
        find: "options.requestId !== undefined && answeredId !== options.requestId",
        replace: "false",
        specs: [gatewayTest("exchange")],
    },
    {
        promise: "MIXED",
        name: "the missing length of an answer without one",
        file: gateway("caller-answers"),
        find: "if (answer.framed) {",
        replace: "if (true) {",
        specs: [boxTest("requests")],
    },
    {
        promise: "TWICE",
        name: "the end of a request that may not be repeated once it broke",
        file: gateway("request-handler"),
        find:
            "if (!isRepeatable(active.route)) {\n                        return { kind: \"refusal\", refusal: \"brokenOff\" };",
        replace: "if (false) {\n                        return { kind: \"refusal\", refusal: \"brokenOff\" };",
        specs: [boxTest("requests")],
    },
    {
        promise: "BUDGET",
        name: "the bound on attempts",
        file: gateway("attempt-loop"),
        find: "if (active.sent >= active.route.maxAttempts) {",
        replace: "if (false) {",
        specs: [boxTest("requests")],
    },
    {
        promise: "BUDGET",
        name: "the share of repeats",
        file: steering("repeat-budget"),
        find: "if (repeats.total(at) + 1 > earned + granted) {",
        replace: "if (false) {",
        specs: [steeringTest("budgets")],
    },
    {
        promise: "BUDGET",
        name: "the deadline handed on",
        file: gateway("attempt"),
        find: "String(Math.max(1, Math.floor(request.timeLeft())))",
        replace: "\"999999\"",
        specs: [boxTest("requests")],
    },
    {
        promise: "GONE",
        name: "the end of the work when the caller leaves",
        file: gateway("request-handler"),
        find: "response.on(\"close\", () => controller.abort());",
        replace: "",
        specs: [boxTest("requests")],
    },
    {
        promise: "LOST",
        name: "the wait for answers that are still leaving",
        file: gateway("caller-connections"),
        find: "if (requests === 0) {\n                    socket.end();",
        replace: "if (true) {\n                    socket.destroy();",
        specs: [gatewayTest("caller-connections")],
    },
    {
        promise: "LOST",
        name: "new work while callers still hold the address",
        file: gateway("planned-stop"),
        find: "await sleep(grace * takeWorkPart, never);",
        replace: "",
        specs: [boxTest("requests")],
    },
    {
        promise: "CONFIG",
        name: "the refusal of older versions",
        file: gateway("shared-state"),
        find: "next.version <= configuration.version",
        replace: "false",
        specs: [boxTest("requests")],
    },
    {
        promise: "CONFIG",
        name: "the refusal of older snapshots",
        file: steering("replica"),
        find: "if (revision !== undefined && snapshot.revision <= revision) {",
        replace: "if (false) {",
        specs: [steeringTest("replica")],
    },
    {
        promise: "CONFIG",
        name: "what other boxes know",
        file: gateway("replicator"),
        find: "if (isBehind(kind, digest) && !behind.has(kind)) {",
        replace: "if (false) {",
        specs: [boxTest("state")],
    },
    {
        promise: "CONFIG",
        name: "the timer at the route's limit",
        file: gateway("request-handler"),
        find: "Math.max(0, active.endsAt - startedAt)",
        replace: "100_000",
        specs: [boxTest("requests")],
    },
    {
        promise: "ROUTE",
        name: "the name of the server that may run a request",
        file: gateway("attempt"),
        find: "protocol.headers.expectedServer,",
        replace: "\"x-nobody\",",
        specs: [boxTest("requests")],
    },
    {
        promise: "DRAIN",
        name: "draining servers",
        file: steering("server-standing"),
        find: "if (record.draining) {",
        replace: "if (false) {",
        specs: [steeringTest("server-choice")],
    },
    {
        promise: "DRAIN",
        name: "servers whose record is gone",
        file: steering("server-standing"),
        find: "if (unlisted) {",
        replace: "if (false) {",
        specs: [steeringTest("server-choice")],
    },
    {
        promise: "DRAIN",
        name: "boxes whose heartbeat stands still",
        file: steering("membership"),
        find: "return at - entry.changedAt < options.failAfter;",
        replace: "return true;",
        specs: [steeringTest("replica")],
    },
    {
        promise: "FAILBACK",
        name: "the rate of a cold server",
        file: steering("server-standing"),
        find: "standing.isCold(now) && !options.cold.allows(now)",
        replace: "false",
        specs: [steeringTest("server-choice")],
    },
    {
        promise: "FAILBACK",
        name: "the few boxes that may send to a cold server",
        file: steering("cold-admission"),
        find: "return better < senders ?",
        replace: "return true ?",
        specs: [steeringTest("budgets")],
    },
    {
        promise: "HOME",
        name: "the homes of a route",
        file: steering("server-choice"),
        find: "(homes.length === 0 || homes.includes(region))",
        replace: "true",
        specs: [steeringTest("server-choice")],
    },
    {
        promise: "EVAC",
        name: "zones that admit nothing",
        file: steering("server-choice"),
        find: "&& options.admitsZone(zone)",
        replace: "",
        specs: [steeringTest("server-choice")],
    },
    {
        promise: "RECOVER",
        name: "the start from another box's copies",
        file: gateway("replicator"),
        find: "state.replica(kind).revision() === undefined ? 0 : watchHeadStart",
        replace: "1e6",
        specs: [boxTest("state")],
    },
];
