/**
 * Loaded into a box's process before its program (`node --import`): makes new connections to servers hang or be refused
 * while the file named by `CHALKDALE_SOAK_CUT` says so, and partitions the box from others while that named by
 * `CHALKDALE_SOAK_BOX_CUT` does. The box itself is unchanged.
 *
 * Servers are the targets on `serverHost` other than the store's link, as the soak lays them out.
 */

import { readFileSync } from "node:fs";
import { addConnectionCutRule } from "../standins/connection-cuts.js";
import { addDatagramCutRule } from "../standins/datagram-cuts.js";
import { boxCutFileVariable, type ConnectionCut, cutFileVariable } from "./connection-cut-file.js";

const file = process.env[cutFileVariable];
if (file !== undefined) {
    addConnectionCutRule((_, remoteAddress) => {
        const cut = readCut(file);
        const isServer = cut !== undefined && remoteAddress.startsWith(`${cut.serverHost}:`)
            && remoteAddress !== cut.storeAddress;
        return isServer ? cut.kind : undefined;
    });
}

const boxCutFile = process.env[boxCutFileVariable];
if (boxCutFile !== undefined) {
    const isCut = (remoteAddress: string) => {
        const prefix = readBoxPrefix(boxCutFile);
        return prefix !== undefined && remoteAddress.startsWith(prefix);
    };
    addDatagramCutRule(isCut);
    addConnectionCutRule((_, remoteAddress) => isCut(remoteAddress) ? "hang" : undefined);
}

/** Returns the prefix of the other boxes' addresses; undefined if the file does not exist. */
function readBoxPrefix(path: string): string | undefined {
    try {
        return readFileSync(path, "utf8");
    }
    catch {
        return undefined;
    }
}

/** Returns the cut in force; undefined if the file does not exist. */
function readCut(path: string): ConnectionCut | undefined {
    try {
        return JSON.parse(readFileSync(path, "utf8")) as ConnectionCut;
    }
    catch {
        return undefined;
    }
}
