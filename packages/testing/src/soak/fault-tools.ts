/**
 * Shared by all faults of a soak run: the sets of faults, a random choice, and a fault
 * that ends after a random time.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Injects one fault; resolves when it is over. */
export type Fault = () => Promise<void>;

/**
 * The faults that are drawn from a seed. A seed that once failed must reproduce its run, so a set that has such
 * seeds stays unchanged and new faults form a new set.
 *
 * - `first`: faults of boxes, links, store and servers, and planned changes.
 * - `silences`: those of `first`, and connections that stop passing bytes for good.
 * - `all`: those of `silences`, and servers that restart and invalid entries of another writer.
 * - `limits`: those of `all`, and servers that announce rate limits.
 * - `notices`: those of `all`, and servers that announce that they are leaving or ask for back-off, and a
 *   store that is restored from older snapshots.
 * - `partitions`: those of `all`, and boxes that are partitioned from all servers.
 * - `retries`: those of `all`, servers that fail most requests, and boxes that are partitioned from each other.
 * - `departures`: those of `all`, boxes that are starved or paused in series, and callers that often leave.
 * - `answers`: those of `all`, servers that send answers again or bytes without end, and callers that repeat ids.
 * - `guarantees`: those of `answers`, boxes that are partitioned from all servers, and servers that run requests and then
 *   answer as if they had not.
 * - `statuses`: those of `answers`, servers whose answers have statuses that end no request or change the protocol, and
 *   odd records of boxes.
 * - `cold`: those of `all`, servers that turn cold, boxes that are partitioned from each other, and more callers.
 */
export type FaultSet =
    | "first"
    | "silences"
    | "all"
    | "limits"
    | "notices"
    | "partitions"
    | "retries"
    | "departures"
    | "answers"
    | "guarantees"
    | "statuses"
    | "cold";

/** Minimum duration of a temporary fault, in milliseconds. */
const minDuration = 500;
/** Maximum random addition in milliseconds; with it, a fault lasts no longer than the boxes' bound for a failed box. */
const maxAddedDuration = 2500;

/** Picks one of the items, all equally likely. */
export function pickRandom<Item>(items: readonly Item[], random: RandomSource): Item {
    return items[Math.floor(random() * items.length)];
}

/**
 * Begins a fault and ends it after a random time, drawn from the run's random source. `host`: address of the
 * affected box, or undefined for all.
 */
export async function injectTemporaryFault(
    environment: SoakEnvironment,
    text: string,
    begin: () => void,
    end: () => void,
    host?: string,
): Promise<void> {
    const duration = minDuration + environment.random() * maxAddedDuration;
    environment.logEvent(`fault="${text}" for=${Math.round(duration)}`);
    const endFault = environment.storeConnectivity.beginFault(host);
    begin();
    await pause(milliseconds(duration));
    end();
    endFault();
}
