/**
 * The faults of a soak run, drawn from its random source and injected from
 * outside the boxes.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import type { StoreFault } from "../standins/metadata-store-server.js";
import type { ServerBehaviour } from "../standins/server-answers.js";
import type { BoxProcess } from "./box-process.js";
import type { Interval } from "./checks.js";
import type { LinkState, Proxy } from "./proxy.js";
import { inForceWithin, type SoakWorld, zoneNames } from "./soak-world.js";

/** What was done, as far as the checks must know. */
export interface InjectedFaults {
    readonly count: number;
    /** From when on a server must get nothing, by its id. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** When a zone's servers must get nothing. */
    readonly evacuated: ReadonlyMap<string, readonly Interval[]>;
}

const mostServers = 24;

/** Injects faults for so many milliseconds; resolves when all of them are over and every box runs. */
export async function injectFaults(world: SoakWorld, length: number): Promise<InjectedFaults> {
    const { boxes, now, random, say, servers, store, storeLinks, storeServer } = world;
    const drained = new Map<string, Interval>();
    const evacuated = new Map<string, Interval[]>();
    const closedZones = new Set<string>();
    let count = 0;

    await injectAll();
    return { count, drained, evacuated };

    /** Injects faults until the time is over, and ends when all are over too. */
    async function injectAll(): Promise<void> {
        const ends: Promise<void>[] = [];
        const end = now() + length;
        while (now() < end) {
            count += 1;
            ends.push(pick(everyFault(), random)());
            await pause(milliseconds(200 + random() * 900));
        }
        await Promise.all(ends);
        storeServer.setFault(() => ({ kind: "none" }));
        [...storeLinks, ...servers.map(server => server.proxy)].forEach(link => link.setState("whole"));
        boxes.filter(box => !box.isRunning()).forEach(box => box.start());
        say("faults=over");
    }

    /** All that may happen, each as likely as the others. */
    function everyFault(): (() => Promise<void>)[] {
        return [
            () => restart(pick(boxes, random), "SIGKILL"),
            () => restart(pick(boxes, random), "SIGTERM"),
            freeze,
            () => harmLink(storeLinks, "link to the store"),
            () => harmLink(servers.map(server => server.proxy), "link to a server"),
            failStore,
            misbehave,
            misbehave,
            release,
            evacuate,
            changeConfiguration,
            forgetHistory,
            resetLinks,
        ];
    }

    async function lasting(text: string, begin: () => void, end: () => void): Promise<void> {
        const duration = 500 + random() * 2500;
        say(`fault="${text}" for=${Math.round(duration)}`);
        begin();
        await pause(milliseconds(duration));
        end();
    }

    async function restart(box: BoxProcess, signal: NodeJS.Signals): Promise<void> {
        if (!box.isRunning()) {
            return;
        }
        say(`fault="${signal}" box=${box.name}`);
        box.signal(signal);
        await box.ended();
        await pause(milliseconds(random() * 800));
        if (!box.isRunning()) {
            box.start();
        }
    }

    async function freeze(): Promise<void> {
        const box = pick(boxes, random);
        await lasting(`pause of ${box.name}`, () => box.signal("SIGSTOP"), () => box.signal("SIGCONT"));
    }

    async function harmLink(links: readonly Proxy[], text: string): Promise<void> {
        const link = pick(links, random);
        const state = pick<LinkState>(["delayed", "silent", "silentBack"], random);
        await lasting(`${state} ${text}`, () => link.setState(state), () => link.setState("whole"));
    }

    async function failStore(): Promise<void> {
        const fault = pick<StoreFault>(
            [
                { kind: "refused", status: 503 },
                { kind: "refused", status: 429 },
                { kind: "silent" },
                { kind: "reset" },
                { kind: "answerLost" },
                { kind: "late", afterMs: 900 },
            ],
            random,
        );
        await lasting(
            `store ${fault.kind}`,
            () => storeServer.setFault(() => fault),
            () => storeServer.setFault(() => ({ kind: "none" })),
        );
    }

    async function misbehave(): Promise<void> {
        const server = pick(servers, random);
        const behaviour = pick<ServerBehaviour>(
            [
                { kind: "shed" },
                { kind: "fail", status: 500 },
                { kind: "loseAnswer", by: "reset" },
                { kind: "loseAnswer", by: "close" },
                { kind: "breakOff", by: "reset" },
                { kind: "breakOff", by: "close" },
                { kind: "extra", afterMs: 0 },
                { kind: "extra", afterMs: 40 },
                { kind: "garbage" },
            ],
            random,
        );
        const share = 0.1 + random() * 0.6;
        await lasting(
            `${behaviour.kind} of ${server.backend.id}`,
            () => server.backend.setBehaviour(() => random() < share ? behaviour : { kind: "serve" }),
            () => server.backend.setBehaviour(() => ({ kind: "serve" })),
        );
    }

    /** A server drains and leaves; another of its service takes its place. */
    async function release(): Promise<void> {
        const server = servers.find(candidate => !candidate.gone);
        if (server === undefined || servers.length > mostServers) {
            return;
        }
        server.gone = true;
        say(`fault="release of ${server.backend.id}"`);
        await world.addServer(server.service, server.zone);
        world.record(server, "draining");
        drained.set(server.backend.id, { from: now() + inForceWithin, to: Infinity });
        await pause(milliseconds(3000));
        store.delete("servers", server.backend.id);
    }

    async function evacuate(): Promise<void> {
        const zone = pick(zoneNames, random);
        if (closedZones.has(zone) || closedZones.size === zoneNames.length - 1) {
            return;
        }
        closedZones.add(zone);
        say(`fault="evacuation of ${zone}"`);
        store.put("evacuations", zone, {});
        const from = now() + inForceWithin;
        await pause(milliseconds(inForceWithin + 2500 * random()));
        store.delete("evacuations", zone);
        closedZones.delete(zone);
        evacuated.set(zone, [...evacuated.get(zone) ?? [], { from, to: now() }]);
    }

    async function changeConfiguration(): Promise<void> {
        say("fault=\"configuration\"");
        world.configure();
    }

    async function forgetHistory(): Promise<void> {
        say("fault=\"history forgotten\"");
        store.compact();
    }

    async function resetLinks(): Promise<void> {
        say("fault=\"connections reset\"");
        [...storeLinks, ...servers.map(server => server.proxy)].filter(() => random() < 0.5).forEach(link =>
            link.reset()
        );
    }
}

function pick<Item>(items: readonly Item[], random: RandomSource): Item {
    return items[Math.floor(random() * items.length)];
}
