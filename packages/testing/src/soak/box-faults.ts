/**
 * Faults of box processes: killed, stopped, and paused by signals.
 */

import { milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { type Fault, injectTemporaryFault, pickRandom } from "./fault-tools.js";
import type { BoxTermination } from "./observations.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Longest pause before a box starts again, in milliseconds. */
const longestDown = 800;

/** A box ends by a signal, which is noted in `ends`, and starts again after a while. */
export function createRestart(world: SoakEnvironment, signal: NodeJS.Signals, ends: BoxTermination[]): Fault {
    const { boxes, storeConnectivity: contact, now, random, logEvent: say } = world;

    return async function restart() {
        const box = pickRandom(boxes, random);
        if (!box.isRunning()) {
            return;
        }
        say(`fault="${signal}" box=${box.name}`);
        ends.push({ box: box.callerAddress, signal, at: now() });
        const over = contact.beginFault(box.host);
        box.signal(signal);
        await box.waitForExit();
        await pause(milliseconds(random() * longestDown));
        if (!box.isRunning()) {
            box.start();
        }
        over();
    };
}

/** A box stands still for a while. */
export function createFreeze(world: SoakEnvironment): Fault {
    return async function freeze() {
        const box = pickRandom(world.boxes, world.random);
        const begin = () => box.signal("SIGSTOP");
        await injectTemporaryFault(world, `pause of ${box.name}`, begin, () => box.signal("SIGCONT"), box.host);
    };
}
