/**
 * The boxes that run, each with its metrics: what commands on a whole deployment begin with.
 *
 * Owns nothing; asks the box that the operator names for the members.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { exitCodes } from "@chalkdale/runtime";
import { type Metric, readMembers, readMetrics } from "./box-metrics.js";
import { type CommandContext, CommandError } from "./command.js";

/** A box, and its metrics if it told them. */
export interface BoxWithMetrics {
    readonly member: MemberRecord;
    readonly metrics: readonly Metric[] | undefined;
}

/** Returns all boxes by name. Throws a `CommandError` if the named box does not answer. */
export async function readRunningBoxes(context: CommandContext): Promise<BoxWithMetrics[]> {
    const { metricsPort, peer } = context.flags;
    if (peer === undefined) {
        throw new CommandError("name a running box with --peer IP:PORT (its address for other boxes)", exitCodes.usage);
    }
    const members = [...await readMembers(peer)].sort((a, b) => a.box.localeCompare(b.box));
    return Promise.all(members.map(async member => ({ member, metrics: await readMetrics(member, metricsPort) })));
}

/** True for a box to which callers may be sent. */
export function isInService(member: MemberRecord): boolean {
    return member.ready && !member.leaving;
}
