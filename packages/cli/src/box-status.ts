/**
 * Commands on running boxes: `status`, `explain` and `drain`.
 */

import { type RouteExplanation, type RouterDescription } from "@chalkdale/core";
import { type ExitCode, exitCodes, parseEndpoint, sleep, urlOf } from "@chalkdale/runtime";
import { nodeItself } from "@chalkdale/settings";
import { request } from "undici";
import { type Command, type CommandContext, CommandError, onlyArgument } from "./context.js";
import { readExisting, writeChanges } from "./platform-store.js";
import { formatTable } from "./table.js";

const requestTimeout = 3000;
const pollInterval = 1000;
/** Share below which a drained place counts as empty. */
const emptyShare = 0.001;

/** `status --box IP:PORT ...`: what each box has in force. */
export const status: Command = {
    words: ["status"],
    usage: "status --box IP:PORT ...",
    summary: "boxes, versions in force, staleness",
    async run(_, context): Promise<ExitCode> {
        const boxes = await Promise.all(boxesOf(context).map(async box => ({ box, state: await readState(box) })));
        if (context.flags.json) {
            context.write(JSON.stringify(boxes));
        }
        else {
            context.write(formatTable(
                ["box", "ready", "settings", "plan", "in flight", "servers usable", "oldest evidence"],
                boxes.map(({ box, state }) => rowOf(box, state)),
            ));
        }
        return boxes.every(({ state }) => state !== undefined) ? exitCodes.success : exitCodes.unavailable;
    },
};

function rowOf(box: string, state: RouterDescription | undefined): string[] {
    if (state === undefined) {
        return [box, "unreachable", "", "", "", "", ""];
    }
    const usable = state.servers.filter(server => server.standing === "usable").length;
    const ages = state.servers.map(server => server.evidenceAge ?? Infinity);
    return [
        box,
        state.leaving ? "leaving" : state.ready ? "yes" : "no",
        String(state.settingsVersion ?? "none"),
        String(state.planVersion),
        String(state.inFlight),
        `${usable}/${state.servers.length}`,
        `${(Math.max(0, ...ages) / 1000).toFixed(1)} s`,
    ];
}

/** `explain --box IP:PORT --caller ADDRESS --service NAME`: every step of the decision. */
export const explain: Command = {
    words: ["explain"],
    usage: "explain --caller IP --service NAME --box IP:PORT",
    summary: "why a caller's request goes where it goes",
    async run(_, context): Promise<ExitCode> {
        const { caller, service } = context.flags;
        if (caller === undefined || service === undefined) {
            throw new CommandError("expected --caller ADDRESS and --service NAME", exitCodes.usage);
        }
        const query = `caller=${encodeURIComponent(caller)}&service=${encodeURIComponent(service)}`;
        const found = await readJson<RouteExplanation>(boxesOf(context)[0], `/explain?${query}`);
        if (found === undefined) {
            throw new CommandError("the box does not answer, or knows no such service", exitCodes.unavailable);
        }
        if (context.flags.json) {
            context.write(JSON.stringify(found));
            return exitCodes.success;
        }
        context.write(`origin ${found.origin} (${found.originFrom}), settings version ${found.settingsVersion}`);
        context.write(formatTable(
            ["zone", "share", "goal", "price", "latency", "load", "cold", "servers", "capacity", "verdict"],
            found.zones.map(zone => [
                zone.zone,
                zone.share.toFixed(3),
                zone.goal.toFixed(3),
                zone.price.toFixed(1),
                zone.latencyPrice.toFixed(1),
                zone.loadPrice.toFixed(1),
                zone.coldPrice.toFixed(1),
                `${zone.usableServers}`,
                `${zone.capacityHere.toFixed(1)}/s`,
                zone.verdict,
            ]),
        ));
        return exitCodes.success;
    },
};

/** `drain PATH`: drains a place by an edit of the tree and reports until its traffic is gone. */
export const drain: Command = {
    words: ["drain"],
    usage: "drain PATH --box IP:PORT [--undo]",
    summary: "drain a place and follow it until it is empty",
    async run(args, context): Promise<ExitCode> {
        const node = onlyArgument(args, "PATH");
        const { document } = await readExisting(context);
        const stated = document.nodes[node];
        const added = stated === undefined ? [{ node, key: nodeItself, from: false, to: true }] : [];
        const to = context.flags.undo ? undefined : true;
        const change = { node, key: "drain", from: stated?.drain, to };
        if (context.flags.dryRun) {
            context.write(`would set drain of ${node} to ${String(to)}`);
            return exitCodes.success;
        }
        const version = await writeChanges([...added, change], document.deployment, context);
        context.write(`drain of ${node} is ${String(to ?? false)} as version ${version}`);
        if (to === true) {
            await followDrain(node, context);
        }
        return exitCodes.success;
    },
};

/** Reports the largest share that any box still sends to the place, until it is gone. */
async function followDrain(node: string, context: CommandContext): Promise<void> {
    const startedAt = performance.now();
    for (;;) {
        await sleep(pollInterval, context.signal);
        const states = await Promise.all(boxesOf(context).map(readState));
        const share = Math.max(0, ...states.flatMap(state => state === undefined ? [] : [shareAt(node, state)]));
        const elapsed = ((performance.now() - startedAt) / 1000).toFixed(0);
        context.write(`${elapsed} s: at most ${(share * 100).toFixed(1)}% of an origin's traffic still goes there`);
        if (share < emptyShare || context.signal.aborted) {
            context.write(`drained after ${elapsed} s`);
            return;
        }
    }
}

function shareAt(node: string, state: RouterDescription): number {
    const [, branch, ...names] = node.split("/");
    const service = branch === "services" ? names[0] : undefined;
    const zone = branch === "services" ? names[2] : names[1];
    const region = branch === "services" ? names[1] : names[0];
    const isPlace = (name: string) => zone === undefined ? state.zones[name] === region : name === zone;
    const shares = state.traffic
        .filter(traffic => service === undefined || traffic.service === service)
        .map(traffic =>
            Object.entries(traffic.shares).filter(([name]) => isPlace(name)).reduce((sum, [, share]) => sum + share, 0)
        );
    return Math.max(0, ...shares);
}

function boxesOf(context: CommandContext): readonly string[] {
    const boxes = context.flags.box ?? [];
    if (boxes.length === 0) {
        throw new CommandError("name at least one box with --box IP:PORT (its operators' address)", exitCodes.usage);
    }
    return boxes;
}

function readState(box: string): Promise<RouterDescription | undefined> {
    return readJson<RouterDescription>(box, "/status");
}

async function readJson<Value>(box: string, path: string): Promise<Value | undefined> {
    const address = parseEndpoint(box);
    if (address === undefined) {
        throw new CommandError(`${box} is no IP:PORT`, exitCodes.usage);
    }
    try {
        const { statusCode, body } = await request(urlOf(address, path), {
            signal: AbortSignal.timeout(requestTimeout),
        });
        const value = await body.json();
        return statusCode === 200 ? value as Value : undefined;
    }
    catch {
        return undefined;
    }
}
