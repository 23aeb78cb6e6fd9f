/**
 * The files by which a soak tells a box's process that its new connections to servers are cut, and that it is
 * partitioned from the other boxes.
 */

import type { ConnectionCutKind } from "../standins/connection-cuts.js";

/** Environment variable with the path of the file about servers. */
export const cutFileVariable = "CHALKDALE_SOAK_CUT";

/** The content of the file, as JSON. */
export interface ConnectionCut {
    readonly kind: ConnectionCutKind;
    /** Host of all servers and of the store's link. */
    readonly serverHost: string;
    /** Address of the store's link, which is not cut. */
    readonly storeAddress: string;
}

/** Environment variable with the path of the file about boxes; it contains the prefix of their addresses. */
export const boxCutFileVariable = "CHALKDALE_SOAK_BOX_CUT";
