/**
 * Reads all running boxes with their metrics, for the commands on a whole deployment.
 *
 * Owns no state; reads the members from the box that the operator names by --peer.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { exitCodes } from "@chalkdale/runtime";
import { type Metric, readMembers, readMetrics } from "./box-metrics.js";
import { type CommandContext, CommandError } from "./command.js";

/** A box and its metrics; these are undefined if they could not be read. */
export interface BoxWithMetrics {
    readonly member: MemberRecord;
    readonly metrics: readonly Metric[] | undefined;
}

/** Returns all boxes, sorted by name. Throws a `CommandError` if the box given by --peer does not answer. */
export async function readRunningBoxes(context: CommandContext): Promise<BoxWithMetrics[]> {
    const { metricsPort, peer } = context.flags;
    if (peer === undefined) {
        throw new CommandError("expected --peer IP:PORT, the peer address of a running box", exitCodes.usage);
    }
    const members = [...await readMembers(peer)].sort((a, b) => a.box.localeCompare(b.box));
    return Promise.all(members.map(async member => ({ member, metrics: await readMetrics(member, metricsPort) })));
}

/** Returns true for a box that accepts callers. */
export function isInService(member: MemberRecord): boolean {
    return member.ready && !member.leaving;
}
