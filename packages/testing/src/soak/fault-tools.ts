/**
 * What all faults of a soak run need: a choice by chance, and a fault that lasts
 * for a while.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** One fault; resolves when it is over. */
export type Fault = () => Promise<void>;

/**
 * What is drawn from a seed; a seed that once failed stays what it was, by the set that it was drawn from. `first`: the faults that
 * the soak began with. `silences`: beside them connections that fall silent for good. `all`: beside these servers that start again and
 * entries of another writer. `limits`: beside these servers that name limits. `notices`: beside those of `all`, servers that say they are
 * leaving or ask for rest, and a store that comes back from older copies.
 */
export type FaultSet = "first" | "silences" | "all" | "limits" | "notices";

/** Shortest time of a fault that lasts, in milliseconds. */
const shortestFault = 500;
/** What chance adds to it at most, in milliseconds: in all no longer than the boxes' bound on a failed box. */
const longestAddition = 2500;

/** Picks one of several, each as likely as the others. */
export function pickRandom<Item>(items: readonly Item[], random: RandomSource): Item {
    return items[Math.floor(random() * items.length)];
}

/** Begins a fault, and ends it after a while drawn from the run's random source. `host`: the box that is struck, or undefined for all. */
export async function injectTemporaryFault(
    world: SoakEnvironment,
    text: string,
    begin: () => void,
    end: () => void,
    host?: string,
): Promise<void> {
    const duration = shortestFault + world.random() * longestAddition;
    world.logEvent(`fault="${text}" for=${Math.round(duration)}`);
    const over = world.storeConnectivity.beginFault(host);
    begin();
    await pause(milliseconds(duration));
    end();
    over();
}
