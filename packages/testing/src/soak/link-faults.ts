/**
 * Faults of the links that pass through proxies: delayed, silent for a while or
 * for good, reset.
 */

import type { RandomSource } from "@chalkdale/kernel";
import type { FaultProxy, LinkState } from "./fault-proxy.js";
import { type Fault, injectTemporaryFault, pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Part of the links that a reset strikes. */
const resetPart = 0.5;
/** Part of the silences that strike all links of a sort. */
const allLinksShare = 0.6;

/** One of the links is delayed or silent for a while. */
export function createLinkImpairment(world: SoakEnvironment, links: () => readonly FaultProxy[], text: string): Fault {
    return async function harmLink() {
        const link = pickRandom(links(), world.random);
        const state = pickRandom<LinkState>(["delayed", "silent", "silentBack"], world.random);
        await injectTemporaryFault(world, `${state} ${text}`, () => link.setState(state), () => link.setState("whole"));
    };
}

/** Connections on some of all links are reset. */
export function createLinkReset(world: SoakEnvironment): Fault {
    return async function resetLinks() {
        world.logEvent("fault=\"connections reset\"");
        world.storeConnectivity.beginFault()();
        allLinks(world).filter(() => world.random() < resetPart).forEach(link => link.resetOpenConnections());
    };
}

/** The open connections of one link, or of all of them, fall silent for good; new ones work. */
export function createConnectionBlackhole(
    world: SoakEnvironment,
    random: RandomSource,
    links: () => readonly FaultProxy[],
    text: string,
): Fault {
    return async function silence() {
        const struck = random() < allLinksShare ? links() : [pickRandom(links(), random)];
        world.logEvent(`fault="silent for good: ${struck.length} ${text}"`);
        world.storeConnectivity.beginFault()();
        struck.forEach(link => link.blackholeOpenConnections());
    };
}

/** All links of a run. */
export function allLinks(world: SoakEnvironment): readonly FaultProxy[] {
    return [...world.storeLinks, ...world.servers.map(server => server.proxy)];
}
