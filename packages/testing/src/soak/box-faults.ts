/**
 * Faults of box processes: they are killed, stopped or paused by signals.
 */

import { milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { type Fault, injectTemporaryFault, pickRandom } from "./fault-tools.js";
import type { BoxTermination } from "./observations.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Maximum time in milliseconds before a box starts again. */
const maxDownTime = 800;

/**
 * Creates the fault that ends a random running box by a signal, records that in `terminations`, and starts the
 * box again after a while.
 */
export function createBoxRestart(
    environment: SoakEnvironment,
    signal: NodeJS.Signals,
    terminations: BoxTermination[],
): Fault {
    const { boxes, storeConnectivity, now, random, logEvent } = environment;

    return async function restart() {
        const box = pickRandom(boxes, random);
        if (!box.isRunning()) {
            return;
        }
        logEvent(`fault="${signal}" box=${box.name}`);
        terminations.push({ box: box.callerAddress, signal, at: now() });
        const endFault = storeConnectivity.beginFault(box.host);
        box.signal(signal);
        await box.waitForExit();
        await pause(milliseconds(random() * maxDownTime));
        if (!box.isRunning()) {
            box.start();
        }
        endFault();
    };
}

/** Creates the fault that pauses the process of a random box for a while. */
export function createBoxPause(environment: SoakEnvironment): Fault {
    return async function pauseBox() {
        const box = pickRandom(environment.boxes, environment.random);
        const begin = () => box.signal("SIGSTOP");
        await injectTemporaryFault(environment, `pause of ${box.name}`, begin, () => box.signal("SIGCONT"), box.host);
    };
}
