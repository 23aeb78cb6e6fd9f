/**
 * Faults of the links that pass through proxies: they are delayed, reset, or stop
 * passing bytes for a while or for good.
 */

import type { RandomSource } from "@chalkdale/kernel";
import type { FaultProxy, LinkState } from "./fault-proxy.js";
import { type Fault, injectTemporaryFault, pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Fraction of the links whose connections a reset fault resets. */
const resetFraction = 0.5;
/** Fraction of the blackhole faults that affect all links of a kind. */
const allLinksFraction = 0.6;

/**
 * Creates the fault that delays or silences a random one of the links for a while. `text`: the kind of link, for
 * the event.
 */
export function createLinkImpairment(
    environment: SoakEnvironment,
    links: () => readonly FaultProxy[],
    text: string,
): Fault {
    return async function impairLink() {
        const link = pickRandom(links(), environment.random);
        const state = pickRandom<LinkState>(["delayed", "silent", "silentBack"], environment.random);
        await injectTemporaryFault(
            environment,
            `${state} ${text}`,
            () => link.setState(state),
            () => link.setState("whole"),
        );
    };
}

/** Creates the fault that resets the open connections of some of all links. */
export function createLinkReset(environment: SoakEnvironment): Fault {
    return async function resetLinks() {
        environment.logEvent("fault=\"connections reset\"");
        environment.storeConnectivity.beginFault()();
        allLinks(environment).filter(() => environment.random() < resetFraction).forEach(link =>
            link.resetOpenConnections()
        );
    };
}

/** Creates the fault that blackholes the open connections of one link or of all of them; new connections work. */
export function createConnectionBlackhole(
    environment: SoakEnvironment,
    random: RandomSource,
    links: () => readonly FaultProxy[],
    text: string,
): Fault {
    return async function blackhole() {
        const affected = random() < allLinksFraction ? links() : [pickRandom(links(), random)];
        environment.logEvent(`fault="silent for good: ${affected.length} ${text}"`);
        environment.storeConnectivity.beginFault()();
        affected.forEach(link => link.blackholeOpenConnections());
    };
}

/** All links of a run: boxes to the store and boxes to servers. */
export function allLinks(environment: SoakEnvironment): readonly FaultProxy[] {
    return [...environment.storeLinks, ...environment.servers.map(server => server.proxy)];
}
