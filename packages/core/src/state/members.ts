/**
 * The platform's list of boxes and backend servers of one availability zone.
 */

import type { BoxId, RegionId, ServerId, ServiceId, ZoneId } from "../kernel/ids.js";

/** Whether a member takes new work, as the list says. The list may lag. */
export type MemberState = "live" | "leaving";

/** An entry box in the list. */
export interface BoxMember {
    readonly id: BoxId;
    readonly address: string;
    /** Port of the callers' interface. */
    readonly port: number;
    /** Port of the protocol between boxes. */
    readonly peerPort: number;
    readonly state: MemberState;
}

/** A backend server in the list. */
export interface ServerMember {
    readonly id: ServerId;
    readonly service: ServiceId;
    readonly address: string;
    readonly port: number;
    readonly state: MemberState;
}

/** The list of one availability zone. */
export interface MemberList {
    readonly region: RegionId;
    readonly zone: ZoneId;
    readonly boxes: readonly BoxMember[];
    readonly servers: readonly ServerMember[];
}

/** What one probe of a backend server found. */
export interface ProbeResult {
    readonly server: ServerId;
    /** False when it did not answer in time, or said that it is not ready. */
    readonly ready: boolean;
    /** True when the server itself says that it is leaving. */
    readonly leaving: boolean;
    /** Requests that it works on, over all boxes. */
    readonly inUse: number;
    /** Requests that wait in it. */
    readonly queued: number;
    /** Age in milliseconds when it was handed over. */
    readonly age: number;
}
