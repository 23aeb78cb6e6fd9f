/**
 * The platform as each box of a session reaches it: late, or not at all.
 */

import type { Platform, PlatformOutcome } from "@chalkdale/platform";
import type { ObjectStore } from "../standins/object-store.js";
import type { FakeNetwork } from "./fake-network.js";
import type { SessionBox } from "./placement.js";

/** Name of the platform for {@link FakeNetwork.reaches}. */
export const platformName = "platform";

export interface SessionPlatformOptions {
    readonly now: () => number;
    readonly store: ObjectStore;
    readonly network: FakeNetwork;
}

/** The platform of a session. */
export interface SessionPlatform {
    /** Milliseconds that each call takes before it has its effect. */
    readonly delay: { milliseconds: number; };
    /** The platform as one box reaches it. */
    readonly seenBy: (target: SessionBox) => Platform;
    /** Lets the calls go on whose delay is over. */
    readonly step: () => void;
}

/** Creates the platform of a session. */
export function createSessionPlatform(options: SessionPlatformOptions): SessionPlatform {
    const { network, now, store } = options;
    const delay = { milliseconds: 0 };
    const delayed: { readonly until: number; readonly go: () => void; }[] = [];

    return { delay, seenBy, step };

    function step(): void {
        store.step();
        delayed.filter(({ until }) => now() >= until).forEach(({ go }) => go());
        delayed.splice(0, delayed.length, ...delayed.filter(({ until }) => now() < until));
    }

    function seenBy(target: SessionBox): Platform {
        const cut = { kind: "unavailable", reason: "cut off" } as const;
        const lost = { kind: "unknown", reason: "cut off" } as const;
        const call = async <Value>(run: (platform: Platform) => Promise<PlatformOutcome<Value>>) => {
            if (delay.milliseconds > 0) {
                await new Promise<void>(go => delayed.push({ until: now() + delay.milliseconds, go }));
            }
            if (!network.reaches(target.key, platformName)) {
                return cut;
            }
            const outcome = await run(store.platform);
            return network.reaches(target.key, platformName) ? outcome : lost;
        };
        return {
            get: (...args) => call(platform => platform.get(...args)),
            list: (...args) => call(platform => platform.list(...args)),
            create: (...args) => call(platform => platform.create(...args)),
            update: (...args) => call(platform => platform.update(...args)),
            watch: (...args) => call(platform => platform.watch(...args)),
        };
    }
}
