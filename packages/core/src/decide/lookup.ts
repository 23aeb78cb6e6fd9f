/**
 * The answer to a look-up: which entry boxes a caller should use, in order.
 */

import { hashText } from "../kernel/hash.js";
import type { BoxId, RegionId, ServiceId, ZoneId } from "../kernel/ids.js";
import type { CompiledRegion, CompiledSettings } from "../settings/compiled.js";
import { latencyBetween } from "./goal.js";

/** An entry box that may be named to callers. */
export interface NamedBox {
    readonly box: BoxId;
    readonly region: RegionId;
    readonly zone: ZoneId;
    readonly address: string;
    readonly port: number;
}

/** What a caller is told. */
export interface LookupAnswer {
    readonly service: ServiceId;
    /** Region that the caller counts as coming from. */
    readonly origin: RegionId;
    /** Boxes to try, best first. */
    readonly boxes: readonly NamedBox[];
    /** Milliseconds for which the answer may be kept. */
    readonly lifetime: number;
    readonly configurationVersion: number;
    readonly planVersion: number;
    /** A ticket to spend at the first box, when one was asked for. */
    readonly ticket?: string;
}

/** Boxes named in one answer. */
const namedBoxes = 4;

/**
 * Orders boxes for a caller: those of its region first, then by latency;
 * within a region by rendezvous of the caller's block, so that callers
 * spread evenly and each keeps its box while that lives.
 */
export function orderBoxes(
    settings: CompiledSettings,
    origin: CompiledRegion,
    callerKey: string,
    boxes: readonly NamedBox[],
): NamedBox[] {
    return boxes
        .map(named => ({
            named,
            latency: latencyTo(settings, origin, named),
            score: hashText(`${callerKey} ${named.box}`),
        }))
        .sort((a, b) => a.latency - b.latency || b.score - a.score)
        .slice(0, namedBoxes)
        .map(entry => entry.named);
}

function latencyTo(settings: CompiledSettings, origin: CompiledRegion, named: NamedBox): number {
    const region = settings.regions.find(candidate => candidate.id === named.region);
    if (region === undefined) {
        return Infinity;
    }
    return region.id === origin.id ? 0 : latencyBetween(origin, region);
}

/** Returns the block by which a caller is spread: the first 24 bits of IPv4, 48 of IPv6. */
export function callerKeyOf(address: string): string {
    const plain = address.startsWith("::ffff:") ? address.slice("::ffff:".length) : address;
    return plain.includes(":")
        ? plain.split(":").slice(0, 3).join(":")
        : plain.split(".").slice(0, 3).join(".");
}
